"""Client of the service that names the workers a step may use."""

import aiohttp
import msgspec

from cicadafold import exception

__all__ = ["AdviceClient"]

CONNECT_TIMEOUT_S = 0.5
STATUS_OK = 200
HEADERS = {"Content-Type": "application/json"}


class WireGrants(msgspec.Struct):
    """Answer to a call: pairs of worker and ticket."""

    granted: list[tuple[str, str]] = []


decode = msgspec.json.Decoder(WireGrants).decode


class AdviceClient:
    """Calls to the advice service from this process.

    Args:
        session: Client session.
        address: IP number and port, or empty if there is no such service.
    """

    def __init__(self, *, session, address):
        self.session = session
        self.url = f"http://{address}/api/advise"

    async def advise(self, job, occurrence, step, workers, *, timeout_s):
        """Returns the tickets of the workers that a step may use.

        Args:
            job: Identifier of the job.
            occurrence: Number of the occurrence.
            step: Number of the step.
            workers: Names of the workers asked about.
            timeout_s: Seconds to wait for the answer.

        Returns:
            Map from worker to ticket.

        Raises:
            TargetUnreachable: There was no usable answer.
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
                    raise failed(f"status {answer.status}")
                return dict(decode(body).granted)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise failed(repr(error)) from error
        except msgspec.MsgspecError as error:
            raise failed(repr(error)) from error


def failed(reason):
    """Returns the error of a call without a usable answer."""
    return exception.TargetUnreachable(
        message=f"The advice service did not answer: {reason}.", sent=True
    )
