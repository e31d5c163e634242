"""What earlier terms may have left running on workers.

Starts are not recorded. A new term learns what runs from the workers
themselves; those that do not answer may still run tasks until the longest
lease is over. The record of known workers narrows this down: it names the
workers, and for one that was silent already the tasks it may run.
"""

from cicadafold import clock
from cicadafold.dispatch import runs
from cicadafold.journal import records
from cicadafold.telemetry import logs

__all__ = ["Inheritance", "known_worker"]

# The registry is whole again this long after an outage of the store.
REGISTRY_BACK_MS = 2300.0

LOG = logs.get_logger("inherit")


def known_worker(worker):
    """Returns the record of a worker."""
    silent = worker.silent_since_ms is not None
    return records.KnownWorker(
        worker.report,
        silent,
        [run.name for run in worker.runs.values()] if silent else [],
    )


class Inheritance:
    """Tells which inherited tasks may still run somewhere.

    Args:
        workers: Workers by name.
        store: Client of the store.
        begun_ms: Monotonic time of the term's begin.
        longest_ms: Longest lease that a worker grants.
    """

    def __init__(self, *, workers, store, begun_ms, longest_ms):
        self.workers = workers
        self.store = store
        self.over_ms = (
            begun_ms + longest_ms * runs.SLOW_CLOCK + runs.LAPSE_MARGIN_MS
        )
        self.begun_ms = begun_ms
        self.recorded = False
        self.suspects = {}
        self.settled_pools = set()

    def take(self, known, table):
        """Takes the record of the last term.

        Args:
            known: Record of the workers, or None.
            table: Jobs, whose suspect tasks have to wait.
        """
        self.recorded = known is not None
        for worker in known.workers if known else ():
            if not worker.silent:
                continue
            tasks = list(filter(None, map(table.find, worker.tasks)))
            self.suspects[worker.report.id] = tasks
            for task in tasks:
                task.not_before_ms = self.over_ms

    def answered(self, name):
        """Releases the tasks of a worker that has given its list."""
        for task in self.suspects.pop(name, ()):
            task.not_before_ms = 0.0

    def settled(self, pool):
        """Whether no worker of a pool may run tasks that are unknown."""
        if pool in self.settled_pools:
            return True
        now_ms = clock.monotonic_ms()
        if now_ms < self.over_ms and self.open(pool, now_ms):
            return False
        self.settled_pools.add(pool)
        LOG.info(
            "All workers of a pool are accounted for.",
            fields={"pool": pool, "took_ms": round(now_ms - self.begun_ms)},
        )
        return True

    def open(self, pool, now_ms):
        """Whether a worker of a pool has not been accounted for."""
        outage_ms = now_ms - self.store.failed_ms
        if outage_ms < REGISTRY_BACK_MS and not self.recorded:
            return True
        return any(
            worker.report.pool == pool
            and not worker.fenced
            and name not in self.suspects
            for name, worker in self.workers.items()
        )
