"""Client for the calls of the scheduler to a peer that is linked to it."""

from cicadafold import exception
from cicadafold.peers import messages

__all__ = ["PeerClient"]

HEALTH_TIMEOUT_S = 0.2
NO_ANSWER_AGE_MS = 1e12


class PeerClient:
    """Calls one peer over its link.

    Args:
        peer: ``PeerLink`` that the peer has opened.
    """

    def __init__(self, *, peer):
        self.peer = peer

    async def advise(self, job, occurrence, step, workers, *, timeout_s):
        """Has the peer call the advice service for a step of a job.

        Args:
            job: Identifier of the job.
            occurrence: Number of the job's occurrence.
            step: Number of the step.
            workers: Names of the workers that tickets are wanted for.
            timeout_s: Seconds that the peer and this process wait.

        Returns:
            Tickets by name of the worker.

        Raises:
            TargetUnreachable: The peer got no usable answer.
            LinkNotOpen: The link is closed.
            LinkLost: The peer did not answer in time.
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
        """Returns the milliseconds since the store last answered the peer.

        A peer that does not answer counts as one that the store has not
        answered for a very long time.
        """
        try:
            reply = await self.peer.call(
                messages.HealthQuery, timeout_s=HEALTH_TIMEOUT_S
            )
        except (exception.LinkNotOpen, exception.LinkLost):
            return NO_ANSWER_AGE_MS
        return reply.store_age_ms

    async def take_over(self, term, reason):
        """Asks the peer to claim the term that follows a given one.

        Args:
            term: Number of the term.
            reason: ``LossReason`` for which it is replaced.
        """
        # If the message is lost, the group at the store chooses a process
        # that claims the next term.
        await self.peer.send_if_open(messages.TakeOver(term, reason))
