"""Workers that have not answered one or several terms in a row.

A term grants no lease to a worker that has never answered it and starts
nothing there. So the leases of such a worker were granted before the first
of these terms was claimed, however many terms have followed.

A process that followed the claims counts the lapse from that claim. One that
has started since takes the time that was left when the record was written.
"""

from cicadafold import clock
from cicadafold.election import claim_history

__all__ = ["UnheardWorkers"]


class UnheardWorkers:
    """First terms since which no term has heard some workers.

    The record of the workers holds them for the next term. A worker that is
    recorded so gets neither tasks nor leases until a record that does not
    name it so is durable: the next term would take them as lapsed.

    Args:
        term: Number of the term.
        claims: ``ClaimHistory`` of the process.

    Attributes:
        since: First term since which no term has heard a worker, by its name.
        lapsed_ms: Monotonic time in milliseconds by which the leases of a
            worker have lapsed according to the record, by its name.
    """

    def __init__(self, *, term=0, claims=None):
        self.term = term
        self.claims = claims or claim_history.ClaimHistory()
        self.since = {}
        self.lapsed_ms = {}

    def load(self, known):
        """Loads what the term before has recorded.

        A term of an earlier release between the recorded one and this one may
        have granted leases and left no record. The workers then count as
        unheard since this term.

        Args:
            known: ``KnownWorkers`` that was read.
        """
        follows = self.claims.all_spare_unheard(
            after=known.term, before=self.term
        )
        now_ms = clock.monotonic_ms()
        for worker in known.workers:
            name = worker.report.id
            if not worker.unheard_since:
                continue
            self.since[name] = worker.unheard_since if follows else self.term
            if follows:
                self.lapsed_ms[name] = now_ms + worker.lapse_in_ms

    def on_answered(self, name):
        """Handles the first answer of a worker."""
        self.since.pop(name, None)
        self.lapsed_ms.pop(name, None)

    def note_silent(self, worker):
        """Notes that a worker has been silent for long in this term.

        Args:
            worker: State of the worker, which may have answered before.
        """
        if not worker.fenced and worker.clock.updated_ms is None:
            self.since.setdefault(worker.report.id, self.term)

    def granted_until_ms(self, name):
        """Returns a time by which the last lease of a worker was granted.

        Returns:
            Monotonic time in milliseconds; None if no time before this term
            is known.
        """
        since = self.since.get(name, self.term)
        return None if since >= self.term else self.claims.replaced_ms(since)
