"""Hands a term over to a peer that can run the scheduler better."""

import asyncio

from cicadafold import clock
from cicadafold.election import loss
from cicadafold.telemetry import logs

__all__ = ["Handover"]

CHECK_PERIOD_S = 0.1
# Covers the round trip of the query to the peer.
QUERY_MARGIN_MS = 120.0
# A term is handed over on priority only to a peer whose election priority is
# at least this many times that of this process.
PRIORITY_FACTOR = 1.5
# Minimum age of a term before it is handed over on priority. The store must
# also have answered the peer within this time.
STABLE_MS = 1000.0
# Minimum time for which the store must have failed, times the patience.
MIN_FAILURE_MS = 250.0

REASONS = {
    loss.LossReason.PREFERRED: (
        "a peer with a much higher election priority exists"
    ),
    loss.LossReason.HANDED_OVER: "the store does not answer this process",
}

LOG = logs.get_logger("term")


class Handover:
    """Chooses the peer that a term is handed over to, and when.

    A term is handed over if the store no longer answers this process but
    answers a peer, or if a peer has a much higher election priority.

    Args:
        term: Number of the term.
        store: Client of the store.
        list_peers: Function that returns the handles of the peers.
        election_priority: Election priority of this process.
        term_started_ms: Monotonic time of the term's start, in milliseconds.
        patience: Factor on the times after which the term is handed over.
    """

    def __init__(
        self,
        *,
        term,
        store,
        list_peers,
        election_priority,
        term_started_ms,
        patience,
    ):
        self.term = term
        self.store = store
        self.list_peers = list_peers
        self.election_priority = election_priority
        self.term_started_ms = term_started_ms
        self.patience = patience

    async def run(self):
        """Checks periodically for a peer to hand the term over to.

        Returns:
            Reason of the handover, once a peer was asked to take over.
        """
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            reason, peer = await self.choose()
            if peer is None:
                continue
            LOG.warning(
                "Handing the term over to a peer.",
                fields={
                    "term": self.term,
                    "peer": peer.member,
                    "reason": REASONS[reason],
                },
            )
            await peer.take_over(self.term, reason)
            return REASONS[reason]

    async def choose(self):
        """Chooses whether to hand the term over, and to which peer.

        Returns:
            The ``LossReason`` and the handle of the peer, None for no peer.
        """
        if not self.store.failing:
            preferred = await self.find_preferred_peer()
            return loss.LossReason.PREFERRED, preferred
        peer = None
        if self.store_fails_for_long():
            peer = await self.find_successor()
        return loss.LossReason.HANDED_OVER, peer

    def store_fails_for_long(self):
        """Whether the store fails for longer than the term's patience."""
        failing_ms = clock.monotonic_ms() - self.store.failing_since_ms
        return failing_ms >= MIN_FAILURE_MS * self.patience

    async def find_successor(self):
        """Returns the handle of a peer that the store answers, or None.

        The store must have answered the peer after the failures of this
        process started. Otherwise the store is down for all processes, and the
        term continues here.
        """
        peers = [peer for peer in self.list_peers() if peer.store_age_ms]
        # The peers tell ages as of their answers, none of which is older
        # than the question; the last answer may come much later.
        failing_ms = clock.monotonic_ms() - self.store.failing_since_ms
        ages = await asyncio.gather(*(peer.store_age_ms() for peer in peers))
        served = [
            peer
            for peer, age_ms in zip(peers, ages)
            if age_ms <= failing_ms - QUERY_MARGIN_MS
        ]
        return max(
            served, key=lambda peer: peer.election_priority, default=None
        )

    async def find_preferred_peer(self):
        """Returns the peer with the highest election priority, or None.

        Returns:
            Handle of the peer; None if no peer's priority is high enough,
            the term is too young, or the store has not answered the peer
            lately.
        """
        age_ms = clock.monotonic_ms() - self.term_started_ms
        min_priority = self.election_priority * PRIORITY_FACTOR
        peers = [
            x for x in self.list_peers() if x.election_priority >= min_priority
        ]
        if not peers or age_ms < STABLE_MS * self.patience:
            return None
        peer = max(peers, key=lambda peer: peer.election_priority)
        if await peer.store_age_ms() > STABLE_MS:
            return None
        return peer
