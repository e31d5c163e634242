"""Run attempts that earlier terms may have left on the workers.

Start commands are not recorded in the journal. A new term learns from the
workers themselves what they run. A worker that does not answer may still run
tasks until its leases have lapsed. The record of workers that the last term
left in the journal narrows this down: it names the workers and, for each
worker that was already silent or draining, the tasks that it may run.
"""

import math

from cicadafold import clock
from cicadafold.dispatch import runs
from cicadafold.dispatch import unheard_workers
from cicadafold.journal import records
from cicadafold.telemetry import logs

__all__ = ["InheritedRuns"]

# After an outage of the store it takes this long until all workers are
# listed in the registry again.
REGISTRY_RECOVERY_MS = 2300.0
# Covers a few renewals. A worker that is recorded as silent gets no new tasks
# until its return has been recorded too, so one lost answer must not count.
MIN_SILENCE_MS = 600.0
MAX_LOGGED_WORKERS = 20

LOG = logs.get_logger("inherit")


class InheritedRuns:
    """Tracks which inherited tasks may still run on some worker.

    Args:
        workers: Workers by name.
        store: Client of the store.
        term_started_ms: Monotonic time of the term's start, in milliseconds.
        horizon_ms: Longest time in milliseconds for which leases of an
            earlier term may go on after the start of this one.
        crashes: ``CrashTracker`` of the term.
        unheard: ``UnheardWorkers`` of the term.

    Attributes:
        leases_lapsed_ms: Monotonic time, in milliseconds, by which all
            leases of earlier terms have lapsed.
        has_record: Whether the last term recorded its workers.
        open_names: Names of the workers that may be given tasks according to
            that record.
        possible_runs: By name of a worker that has not answered in this
            term, the tasks that it may run according to that record.
        possible_names: The names of these tasks by name of the worker, also
            of tasks whose job has ended.
        known_pools: Pools for which ``all_runs_known`` has become true.
        recorded_born_ms: Start of the recorded incarnation by name of the
            worker, 0 if it is not known.
        restarted: Names of workers that answered in another incarnation than
            the recorded one.
        accounted: Names of workers that answered and whose tasks were
            recorded.
        unread: Workers by name that answer, while some of the ends that they
            hold have not been read.
        wait_reported: Whether the wait for silent workers has been logged.
    """

    def __init__(
        self,
        *,
        workers,
        store,
        term_started_ms,
        horizon_ms,
        crashes,
        unheard=None,
    ):
        self.unheard = unheard or unheard_workers.UnheardWorkers()
        self.workers = workers
        self.store = store
        self.crashes = crashes
        self.horizon_ms = horizon_ms
        self.leases_lapsed_ms = self.lapse_of_leases(term_started_ms)
        self.term_started_ms = term_started_ms
        self.has_record = False
        self.open_names = set()
        self.possible_runs = {}
        self.possible_names = {}
        self.known_pools = set()
        self.recorded_born_ms = {}
        self.restarted = set()
        self.accounted = set()
        self.unread = {}
        self.wait_reported = False
        crashes.inherited_runs = self

    def lapse_of_leases(self, granted_ms):
        """Returns the time by which leases have lapsed.

        Args:
            granted_ms: Monotonic time, in milliseconds, of the last moment
                at which they may have been granted.
        """
        return (
            granted_ms
            + self.horizon_ms * runs.SLOW_CLOCK_FACTOR
            + runs.LEASE_MARGIN_MS
        )

    def load(self, known, job_table):
        """Loads the record of workers that the last term left.

        The workers are called from now on. A scheduler that does not reach
        the store may extend their leases even later, but not beyond the
        horizon of its last proof that its term was the newest one.

        Tasks that may still run on a worker are not started elsewhere until
        the worker answers or its leases have lapsed. For a worker that
        earlier terms have not heard either, that time began with them.

        Args:
            known: Record of the workers, or None if there is none.
            job_table: Jobs, to look up the recorded tasks.
        """
        self.leases_lapsed_ms = self.lapse_of_leases(clock.monotonic_ms())
        self.has_record = known is not None
        if known is not None:
            self.unheard.load(known)
        for worker in known.workers if known else ():
            self.recorded_born_ms[worker.report.id] = worker.born_ms
            if worker.tasks is None:
                if not worker.unheard_since:
                    self.open_names.add(worker.report.id)
                continue
            tasks = list(filter(None, map(job_table.find, worker.tasks)))
            self.possible_runs[worker.report.id] = tasks
            self.possible_names[worker.report.id] = worker.tasks
            lapsed_ms = self.worker_lapsed_ms(worker.report.id)
            for task in tasks:
                task.not_before_ms = max(task.not_before_ms, lapsed_ms)
                self.crashes.doubtful[task] = (
                    worker.report.id,
                    worker.born_ms,
                )

    def worker_lapsed_ms(self, name):
        """Returns the time by which the leases of earlier terms have lapsed.

        Args:
            name: Name of a worker that has not answered this term.
        """
        granted_ms = self.unheard.granted_until_ms(name)
        return min(
            self.leases_lapsed_ms,
            self.unheard.lapsed_ms.get(name, math.inf),
            math.inf
            if granted_ms is None
            else self.lapse_of_leases(granted_ms),
        )

    def worker_records(self):
        """Returns the records of all workers, to be read by the next term."""
        for worker in filter(self.is_long_silent, self.workers.values()):
            self.unheard.note_silent(worker)
        return [
            records.KnownWorker(
                worker.report,
                self.possible_tasks(worker),
                worker.born_ms or self.recorded_born_ms.get(name, 0),
                self.unheard.since.get(name, 0),
                self.left_until_lapse_ms(name),
            )
            for name, worker in self.workers.items()
        ]

    def left_until_lapse_ms(self, name):
        """Returns the whole milliseconds until leases have lapsed.

        Args:
            name: Name of a worker; 0 is returned unless it is unheard.
        """
        if name not in self.unheard.since:
            return 0
        left_ms = self.worker_lapsed_ms(name) - clock.monotonic_ms()
        return min(max(0, math.ceil(left_ms)), records.MAX_LAPSE_MS)

    def possible_tasks(self, worker):
        """Returns the tasks that a worker may run, if it gets no new ones.

        Returns:
            Names of the tasks, some of which may have ended; None if the
            worker may be given more tasks, or if its tasks are not known.
        """
        answers = (
            worker.silent_since_ms is None
            and worker.report.id not in self.unheard.since
        )
        if not worker.report.draining and (
            answers
            or not (worker.closed_to_starts or self.is_long_silent(worker))
        ):
            return None
        if worker.runs_known:
            return [run.name for run in worker.runs.values()]
        # The worker has not told all its run attempts in this term, so the
        # record of the last term still holds.
        possible_runs = self.possible_runs.get(worker.report.id)
        if possible_runs is None:
            return None
        return [task.name for task in possible_runs]

    def is_long_silent(self, worker):
        """Whether a worker has been silent for ``MIN_SILENCE_MS`` or longer.

        Args:
            worker: State of the worker.
        """
        if worker.silent_since_ms is None:
            return False
        silent_ms = clock.monotonic_ms() - worker.silent_since_ms
        return silent_ms >= MIN_SILENCE_MS

    def on_worker_answered(self, worker):
        """Notes whether a worker that answers has restarted.

        Args:
            worker: State of the worker.
        """
        name = worker.report.id
        self.unheard.on_answered(name)
        born_ms = self.recorded_born_ms.pop(name, 0)
        if born_ms not in (0, worker.born_ms):
            self.restarted.add(name)

    def on_inventory_applied(self, worker):
        """Clears the earliest start time of the tasks recorded for a worker.

        Its inventories have listed which of them it still runs, and which
        have ended. While ends are unread, inherited tasks wait: any of them
        may have ended there.

        Args:
            worker: State of the worker.
        """
        name = worker.report.id
        if not worker.runs_known:
            self.unread[name] = worker
            return
        self.unread.pop(name, None)
        if name not in self.possible_runs:
            return
        tasks = self.possible_runs.pop(name)
        self.possible_names.pop(name, None)
        self.accounted.add(name)
        for task in tasks:
            if not self.may_run_elsewhere(task):
                task.not_before_ms = 0.0
        self.crashes.on_inherited_worker(
            name, tasks, restarted=name in self.restarted
        )

    def may_run_elsewhere(self, task):
        """Whether the record names a task for a worker without an answer.

        Args:
            task: Task that the record also named for another worker.
        """
        return any(task in tasks for tasks in self.possible_runs.values())

    def all_runs_known(self, pool):
        """Whether all tasks that may run in a pool, or ran there, are known.

        A queue may have moved from another pool, so the runs in all pools
        have to be known.
        """
        if self.has_unread_ends():
            return False
        if pool in self.known_pools:
            return True
        now_ms = clock.monotonic_ms()
        if now_ms < self.leases_lapsed_ms and self.has_unknown_runs(now_ms):
            return False
        self.known_pools.add(pool)
        lost = self.lost_workers(pool)
        if lost:
            self.crashes.doubt_waiting_tasks(pool, lost[0])
        LOG.info(
            "All inherited run attempts of a pool are known; starting "
            "inherited jobs.",
            fields={
                "pool": pool,
                "took_ms": round(now_ms - self.term_started_ms),
                "unanswered": [
                    name
                    for name, worker in self.workers.items()
                    if not worker.fenced
                ][:MAX_LOGGED_WORKERS],
                "suspects": len(self.possible_runs),
                "lost": lost,
            },
        )
        return True

    def has_unread_ends(self):
        """Whether a worker holds ends that have not been read.

        Ends of a worker whose leases have lapsed do not count.
        """
        return any(not worker.lapsed for worker in self.unread.values())

    def lost_workers(self, pool):
        """Returns the workers that were lost with tasks that are not known.

        Args:
            pool: Name of the pool.
        """
        return [
            name
            for name, worker in self.workers.items()
            if worker.report.pool == pool
            and self.is_lost(name)
            and name not in self.possible_runs
            and name not in self.accounted
        ]

    def is_lost(self, name):
        """Whether a worker has not answered this term in its old incarnation.

        Args:
            name: Name of the worker.
        """
        worker = self.workers.get(name)
        return worker is None or not worker.fenced or name in self.restarted

    def has_crashed(self, name):
        """Whether a lost worker ended, and is not merely silent.

        Args:
            name: Name of the worker.
        """
        worker = self.workers.get(name)
        return (
            worker is None or worker.silence_closed or name in self.restarted
        )

    def has_unknown_runs(self, now_ms):
        """Whether a worker may run tasks that are not known.

        Args:
            now_ms: Monotonic time, in milliseconds.
        """
        return self.workers_may_be_missing(now_ms) or any(
            self.unknown_workers(now_ms)
        )

    def workers_may_be_missing(self, now_ms):
        """Whether workers may exist that are not known to this term.

        Args:
            now_ms: Monotonic time, in milliseconds.
        """
        outage_ms = now_ms - self.store.last_failed_ms
        return outage_ms < REGISTRY_RECOVERY_MS and not self.has_record

    def awaited_workers(self):
        """Returns the silent workers that inherited jobs wait for.

        Returns:
            Milliseconds until their leases have lapsed, by their names.
        """
        now_ms = clock.monotonic_ms()
        return {
            name: round(self.worker_lapsed_ms(name) - now_ms)
            for name in (
                worker.report.id
                for worker in self.unknown_workers(now_ms)
                if self.is_long_silent(worker)
            )
        }

    def report_wait(self):
        """Logs once that inherited jobs wait for silent workers, if so."""
        awaited = self.awaited_workers()
        if self.wait_reported or not awaited:
            return
        self.wait_reported = True
        jobs = self.crashes.job_table.active.values()
        LOG.warning(
            "Some workers are silent; jobs that an earlier term may have "
            "started there wait until their leases have lapsed.",
            fields={
                "silent": len(awaited),
                "workers": sorted(awaited)[:MAX_LOGGED_WORKERS],
                "longest_ms": max(awaited.values()),
                "jobs": sum(job.inherited and not job.started for job in jobs),
            },
        )

    def unknown_workers(self, now_ms):
        """Yields the workers that may run tasks which are not known.

        Args:
            now_ms: Monotonic time, in milliseconds.
        """
        for name, worker in self.workers.items():
            if (
                not worker.runs_known
                and name not in self.possible_runs
                and now_ms < self.worker_lapsed_ms(name)
            ):
                yield worker
