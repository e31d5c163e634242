"""Adapters of the platform's log, host list and targets for HTTP and JSON."""

import aiohttp
import msgspec
import yarl

from cicadafold import exception
from cicadafold.platform import interfaces
from cicadafold.platform import messages

__all__ = ["HttpHostSource", "HttpLogStream", "HttpTargetClient"]

APPEND_TIMEOUT_S = 2.0
CONTROL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0
READ_MARGIN_S = 1.0
MS_PER_S = 1000
STATUS_OK = 200
STATUS_CONFLICT = 409

TRANSPORT_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)

decode_refusal = msgspec.json.Decoder(messages.Refusal).decode
decode_reply = msgspec.json.Decoder(messages.TargetReply).decode
decode_read = msgspec.json.Decoder(messages.ReadReply).decode
decode_append = msgspec.json.Decoder(messages.AppendReply).decode
decode_hosts = msgspec.json.Decoder(messages.HostList).decode
encode = msgspec.json.Encoder().encode


@interfaces.register_adapter("log", "http")
class HttpLogStream:
    """One stream of the platform's log service over HTTP.

    Args:
        session: HTTP client session.
        address: IP number and port of the log service.
        stream: Name of the stream.
    """

    def __init__(self, *, session, address, stream):
        self.session = session
        self.url = f"http://{address}/streams/{stream}/entries"

    async def append(self, body):
        """Appends an entry and returns its offset."""
        timeout = aiohttp.ClientTimeout(total=APPEND_TIMEOUT_S)
        try:
            async with self.session.post(
                self.url, data=body, timeout=timeout
            ) as reply:
                if reply.status != STATUS_OK:
                    raise append_refused_error(reply.status)
                return decode_append(await reply.read()).offset
        except aiohttp.ClientConnectorError as error:
            raise append_refused_error(error) from error
        except TRANSPORT_ERRORS as error:
            raise exception.LinkLost(
                message=f"The log did not answer an append: {error!r}.",
                remedy="Append again; records carry identifiers.",
            ) from error

    async def read(self, *, start, wait_ms):
        """Reads entries, starting at an offset."""
        timeout = aiohttp.ClientTimeout(
            total=wait_ms / MS_PER_S + READ_MARGIN_S
        )
        parameters = {"from": str(start), "wait_ms": str(wait_ms)}
        try:
            async with self.session.get(
                self.url, params=parameters, timeout=timeout
            ) as reply:
                if reply.status != STATUS_OK:
                    raise log_unreadable_error(reply.status)
                return decode_read(await reply.read())
        except TRANSPORT_ERRORS as error:
            raise log_unreadable_error(repr(error)) from error


def append_refused_error(reason):
    """Returns the exception for an append that had no effect."""
    return exception.LogUnavailable(
        message=f"The log refused an append: {reason}.",
        remedy="Submit again later.",
        retry_after_ms=MS_PER_S,
    )


def log_unreadable_error(reason):
    """Returns the exception for a read without a valid answer."""
    return exception.LogUnavailable(
        message=f"The log did not answer a read: {reason}.",
        remedy="Check the log service.",
        retry_after_ms=MS_PER_S,
    )


@interfaces.register_adapter("hosts", "http")
class HttpHostSource:
    """The platform's list of workers over HTTP.

    Args:
        session: HTTP client session.
        address: IP number and port of the service that keeps the list.
    """

    def __init__(self, *, session, address):
        self.session = session
        self.url = f"http://{address}/hosts"

    async def list_hosts(self):
        """Returns the current list as ``HostEntry`` objects."""
        timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_S)
        try:
            async with self.session.get(self.url, timeout=timeout) as reply:
                return decode_hosts(await reply.read()).hosts
        except (*TRANSPORT_ERRORS, msgspec.DecodeError) as error:
            raise exception.TargetUnreachable(
                message=f"The host list service did not answer: {error!r}.",
                sent=True,
            ) from error


@interfaces.register_adapter("target", "http")
class HttpTargetClient:
    """Calls to one target over HTTP.

    ``start`` has no timeout of its own, because it is answered only when the
    task ends. Its caller cancels it when the connection is no longer
    answering; the next call then opens a new connection.

    Args:
        session: HTTP client session.
        address: IP number and port of the target.
    """

    def __init__(self, *, session, address):
        self.session = session
        self.base = f"http://{address}"
        self.start_url = yarl.URL(f"{self.base}/tasks")
        self.start_timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        )
        self.control_timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_S)

    async def start(self, task):
        """Starts a task and returns its final report once it has ended."""
        return await self.post(self.start_url, task, self.start_timeout)

    async def fence(self, fence):
        """Raises the fencing token and returns the tasks on the target."""
        body = messages.FenceRequest(fence=fence)
        return await self.control("/fence", body)

    async def renew(self, request):
        """Renews leases of tasks and returns the reports of these tasks."""
        return await self.control("/leases", request)

    async def stop(self, task_id):
        """Stops a task and returns its report."""
        return await self.control(f"/tasks/{task_id}/stop", None)

    async def control(self, path, body):
        """Makes a call that is answered within ``CONTROL_TIMEOUT_S``."""
        return await self.post(self.base + path, body, self.control_timeout)

    async def post(self, url, body, timeout):
        """Posts a message and returns the target's reply.

        Raises:
            TargetRefused: The target refused the call.
            TargetUnreachable: The target did not answer with a valid reply.
        """
        try:
            async with self.session.post(
                url, data=encode(body), timeout=timeout
            ) as reply:
                content = await reply.read()
                if reply.status == STATUS_OK:
                    return decode_reply(content)
                if reply.status == STATUS_CONFLICT:
                    raise exception.TargetRefused(
                        refusal=decode_refusal(content)
                    )
                raise unreachable_error(reply.status, sent=True)
        except aiohttp.ClientConnectorError as error:
            raise unreachable_error(repr(error), sent=False) from error
        except (*TRANSPORT_ERRORS, msgspec.DecodeError) as error:
            raise unreachable_error(repr(error), sent=True) from error


def unreachable_error(reason, *, sent):
    """Returns the exception for a call without a valid reply."""
    return exception.TargetUnreachable(
        message=f"The target did not answer: {reason}.", sent=sent
    )
