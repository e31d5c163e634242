"""Hands a term to a host that can carry it better."""

import asyncio

from cicadafold import clock
from cicadafold.telemetry import logs

__all__ = ["Handover"]

LOOK_PERIOD_S = 0.1
# Covers the time of the question to the peer.
SERVED_MARGIN_MS = 120.0
# A term moves only to a host that is stronger by this factor, and not
# before it has lasted a while.
STRONGER_FACTOR = 1.5
CALM_MS = 1000.0

LOG = logs.get_logger("term")


class Handover:
    """Finds a host that the store serves, or one that is much stronger.

    Args:
        term: Number of the term.
        store: Client of the store.
        lines: Function that returns the lines to other processes.
        election_priority: How well this host can carry a scheduler.
        begun_ms: Monotonic time of the term's begin.
    """

    def __init__(
        self, *, term, store, list_peers, election_priority, term_started_ms
    ):
        self.term = term
        self.store = store
        self.list_peers = list_peers
        self.election_priority = election_priority
        self.term_started_ms = term_started_ms

    async def run(self):
        """Looks for a better host again and again.

        Returns:
            Why the term was handed over, once it was.
        """
        while True:
            await asyncio.sleep(LOOK_PERIOD_S)
            reason = "the store does not serve this process"
            if self.store.failing:
                peer = await self.find_successor()
            else:
                reason = "a much stronger host takes over"
                peer = await self.find_preferred_peer()
            if peer is None:
                continue
            LOG.warning(
                "The term is handed to a peer.",
                fields={
                    "term": self.term,
                    "peer": peer.member,
                    "reason": reason,
                },
            )
            await peer.take_over(self.term)
            return reason

    async def find_successor(self):
        """Returns the line of a peer that the store serves, or None.

        The store must have answered the peer after it began to fail here;
        otherwise it is down for all, and the term goes on.
        """
        lines = [line for line in self.list_peers() if line.store_age_ms]
        ages = await asyncio.gather(*(line.store_age_ms() for line in lines))
        failing_ms = clock.monotonic_ms() - self.store.failing_since_ms
        served = [
            line
            for line, age_ms in zip(lines, ages)
            if age_ms <= failing_ms - SERVED_MARGIN_MS
        ]
        return max(
            served, key=lambda line: line.election_priority, default=None
        )

    async def find_preferred_peer(self):
        """Returns the line of a much stronger peer, or None."""
        age_ms = clock.monotonic_ms() - self.term_started_ms
        least = self.election_priority * STRONGER_FACTOR
        lines = [x for x in self.list_peers() if x.election_priority >= least]
        if not lines or age_ms < CALM_MS:
            return None
        line = max(lines, key=lambda line: line.election_priority)
        if await line.store_age_ms() > CALM_MS:
            return None
        return line
