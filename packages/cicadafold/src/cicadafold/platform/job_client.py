"""HTTP client for submitting jobs, used by the command line."""

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
STATUS_NOT_RUN = (400, 401, 404, 405, 413, 429, 503)
KEY_HEADER = "Cicadafold-Key"


class JobClient:
    """Calls for the jobs of one queue.

    Args:
        address: IP number and port of an entry host.
        authority: Host name of the queue, sent as the ``Host`` header.
        prefix: Prefix of the queue's URL paths.
        key: Key of the caller's team, empty for none.

    Raises:
        InvalidCall: The key contains characters that no key can have.
    """

    def __init__(self, *, address, authority, prefix, key=""):
        self.base = f"http://{address}{prefix}"
        self.headers = HEADERS | {"Host": authority}
        if key and not (key.isascii() and key.isprintable()):
            raise exception.InvalidCall(
                message="The key contains characters that no key can have.",
                remedy="Check the file or the variable that holds it.",
            )
        if key:
            self.headers[KEY_HEADER] = key

    def submit(self, job, job_file):
        """Submits a job.

        Submitting a job again with the same identifier has no further
        effect.

        Args:
            job: Identifier of the job, 16 hexadecimal digits.
            job_file: Decoded job file.

        Raises:
            LogUnavailable: The job was not accepted.
            OutcomeUnknown: The job may have been accepted.
            InvalidCall: The job or the call is not valid.
            LinkNotOpen: The entry host could not be reached.
        """
        body = msgspec.json.encode(wire.job_document(job_file))
        status, answer = self.call("POST", job, body)
        if status not in STATUS_ACCEPTED:
            raise error_from_status(status, answer)

    def state(self, job):
        """Returns the state of a job as text, or None for an unknown job."""
        status, answer = self.call("GET", job)
        if status == STATUS_GONE:
            return None
        if status not in STATUS_ACCEPTED:
            raise error_from_status(status, answer)
        return answer.get("state")

    def cancel(self, job):
        """Cancels a job and returns whether the job was known."""
        status, answer = self.call("DELETE", job)
        if status == STATUS_GONE:
            return False
        if status not in STATUS_ACCEPTED:
            raise error_from_status(status, answer)
        return True

    def pending(self):
        """Returns the number of jobs in the queue that have not started."""
        status, answer = self.call("GET", "")
        if status not in STATUS_ACCEPTED:
            raise error_from_status(status, answer)
        return answer.get("pending")

    def call(self, method, job, body=None):
        """Makes a call and returns the HTTP status and the decoded answer."""
        return asyncio.run(self.call_once(method, job, body))

    async def call_once(self, method, job, body):
        """Makes a call on a new connection.

        Raises:
            LinkNotOpen: The entry host could not be reached.
            OutcomeUnknown: The entry host did not answer.
        """
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                async with session.request(
                    method, self.base + job, data=body, headers=self.headers
                ) as answer:
                    return answer.status, await answer.json()
        except aiohttp.ClientConnectorError as error:
            raise exception.LinkNotOpen(
                message=f"The entry host could not be reached: {error}.",
                remedy="Check --address, or try another entry host.",
            ) from error
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise exception.OutcomeUnknown(
                message=f"The entry host did not answer: {error!r}.",
                remedy="Send it again with the same ID.",
            ) from error


def error_from_status(status, answer):
    """Returns the exception for a call whose status is an error."""
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
