"""Calls of the scheduler to the processes that are linked to it."""

from cicadafold import exception
from cicadafold.peers import messages

__all__ = ["PeerClient"]

HEALTH_TIMEOUT_S = 0.2
NO_ANSWER_AGE_MS = 1e12


class PeerClient:
    """Calls to one process.

    Args:
        peer: Open link to the process.
    """

    def __init__(self, *, peer):
        self.peer = peer

    async def advise(self, job, occurrence, step, workers, *, timeout_s):
        """Lets the process call the advice service.

        Raises:
            TargetUnreachable: There was no usable answer.
            LinkNotOpen: The link is closed.
            LinkLost: No reply came.
        """
        reply = await self.peer.call(
            lambda number: messages.AdviseQuery(
                number, job, occurrence, step, workers, timeout_s
            ),
            timeout_s=timeout_s,
        )
        if reply.granted is None:
            raise exception.TargetUnreachable(message=reply.error, sent=True)
        return reply.granted

    async def store_age_ms(self):
        """Returns how long ago the store answered the process."""
        try:
            reply = await self.peer.call(
                messages.HealthQuery, timeout_s=HEALTH_TIMEOUT_S
            )
        except (exception.LinkNotOpen, exception.LinkLost):
            return NO_ANSWER_AGE_MS
        return reply.store_age_ms

    async def take_over(self, term):
        """Asks the process to claim the next term."""
        # If it is lost, the group names another process in time.
        await self.peer.send_if_open(messages.TakeOver(term))
