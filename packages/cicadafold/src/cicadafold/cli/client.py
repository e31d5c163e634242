"""HTTP client of the command line for the calls of an entry host."""

import asyncio
import enum
import os

import aiohttp
from cicadafold_schema import messages
import msgspec

__all__ = ["CallFailed", "ExitCode", "call_api", "exit_code_of"]

TIMEOUT_S = 60.0
FIRST_FAILURE_STATUS = 300
ADDRESS_VARIABLE = "CICADAFOLD_ADDRESS"
TOKEN_VARIABLE = "CICADAFOLD_TOKEN"
DEFAULT_ADDRESS = "http://127.0.0.1:9001"

ERROR_DECODER = msgspec.json.Decoder(messages.ErrorReply)


class ExitCode(enum.IntEnum):
    """Exit codes of the command line, which scripts depend on.

    Attributes:
        DONE: The call succeeded.
        FAILED: The call failed in a way that no other code describes.
        USAGE: The arguments, the file or the call are not valid.
        NOT_RUN: No target has started the request or ever will.
        UNKNOWN: The request may have run.
        CONFLICT: The configuration has changed since the given revision, or
            the request id belongs to a different request.
        UNREACHABLE: The entry host did not answer.
    """

    DONE = 0
    FAILED = 1
    USAGE = 2
    NOT_RUN = 3
    UNKNOWN = 4
    CONFLICT = 5
    UNREACHABLE = 6


EXIT_BY_OUTCOME = {
    messages.Outcome.not_run: ExitCode.NOT_RUN,
    messages.Outcome.unknown: ExitCode.UNKNOWN,
}

EXIT_BY_CODE = {
    messages.ErrorCode.revision_conflict: ExitCode.CONFLICT,
    messages.ErrorCode.request_conflict: ExitCode.CONFLICT,
    messages.ErrorCode.invalid: ExitCode.USAGE,
    messages.ErrorCode.malformed: ExitCode.USAGE,
}


class CallFailed(Exception):
    """A call that was answered with an error, or not at all.

    Attributes:
        reply: ``ErrorReply`` of the entry host, or one made by this client
            if there is none.
        exit_code: ``ExitCode`` with which the command ends.
    """

    def __init__(self, *, reply, exit_code):
        super().__init__(reply.error.message)
        self.reply = reply
        self.exit_code = exit_code


def exit_code_of(reply):
    """Returns the exit code for an ``ErrorReply``."""
    known = EXIT_BY_CODE.get(reply.error.code)
    return known or EXIT_BY_OUTCOME.get(reply.outcome, ExitCode.FAILED)


def call_api(
    method, path, message_type, *, address="", token="", message=None
):
    """Makes one call and returns the decoded reply.

    Args:
        method: HTTP method.
        path: URL path of the call.
        message_type: Type of the reply.
        address: Base URL of an entry host or load balancer; if empty, that
            of the environment variable ``CICADAFOLD_ADDRESS``.
        token: Token that authorizes the call; if empty, that of the
            environment variable ``CICADAFOLD_TOKEN``.
        message: Message to send as the body, or None.

    Raises:
        CallFailed: The call was refused or not answered.
    """
    base = address or os.environ.get(ADDRESS_VARIABLE, DEFAULT_ADDRESS)
    token = token or os.environ.get(TOKEN_VARIABLE, "")
    body = asyncio.run(
        send_http_request(method, base.rstrip("/") + path, token, message)
    )
    return msgspec.json.decode(body, type=message_type)


async def send_http_request(method, url, token, message):
    """Sends one HTTP request and returns the body of the reply.

    Raises:
        CallFailed: The reply is an error, or there is none.
    """
    headers = {"Authorization": f"Bearer {token}"} if token else {}
    data = None if message is None else msgspec.json.encode(message)
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async with session.request(
                method, url, data=data, headers=headers
            ) as reply:
                body = await reply.read()
                if reply.status < FIRST_FAILURE_STATUS:
                    return body
                raise failure_from_reply(body)
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise failure_without_reply(url, error) from error


def failure_from_reply(body):
    """Returns the exception for an error reply, given its body."""
    try:
        reply = ERROR_DECODER.decode(body)
    except msgspec.DecodeError:
        reply = make_error_reply(
            "The reply was not sent by an entry host.",
            "Check the address of the entry host.",
        )
    return CallFailed(reply=reply, exit_code=exit_code_of(reply))


def failure_without_reply(url, error):
    """Returns the exception for a call that got no reply."""
    reply = make_error_reply(
        f"No answer from {url}: {type(error).__name__}.",
        f"Check --address or {ADDRESS_VARIABLE}, then query the status.",
    )
    return CallFailed(reply=reply, exit_code=ExitCode.UNREACHABLE)


def make_error_reply(message, remedy):
    """Returns an ``ErrorReply`` for an error that this client detected."""
    return messages.ErrorReply(
        outcome=messages.Outcome.unknown,
        error=messages.Error(
            code=messages.ErrorCode.internal, message=message, remedy=remedy
        ),
    )
