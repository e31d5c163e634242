"""Tracks which tasks were lost with their workers, and gives up culprits.

The number of times that a task may crash a worker holds beyond the term of a
scheduler. So losses are durable in the journal before the task is started
again, and so is the start itself: a new term that finds no trace of such a
start counts it as a loss.
"""

import collections

from cicadafold import clock
from cicadafold.scheduling import blame
from cicadafold.telemetry import logs

__all__ = ["CrashTracker"]

# Workers that close their connections within this time of each other have
# probably a common cause, such as a rack that lost its power.
COMMON_CAUSE_MS = 300.0
# A task that runs until it is cancelled is not blamed after this time.
PROVEN_MS = 10_000.0
# A task may be started twice after ``blame.CULPRIT_LOSSES`` crashes.
MAX_LATE_STARTS = 2
# Most workers whose losses can still be withdrawn, and most closed
# connections that are remembered.
MAX_REMEMBERED = 1000

LOG = logs.get_logger("crashes")
Verdict = blame.Verdict


class CrashTracker:
    """Losses of tasks in one term.

    A gang is blamed as a whole. The unit of blame, the ``unit`` of a task, is
    a task or the step of a gang.

    Args:
        job_table: Jobs, which fail with a culprit.
        journal: Writer of progress.
        first_attempt: Number below the attempts of this term and above those
            of earlier terms.
        metrics: Metrics in which losses are counted.

    Attributes:
        closed_at: Pairs of the monotonic time in milliseconds at which a
            worker closed its connection, and its name, newest last.
        withdrawable: Pairs of unit and attempt that were lost with a worker
            which may come back in the same incarnation, by its name and
            start.
        doubtful: Name and start of a worker by task that an earlier term may
            have started there, while the worker does not answer.
        inherited_runs: ``InheritedRuns`` of the term.
    """

    def __init__(self, *, job_table, journal, first_attempt, metrics):
        self.job_table = job_table
        self.journal = journal
        self.first_attempt = first_attempt
        self.metrics = metrics
        self.closed_at = collections.deque(maxlen=MAX_REMEMBERED)
        self.withdrawable = collections.OrderedDict()
        self.doubtful = {}
        self.inherited_runs = None

    def on_silent(self, worker):
        """Remembers when a worker closed its connection.

        A worker with an isolated task alone is left out: it is no sign that
        something else is the cause of the crash of another one.
        """
        if worker.silence_closed and not runs_isolated(worker):
            self.closed_at.append((clock.monotonic_ms(), worker.report.id))

    def on_worker_lost(self, worker, lost, *, proved):
        """Handles the run attempts that were on a worker when it was lost.

        Called for the same loss once it is suspected and once it is proved.
        No job is given up for a loss that is not proved. A worker that had
        announced its end does not count.

        Args:
            worker: The worker.
            lost: Run attempts that were, or may have been, on it.
            proved: Whether they are known to be gone.
        """
        if worker.report.draining:
            return
        silent_ms = worker.silent_since_ms or clock.monotonic_ms()
        units = collections.OrderedDict()
        members = collections.defaultdict(set)
        for run in lost:
            task = run.task
            if task is None or task.done:
                continue
            ran_ms = silent_ms - run.started_ms
            if task.step.spec.lasting and ran_ms > PROVEN_MS:
                continue
            units.setdefault(task.unit, (run, ran_ms))
            if task.step.spec.gang:
                members[task.unit].add(task.index)
        alone = len({run.task and run.task.unit for run in lost}) == 1
        crashed = worker.silent_since_ms is None or worker.silence_closed
        conclusive = (
            proved
            and alone
            and crashed
            and not self.has_common_cause(worker, silent_ms)
        )
        for unit, (run, ran_ms) in units.items():
            self.add_loss(
                unit,
                blame.Loss(
                    run.attempt,
                    worker.report.id,
                    crashed,
                    conclusive,
                    tuple(sorted(members[unit])),
                ),
                proved=proved,
                neighbours=len(lost) - 1,
                ran_ms=round(ran_ms),
            )
        if units:
            key = worker.report.id, worker.born_ms
            self.withdrawable[key] = [
                (unit, run.attempt) for unit, (run, _) in units.items()
            ]
            if len(self.withdrawable) > MAX_REMEMBERED:
                self.withdrawable.popitem(last=False)

    def has_common_cause(self, worker, silent_ms):
        """Whether another worker closed its connection at the same time."""
        return any(
            name != worker.report.id
            and abs(at_ms - silent_ms) <= COMMON_CAUSE_MS
            for at_ms, name in self.closed_at
        )

    def on_returned(self, worker):
        """Withdraws losses with a worker that has not crashed."""
        key = worker.report.id, worker.born_ms
        for unit, attempt in self.withdrawable.pop(key, ()):
            if unit.crashes is not None and unit.crashes.withdraw(attempt):
                LOG.info(
                    "A task is not blamed any more: its worker answers in "
                    "the same incarnation.",
                    fields=unit.log_fields | {"worker": worker.report.id},
                )
                self.record(unit)
                if not unit.crashes.losses and not unit.crashes.start_on:
                    unit.crashes = None

    def add_loss(self, unit, loss, *, proved, **evidence):
        """Adds a loss to a unit, and fails its job if it is the culprit.

        Args:
            unit: Task, or step of a gang.
            loss: The loss.
            proved: Whether the run attempt is known to be gone.
            **evidence: Further fields of the log line.
        """
        if unit.crashes is None:
            unit.crashes = blame.CrashHistory()
        unit.crashes.start_on = ()
        changed = unit.crashes.add(loss)
        verdict = unit.crashes.verdict
        if changed:
            self.report_loss(unit, loss, verdict, evidence)
            self.record(unit)
        if verdict is Verdict.CULPRIT and proved:
            self.give_up(unit)

    def report_loss(self, unit, loss, verdict, evidence):
        """Logs and counts a loss of a unit."""
        self.metrics.count("tasks_lost_with_worker", verdict=verdict.value)
        log = LOG.info if verdict is Verdict.SUSPECT else LOG.warning
        log(
            "A task was lost with its worker and is now treated as: %s.",
            verdict.value,
            fields=unit.log_fields
            | evidence
            | {
                "attempt": loss.attempt,
                "worker": loss.worker,
                "crashed": loss.crashed,
                "conclusive": loss.conclusive,
                "losses": len(unit.crashes.losses),
            },
        )

    def give_up(self, unit):
        """Fails the job of a unit that has crashed its workers."""
        if not unit.job.active:
            return
        workers = [loss.worker for loss in unit.crashes.losses]
        self.metrics.count("jobs_given_up", queue=unit.job.rule.name)
        self.job_table.fail(
            unit.job, f"its task crashed its workers: {', '.join(workers)}"
        )

    def record(self, unit):
        """Records the crash history of a unit in the journal."""
        unit.crashes.batch = self.journal.record_job(unit.job)

    def on_inherited_worker(self, worker, tasks, *, restarted):
        """Handles that a worker answers this term for the first time.

        Args:
            worker: Name of the worker.
            tasks: Tasks that earlier terms may have left on it.
            restarted: Whether it is another incarnation than then.
        """
        for task in tasks:
            self.doubtful.pop(task, None)
            if restarted and task.needs_start:
                self.add_unrecorded_loss(task.unit, worker, crashed=True)

    def doubt_waiting_tasks(self, pool, worker):
        """Doubts all waiting tasks that an earlier term may have started.

        Tasks that were lost before are left out, as their starts are
        recorded.

        Args:
            pool: Name of the pool of the tasks.
            worker: Name of a worker that was lost with unknown tasks, as the
                term changed.
        """
        now_ms = clock.monotonic_ms()
        for job in self.job_table.active.values():
            if not job.inherited or job.rule.pool != pool:
                continue
            for step in job.ready_steps(now_ms):
                for task in step.startable_tasks(now_ms):
                    if task.unit.crashes is None:
                        self.doubtful.setdefault(task, (worker, 0))

    def settle_doubtful(self, tasks):
        """Counts starts of earlier terms whose worker never answered.

        Args:
            tasks: Tasks that may be started again.
        """
        if not self.doubtful:
            return
        for task in tasks:
            if task in self.doubtful:
                worker, born_ms = self.doubtful.pop(task)
                # A worker whose incarnation is not known is one that the task
                # may not have run on at all.
                crashed = born_ms and self.inherited_runs.has_crashed(worker)
                self.add_unrecorded_loss(
                    task.unit, worker, born_ms, crashed=bool(crashed)
                )

    def add_unrecorded_loss(self, unit, worker, born_ms=0, *, crashed):
        """Adds an inherited loss, unless the journal tells of it.

        An earlier term may have recorded the loss itself, or the start, which
        ``may_be_placed`` looks at.
        """
        history = unit.crashes
        if history is not None:
            newest = [loss.worker for loss in history.losses[-1:]]
            if history.start_on or newest == [worker]:
                return
        self.add_inherited_loss(unit, worker, born_ms, crashed=crashed)

    def add_inherited_loss(self, unit, worker, born_ms=0, *, crashed):
        """Adds the loss of a run attempt that an earlier term started.

        Args:
            unit: Task, or step of a gang.
            worker: Name of the worker.
            born_ms: Start of its incarnation, Unix time in milliseconds, or
                0 if it is not known.
            crashed: Whether the worker is known to have crashed.
        """
        loss = blame.Loss(self.first_attempt, worker, crashed)
        self.add_loss(unit, loss, proved=True)
        self.withdrawable.setdefault((worker, born_ms), []).append(
            (unit, loss.attempt)
        )

    def on_start_unanswered(self, run):
        """Handles a start command without an answer.

        It may have been carried out. After three crashes such starts are
        counted, and the last one that is allowed counts as a loss, in a gang
        of all members, as they are started together.

        Args:
            run: Run attempt of the start.
        """
        unit = None if run.task is None else run.task.unit
        history = None if unit is None else unit.crashes
        if history is None or history.crashes < blame.CULPRIT_LOSSES:
            return
        history.unanswered_starts.add(run.attempt)
        if len(history.unanswered_starts) >= MAX_LATE_STARTS:
            loss = blame.Loss(run.attempt, run.worker.report.id, crashed=False)
            self.add_loss(unit, loss, proved=True)

    def on_ended(self, task):
        """Handles a run attempt that ended without its worker.

        The start of a gang stays recorded, as the others may still run.
        """
        history = task.crashes
        if history is not None and history.start_on:
            history.start_on = ()
            history.inherited = False
            self.record(task)

    def may_be_placed(self, unit):
        """Whether a unit with losses may be placed.

        Counts a start that an earlier term has recorded, if its worker was
        lost since.
        """
        history = unit.crashes
        if history.inherited:
            history.inherited = False
            lost = list(filter(self.inherited_runs.is_lost, history.start_on))
            history.start_on = ()
            if lost:
                crashed = any(map(self.inherited_runs.has_crashed, lost))
                self.add_inherited_loss(unit, lost[0], crashed=crashed)
        if unit.job.active and history.verdict is Verdict.CULPRIT:
            self.give_up(unit)
        return unit.job.active

    def may_start(self, unit, workers):
        """Whether a unit with losses may be started now.

        Its losses and the start have to be durable in the journal. Records
        the start if it is not recorded.

        Args:
            unit: Task, or step of a gang.
            workers: Names of the workers on which it is to be started.
        """
        history = unit.crashes
        if not set(workers) <= set(history.start_on):
            history.start_on = tuple(sorted(set(workers)))
            self.record(unit)
        return history.batch <= self.journal.durable_batch


def runs_isolated(worker):
    """Whether a worker runs nothing but a unit that was to run alone."""
    units = {run.task and run.task.unit for run in worker.runs.values()}
    if len(units) != 1:
        return False
    unit = units.pop()
    history = None if unit is None else unit.crashes
    return history is not None and history.verdict is Verdict.ISOLATED
