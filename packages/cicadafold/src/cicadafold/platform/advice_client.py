"""HTTP client of the advice service, which grants workers to a step."""

import aiohttp
import msgspec

from cicadafold import decoding
from cicadafold import exception

__all__ = ["AdviceClient"]

CONNECT_TIMEOUT_S = 0.5
STATUS_OK = 200
HEADERS = {"Content-Type": "application/json"}


class WireGrants(msgspec.Struct):
    """Answer of the advice service; ``granted`` pairs worker and ticket."""

    granted: list[tuple[str, str]] = []


decode = decoding.json_decoder(WireGrants)


class AdviceClient:
    """Calls the advice service.

    Args:
        session: HTTP client session.
        address: IP number and port of the service, or empty if the cell
            does not use one.
    """

    def __init__(self, *, session, address):
        self.session = session
        self.url = f"http://{address}/api/advise"

    async def advise(self, job, occurrence, step, workers, *, timeout_s):
        """Asks which workers a step may use.

        Args:
            job: Identifier of the job.
            occurrence: Number of the occurrence of the job.
            step: Number of the step.
            workers: Names of the candidate workers.
            timeout_s: Seconds to wait for the answer.

        Returns:
            Map from the name of each granted worker to its ticket.

        Raises:
            TargetUnreachable: The service did not answer, or not with a
                valid list of tickets.
        """
        message = {"step": f"{job}.{occurrence}.{step}", "workers": workers}
        timeout = aiohttp.ClientTimeout(
            total=timeout_s, connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self.session.post(
                self.url,
                data=msgspec.json.encode(message),
                headers=HEADERS,
                timeout=timeout,
            ) as answer:
                body = await answer.read()
                if answer.status != STATUS_OK:
                    raise no_answer_error(f"status {answer.status}")
                return dict(decode(body).granted)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise no_answer_error(repr(error)) from error
        except msgspec.MsgspecError as error:
            raise no_answer_error(repr(error)) from error


def no_answer_error(reason):
    """Returns the exception for a call without a valid answer."""
    return exception.TargetUnreachable(
        message=f"The advice service did not answer: {reason}.", sent=True
    )
