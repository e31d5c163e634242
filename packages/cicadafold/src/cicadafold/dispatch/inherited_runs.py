"""What earlier terms may have left running on workers.

Starts are not recorded. A new term learns what runs from the workers
themselves; those that do not answer may still run tasks until a lease is
over. The record of known workers narrows this down: it names the workers,
and for one that was silent or leaving already the tasks it may run.
"""

from cicadafold import clock
from cicadafold.dispatch import runs
from cicadafold.journal import records
from cicadafold.telemetry import logs

__all__ = ["InheritedRuns"]

# The registry is whole again this long after an outage of the store.
REGISTRY_BACK_MS = 2300.0
# A few renewals; a worker that is recorded as silent is not used again
# before that is recorded too.
LONG_SILENT_MS = 600.0

LOG = logs.get_logger("inherit")


class InheritedRuns:
    """Tells which inherited tasks may still run somewhere.

    Args:
        workers: Workers by name.
        store: Client of the store.
        begun_ms: Monotonic time of the term's begin.
        lease_ms: Length of the leases that schedulers ask for.

    Attributes:
        recorded: Whether the last term has recorded its workers.
        open_names: Workers that the record lets be given runs.
        suspects: Tasks that may run on a worker that has not answered.
    """

    def __init__(self, *, workers, store, term_started_ms, lease_ms):
        self.workers = workers
        self.store = store
        self.leases_lapsed_ms = (
            term_started_ms
            + lease_ms * runs.SLOW_CLOCK_FACTOR
            + runs.LEASE_MARGIN_MS
        )
        self.term_started_ms = term_started_ms
        self.has_record = False
        self.open_names = set()
        self.possible_runs = {}
        self.known_pools = set()

    def load(self, known, job_table):
        """Takes the record of the last term.

        Args:
            known: Record of the workers, or None.
            table: Jobs, whose suspect tasks have to wait.
        """
        self.has_record = known is not None
        for worker in known.workers if known else ():
            if worker.tasks is None:
                self.open_names.add(worker.report.id)
                continue
            tasks = list(filter(None, map(job_table.find, worker.tasks)))
            self.possible_runs[worker.report.id] = tasks
            for task in tasks:
                task.not_before_ms = self.leases_lapsed_ms

    def worker_records(self):
        """Returns the record of all workers for the next term."""
        return [
            records.KnownWorker(worker.report, self.possible_tasks(worker))
            for worker in self.workers.values()
        ]

    def possible_tasks(self, worker):
        """Returns the tasks that may run on a worker without new ones.

        Returns:
            Names of tasks, some of which may have ended; None if more may
            be started on the worker, or if its tasks are not known.
        """
        answers = worker.silent_since_ms is None
        if not worker.report.draining and (
            answers
            or not (worker.closed_to_starts or self.is_long_silent(worker))
        ):
            return None
        if worker.fenced:
            return [run.name for run in worker.runs.values()]
        # It has not answered in this term; the last one's list holds.
        possible_runs = self.possible_runs.get(worker.report.id)
        if possible_runs is None:
            return None
        return [task.name for task in possible_runs]

    def is_long_silent(self, worker):
        """Whether a worker is silent, and not just for one lost answer."""
        if worker.silent_since_ms is None:
            return False
        silent_ms = clock.monotonic_ms() - worker.silent_since_ms
        return silent_ms >= LONG_SILENT_MS

    def on_worker_answered(self, name):
        """Releases the tasks of a worker that has given its list."""
        for task in self.possible_runs.pop(name, ()):
            task.not_before_ms = 0.0

    def all_runs_known(self, pool):
        """Whether no worker of a pool may run tasks that are unknown."""
        if pool in self.known_pools:
            return True
        now_ms = clock.monotonic_ms()
        if now_ms < self.leases_lapsed_ms and self.has_unknown_runs(
            pool, now_ms
        ):
            return False
        self.known_pools.add(pool)
        LOG.info(
            "All workers of a pool are accounted for.",
            fields={
                "pool": pool,
                "took_ms": round(now_ms - self.term_started_ms),
                "unanswered": sum(
                    not worker.fenced for worker in self.workers.values()
                ),
                "suspects": len(self.possible_runs),
            },
        )
        return True

    def has_unknown_runs(self, pool, now_ms):
        """Whether a worker of a pool has not been accounted for."""
        outage_ms = now_ms - self.store.failed_ms
        if outage_ms < REGISTRY_BACK_MS and not self.has_record:
            return True
        return any(
            worker.report.pool == pool
            and not worker.fenced
            and name not in self.possible_runs
            for name, worker in self.workers.items()
        )
