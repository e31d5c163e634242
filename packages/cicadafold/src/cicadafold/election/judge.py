"""Judges whether the scheduler serves its term, and when it is replaced."""

from cicadafold import clock
from cicadafold.election import loss
from cicadafold.election import terms
from cicadafold.peers import messages

__all__ = ["HEALTH_TIMEOUT_S", "SchedulerJudge"]

# A healthy scheduler answers within one round trip between regions.
HEALTH_TIMEOUT_S = 0.25
# A scheduler is healthy again within a few reads after an outage of the store.
DEGRADED_GRACE_MS = 1000.0
# A term of this age has settled: how many were replaced before it does not
# matter any more.
SETTLED_MS = 60_000.0
# A host may lose power, so silence is borne for less time than answers of a
# degraded term. Each check asks several processes and takes about a second.
MAX_UNANSWERED_CHECKS = 3
# Age below which a term is not replaced by the successor of the group. It
# covers the recovery of a scheduler on a host with a narrow link.
NEW_TERM_GRACE_MS = 3000.0

# None stands for no answer.
LOSSES = {
    messages.Health.HEALTHY: None,
    messages.Health.DEGRADED: loss.LossReason.DEGRADED,
    messages.Health.NO_TERM: loss.LossReason.NO_TERM_SERVED,
    None: loss.LossReason.NO_ANSWER,
}

BEST_FIRST = (
    messages.Health.HEALTHY,
    messages.Health.DEGRADED,
    messages.Health.NO_TERM,
)


class SchedulerJudge:
    """Judges the term of the newest claim for the successor.

    Args:
        store: Client of the store.
        claims: ``ClaimsTail`` of this process.
        member: Name of this process.
        is_serving: Function that returns whether this process serves a term.
        health: Coroutine function that returns the ``Health`` of the term of
            the newest claim, or None if its process does not answer.
        ask_health: Coroutine function that returns the ``KnownHealth`` of
            some processes, without the one at the given address.

    Attributes:
        doubted_term: Newest term when it was judged last.
        doubts: Number of times in a row that it was found lost.
    """

    def __init__(
        self, *, store, claims, member, is_serving, health, ask_health
    ):
        self.store = store
        self.claims = claims
        self.member = member
        self.is_serving = is_serving
        self.health = health
        self.ask_health = ask_health
        self.doubted_term = 0
        self.doubts = 0

    async def find_loss(self):
        """Returns why the newest term has to be replaced, None if it serves.

        The group may assign the successor anew whenever members come and go;
        that alone does not end a term that is served.

        Returns:
            The ``LossReason``, or None.
        """
        newest = self.claims.newest
        if newest is None:
            return loss.LossReason.NO_TERM_KNOWN
        if newest.member == self.member:
            if self.is_serving():
                return None
            return loss.LossReason.NO_TERM_SERVED
        age_ms = clock.monotonic_ms() - self.claims.newest_at_ms
        if age_ms < NEW_TERM_GRACE_MS:
            # Peers may not have opened their links to a new scheduler yet. If
            # its process ends meanwhile, ``replace_lost_scheduler`` claims.
            return None
        health = await self.health(timeout_s=HEALTH_TIMEOUT_S)
        if health is None:
            health = await self.health_at_peers(newest)
        if health is messages.Health.DEGRADED:
            # After an outage of the store the scheduler needs some time to
            # recover, as this process did.
            recovered_ms = clock.monotonic_ms() - self.store.last_failed_ms
            if recovered_ms < DEGRADED_GRACE_MS:
                return None
        return LOSSES[health]

    async def health_at_peers(self, claim):
        """Returns the best health that peers know of a term, None for none.

        Only the link from this process to the scheduler may be lost, or the
        scheduler may be slow for a moment.

        Args:
            claim: Newest claim that this process knows.
        """
        known = await self.ask_health(without=claim.address)
        if any(each.term > claim.term for each in known):
            return messages.Health.HEALTHY
        found = {each.health for each in known if each.term == claim.term}
        return next((each for each in BEST_FIRST if each in found), None)

    def patience_is_exhausted(self, reason):
        """Whether the newest term was found lost often enough in a row.

        Args:
            reason: ``LossReason`` found now, or None.
        """
        term = self.claims.newest_term()
        if reason is None or term != self.doubted_term:
            self.doubted_term = term
            self.doubts = 0
        if reason is None:
            return False
        self.doubts += 1
        return self.doubts >= self.checks(reason)

    def checks(self, reason):
        """Returns how often in a row a loss has to be found.

        Args:
            reason: ``LossReason`` that was found.
        """
        if not reason.judged:
            return 1
        patience = self.claims.newest.patience
        if reason is loss.LossReason.NO_ANSWER:
            return min(patience, MAX_UNANSWERED_CHECKS)
        return patience

    def count_replaced(self, reason):
        """Returns how many terms in a row were judged and replaced.

        Args:
            reason: ``LossReason`` for which the newest term is replaced.
        """
        newest = self.claims.newest
        if newest is None:
            return 0
        age_ms = clock.monotonic_ms() - self.claims.newest_at_ms
        before = newest.replaced if age_ms < SETTLED_MS else 0
        return min(before + reason.judged, terms.MAX_REPLACED)
