"""The claims of terms that this process knows, and since when."""

from cicadafold import clock

__all__ = ["ClaimHistory"]

MAX_CLAIMS = 64


class ClaimHistory:
    """The newest claims, with the time at which each became known.

    A claim is in the log before it is known here, so a term that was replaced
    by it had its last proof before that time.

    Attributes:
        claims: All claims of the log from the first one of it on, by term.
        learned_ms: Monotonic time in milliseconds at which a claim became
            known, by its term. The first claim that the process read is left
            out: the process had just started, and the scheduler before may
            not have known it and asked it for no proof.
        first: Term of that claim, None before it.
    """

    def __init__(self):
        self.claims = {}
        self.learned_ms = {}
        self.first = None

    def restart(self):
        """Forgets the claims, as some of the log may not have been read."""
        self.claims.clear()

    def add(self, claim):
        """Notes that a claim is known.

        Args:
            claim: ``Claim`` that was read from the log or announced.
        """
        if self.claims and claim.term < min(self.claims):
            # Claims between it and the others may not have been read.
            return
        if self.first is None:
            self.first = claim.term
        if claim.term > self.first:
            self.learned_ms.setdefault(claim.term, clock.monotonic_ms())
        self.claims[claim.term] = claim
        if len(self.claims) > MAX_CLAIMS:
            del self.claims[min(self.claims)]
        if len(self.learned_ms) > MAX_CLAIMS:
            del self.learned_ms[min(self.learned_ms)]

    def replaced_ms(self, term):
        """Returns a time by which a term, or a later one, was claimed.

        Returns:
            Monotonic time in milliseconds; None if none of these claims
            became known while this process followed the claims.
        """
        return min(
            (
                at_ms
                for other, at_ms in self.learned_ms.items()
                if other >= term
            ),
            default=None,
        )

    def all_spare_unheard(self, *, after, before):
        """Whether no term between two can have served an unheard worker.

        A process reads all claims before it claims a term, so it knows those
        before its own, from the first one on that it has read.

        Args:
            after: Term that has recorded the workers.
            before: Term of this process.
        """
        return after in self.claims and all(
            claim.spares_unheard
            for term, claim in self.claims.items()
            if after < term < before
        )
