"""Calls of a caller of jobs, as the command line makes them."""

import asyncio

import aiohttp
import msgspec

from cicadafold import exception
from cicadafold.platform import wire

__all__ = ["JobClient"]

TIMEOUT_S = 5.0
HEADERS = {"Content-Type": "application/json"}
STATUS_ACCEPTED = (200, 201, 202)
STATUS_GONE = 410
STATUS_NOT_RUN = (400, 404, 405, 413, 429, 503)


class JobClient:
    """Calls to the queue of one address.

    Args:
        address: IP number and port of an entry host.
        authority: Host name of the queue.
        prefix: Start of the queue's paths.
    """

    def __init__(self, *, address, authority, prefix):
        self.base = f"http://{address}{prefix}"
        self.headers = HEADERS | {"Host": authority}

    def submit(self, job, job_file):
        """Submits a job; the same identifier stays one job.

        Raises:
            LogUnavailable: It was not accepted and never will be.
            OutcomeUnknown: It may have been accepted.
            InvalidCall: It was refused for a fault of its own.
        """
        body = msgspec.json.encode(wire.job_document(job_file))
        status, answer = self.call("POST", job, body)
        if status not in STATUS_ACCEPTED:
            raise refused(status, answer)

    def state(self, job):
        """Returns the state of a job, None if there is none."""
        status, answer = self.call("GET", job)
        if status == STATUS_GONE:
            return None
        if status not in STATUS_ACCEPTED:
            raise refused(status, answer)
        return answer.get("state")

    def cancel(self, job):
        """Cancels a job and returns whether there was one."""
        status, answer = self.call("DELETE", job)
        if status == STATUS_GONE:
            return False
        if status not in STATUS_ACCEPTED:
            raise refused(status, answer)
        return True

    def pending(self):
        """Returns how many jobs of the queue have not started."""
        status, answer = self.call("GET", "")
        if status not in STATUS_ACCEPTED:
            raise refused(status, answer)
        return answer.get("pending")

    def call(self, method, job, body=None):
        """Makes a call and returns status and answer."""
        return asyncio.run(self.call_once(method, job, body))

    async def call_once(self, method, job, body):
        """Makes a call on a connection of its own."""
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                async with session.request(
                    method, self.base + job, data=body, headers=self.headers
                ) as answer:
                    return answer.status, await answer.json()
        except aiohttp.ClientConnectorError as error:
            raise exception.LinkNotOpen(
                message=f"The entry host was not reached: {error}.",
                remedy="Check --address, or try another entry host.",
            ) from error
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise exception.OutcomeUnknown(
                message=f"The entry host did not answer: {error!r}.",
                remedy="Send it again with the same ID.",
            ) from error


def refused(status, answer):
    """Returns the error of a call that was not answered with success."""
    message = str(answer.get("error", f"status {status}"))
    if status in (429, 503):
        return exception.LogUnavailable(
            message=f"Not accepted: {message}", remedy="Try again later."
        )
    if status in STATUS_NOT_RUN:
        return exception.InvalidCall(
            message=f"Refused: {message}.", remedy="Correct the call."
        )
    return exception.OutcomeUnknown(
        message=f"Not confirmed: {message}",
        remedy="Send it again with the same ID.",
    )
