"""Applies what workers report to their jobs and to the scheduler's state."""

from cicadafold import clock
from cicadafold.dispatch import quarantine
from cicadafold.dispatch import runs
from cicadafold.jobs import model
from cicadafold.telemetry import containment
from cicadafold.telemetry import logs

__all__ = ["WorkerEventHandler"]

# Pause before a gang is started again after a member has ended or was lost.
GANG_PAUSE_MS = 60.0
RESTART_PAUSE_MS = 20.0
# Progress in percent that is assumed for a checkpoint of an unknown run
# attempt.
UNKNOWN_PERCENT = 0.1

LOG = logs.get_logger("ends")
Kind = model.EndKind
Part = containment.Part
State = runs.RunState


class WorkerEventHandler:
    """Handles the events that the worker links report.

    Args:
        job_table: Jobs.
        estimates: Expected durations, which learn from tasks that are done.
        task_group: Task group of the term, which runs the stops.
        wake: Function called when waiting tasks may have become placeable.
        step_down: Function called, with the reason, when a worker knows of a
            later term.
        on_answering_changed: Function called when a worker becomes silent or
            answers again.
        on_inventory_applied: Function called with the worker after each of
            its inventories.
        unknown_runs: Run attempts of jobs that are not known yet.
        crashes: ``CrashTracker`` of the term.
        metrics: Metrics of the process, which count the ends.

    Attributes:
        links: Worker links by name of the worker.
    """

    def __init__(
        self,
        *,
        job_table,
        estimates,
        task_group,
        wake,
        step_down,
        on_answering_changed,
        on_inventory_applied,
        unknown_runs,
        crashes,
        metrics,
    ):
        self.job_table = job_table
        self.estimates = estimates
        self.task_group = task_group
        self.wake = wake
        self.step_down = step_down
        self.on_answering_changed = on_answering_changed
        self.on_inventory_applied = on_inventory_applied
        self.unknown_runs = unknown_runs
        self.crashes = crashes
        self.metrics = metrics
        self.containment = containment.Containment(metrics=metrics)
        self.links = {}

    def spawn(self, coroutine):
        """Runs a coroutine as a task of the term."""
        self.task_group.create_task(coroutine)

    def expected_ms(self, run):
        """Returns the expected duration of a run attempt, in milliseconds.

        Returns:
            The duration; None for an unknown task, and for tasks that run
            until they are cancelled or only fill unused cores.
        """
        task = run.task
        if task is None or task.step.spec.lasting or task.step.spec.fills:
            return None
        return self.estimates.run_duration_ms(run)

    def on_capacity_changed(self):
        """Requests a placement pass, as free capacity may have increased."""
        self.wake()

    def on_fenced(self, worker):
        """Ends the term, as a worker has the fence of a later one."""
        self.step_down(
            f"worker {worker.report.id} has the fence of a later term"
        )

    def on_silent(self, worker):
        """Handles a worker that has stopped answering."""
        self.crashes.on_silent(worker)
        self.on_answering_changed(worker, answers=False)

    def on_answering(self, worker):
        """Handles a worker that answers for the first time, or again."""
        self.crashes.on_returned(worker)
        self.on_answering_changed(worker, answers=True)

    def on_start_unanswered(self, run):
        """Handles a start command without an answer."""
        self.crashes.on_start_unanswered(run)

    def stop_run(self, run):
        """Stops a run attempt through the link of its worker."""
        link = self.links.get(run.worker.report.id)
        if link is not None:
            link.schedule_stop(run)

    def on_end(self, worker, end, run):
        """Applies an end that a worker has reported.

        Args:
            worker: Worker that reported the end.
            end: The end.
            run: The run attempt that ended, or None if it is not known.

        Returns:
            Number of the journal batch that records the end; 0 if it needs
            no record; None if its job is not known yet, so that the end has
            to be handled later.
        """
        key = (end.name, end.attempt)
        if self.job_table.is_unknown(
            end.name
        ) and self.unknown_runs.may_become_known(key):
            return None
        self.metrics.count("runs_ended", kind=end.kind.value)
        task = None if end.name is None else self.job_table.find(end.name)
        LOG.info(
            "A run attempt has ended: %s.",
            end.kind.value,
            fields={
                "request_id": end.name.job if end.name else "",
                "step": end.name.step if end.name else 0,
                "task": end.name.index if end.name else 0,
                "attempt": end.attempt,
                "worker": worker.report.id,
                "ran_ms": round(
                    clock.monotonic_ms() - run.started_ms if run else -1
                ),
            },
        )
        if task is None:
            return self.on_closed_task_end(end)
        task.job.started = True
        self.crashes.on_ended(task)
        task.save_checkpoint(
            end.checkpoint, run.percent if run else UNKNOWN_PERCENT
        )
        if task.step.spec.lasting:
            return self.on_lasting_task_end(task)
        if end.kind is Kind.DONE:
            return self.on_task_done(worker, task, run)
        if end.kind is Kind.FAILED:
            return self.on_task_failed(worker, task, end)
        if task.step.spec.gang and not task.step.job.state.final:
            self.restart_gang(task.step, end.attempt)
        return 0

    def on_end_given_up(self, end):
        """Fails the job of an end that cannot be handled.

        Args:
            end: The end.

        Returns:
            Number of the journal batch that records it, 0 if the job is not
            active.
        """
        job = (
            None
            if end.name is None
            else self.job_table.active.get(end.name.job)
        )
        if job is None:
            return 0
        self.job_table.fail(job, "the end of a task could not be handled")
        return self.job_table.journal.record_job(job)

    def on_closed_task_end(self, end):
        """Handles an end of a task whose occurrence is closed.

        Other members of a gang and speculative copies end after the
        occurrence of their step was closed. Their ends are acknowledged only
        after the close is recorded; otherwise the next scheduler would start
        the tasks again.

        Returns:
            Number of the journal batch that records the close, 0 if it is
            recorded or the job is not known.
        """
        job = (
            None if end.name is None else self.job_table.jobs.get(end.name.job)
        )
        if job is None or job.reported_state.final:
            return 0
        return self.job_table.journal.record_job(job)

    def on_lasting_task_end(self, task):
        """Delays the restart of a task that runs until it is cancelled.

        The task can be started again after ``RESTART_PAUSE_MS``.

        Returns:
            0, as the end needs no record.
        """
        task.not_before_ms = clock.monotonic_ms() + RESTART_PAUSE_MS
        return 0

    def on_task_done(self, worker, task, run):
        """Marks a task as done and learns its duration.

        The duration of a task with a checkpoint is not learned, as the task
        may have been resumed.

        Returns:
            Number of the journal batch that records it.
        """
        worker.quarantines_in_a_row = 0
        worker.failed_jobs = frozenset()
        if run is not None and not task.done:
            ran_ms = clock.monotonic_ms() - run.started_ms
            if not task.checkpoint:
                self.estimates.record_duration(
                    task.step.job.spec.queue,
                    ran_ms / self.estimates.run_factor(run),
                )
        return self.job_table.complete_task(task)

    def on_task_failed(self, worker, task, end):
        """Counts a failure for the task, and usually for the worker as well.

        Returns:
            Number of the journal batch that records it, 0 if the task was
            done already.
        """
        if not task.step.avoided_workers - {worker.report.id}:
            # A step that has failed on another worker too may itself be
            # faulty, so its failure is not counted for the worker.
            quarantine.quarantine_if_faulty(worker, task.step.job.spec.id)
        task.step.avoided_workers.add(worker.report.id)
        if task.done:
            return 0
        if task.step.spec.gang:
            self.restart_gang(task.step, end.attempt)
        return self.job_table.record_task_failure(task, end.attempt)

    def restart_gang(self, step, attempt):
        """Stops the other members of a gang, so that it is started again.

        Args:
            step: Step of the gang.
            attempt: Attempt of which a member has ended or was lost.
        """
        step.gang_not_before_ms = clock.monotonic_ms() + GANG_PAUSE_MS
        self.stop_attempt(step, attempt)

    def stop_attempt(self, step, attempt):
        """Stops all run attempts of a step with the given attempt number."""
        for task in step.tasks:
            for run in task.runs:
                if run.attempt == attempt:
                    self.stop_run(run)

    def on_worker_suspected(self, worker):
        """Handles a worker that has probably crashed."""
        self.crashes.on_worker_lost(
            worker, list(worker.runs.values()), proved=False
        )

    def on_worker_lost(self, worker, lost):
        """Handles that a worker was lost with its run attempts.

        Args:
            worker: The worker, which has restarted or whose leases lapsed.
            lost: Run attempts that were, or may have been, on it.
        """
        self.crashes.on_worker_lost(worker, lost, proved=True)

    def on_runs_lost(self, worker, lost, reason):
        """Handles the run attempts that ended with their worker.

        Args:
            worker: The worker, which has restarted or whose leases lapsed.
            lost: Its run attempts that are proved to be gone.
            reason: Why they no longer exist, for the log.
        """
        now_ms = clock.monotonic_ms()
        silent_ms = now_ms - (worker.silent_since_ms or now_ms)
        for run in lost:
            ran_ms = now_ms - silent_ms - run.started_ms
            with self.containment.contain(
                Part.LOSSES, run.name.job, **runs.run_log_fields(run)
            ):
                self.on_run_gone(
                    worker,
                    run,
                    reason,
                    ran_ms=round(ran_ms),
                    neighbours=len(lost) - 1,
                    closed=worker.silence_closed,
                )

    def on_run_gone(self, worker, run, reason, **evidence):
        """Handles a run attempt that is proved to be gone without an end.

        Args:
            worker: Worker of the run attempt.
            run: The run attempt.
            reason: Why it no longer exists, for the log.
            **evidence: Further fields of the log line.
        """
        worker.remove(run)
        self.metrics.count("runs_gone", reason=reason)
        LOG.info(
            "A run attempt no longer exists, reason: %s.",
            reason,
            fields=runs.run_log_fields(run) | evidence,
        )
        task = run.task
        if task is None or task.done:
            return
        if task.step.spec.gang and not task.step.job.state.final:
            self.restart_gang(task.step, run.attempt)
        else:
            task.not_before_ms = clock.monotonic_ms() + RESTART_PAUSE_MS
        self.wake()

    def on_unexpected_run(self, worker, row):
        """Adopts a run attempt of an earlier term, or stops it.

        Args:
            worker: Worker that has listed the run attempt.
            row: Entry of the run attempt in the worker's inventory.
        """
        if row.name is None:
            return
        task = self.job_table.find(row.name)
        job = self.job_table.jobs.get(row.name.job)
        resources = task_resources(job, row.name, worker)
        now_ms = clock.monotonic_ms()
        run = runs.RunAttempt(
            task=task,
            name=row.name,
            attempt=row.attempt,
            worker=worker,
            room=resources,
            state=State.RUNNING,
            now_ms=now_ms,
            team=None if job is None else job.spec.team_name,
            charge=task_charge(job, row.name, worker),
        )
        run.answered_ms = now_ms
        run.percent = row.percent
        if self.job_table.is_unknown(row.name):
            self.keep_unknown_run(worker, run, row)
            return
        adopted = (
            task is not None
            and not task.done
            and not task.runs
            and not job.state.final
            and not task.step.done
        )
        worker.add(run)
        if adopted:
            job.started = True
            task.save_checkpoint(row.checkpoint, row.percent)
        LOG.info(
            "A run attempt of an earlier term was adopted."
            if adopted
            else "Stopping a listed run attempt that is not needed.",
            fields={
                "request_id": row.name.job,
                "attempt": row.attempt,
                "worker": worker.report.id,
            },
        )
        if not adopted:
            self.stop_run(run)

    def keep_unknown_run(self, worker, run, row):
        """Keeps a run attempt until its job is known or has no record."""
        worker.add(run)
        self.unknown_runs.add(run, row)
        LOG.info(
            "Keeping a run attempt of a job that is not known yet.",
            fields={
                "request_id": row.name.job,
                "attempt": row.attempt,
                "worker": worker.report.id,
            },
        )

    def on_job_known(self, job_id):
        """Adopts or stops the kept run attempts of a job, now known."""
        for run, row in self.unknown_runs.pop_job(job_id):
            if run.key not in run.worker.runs:
                continue
            # The next inventory lists a run attempt that could not be adopted.
            run.worker.remove(run)
            with self.containment.contain(
                Part.INTAKE, job_id, **runs.run_log_fields(run)
            ):
                self.on_unexpected_run(run.worker, row)

    def stop_unknown_runs(self):
        """Stops the run attempts whose job has no record."""
        for run in self.unknown_runs.pop_without_record():
            LOG.warning(
                "Stopping a run attempt whose job has no record.",
                fields=runs.run_log_fields(run),
            )
            self.stop_run(run)


def task_charge(job, name, worker):
    """Returns the resources that a listed task is charged with.

    The arguments are those of ``task_resources``.
    """
    if job is None or not 0 <= name.step < len(job.spec.steps):
        return worker.report.capacity
    return job.spec.steps[name.step].need


def task_resources(job, name, worker):
    """Returns the resources that a listed task needs.

    Args:
        job: Job of the task, or None.
        name: Name of the task.
        worker: Worker that has listed the task.

    Returns:
        Resources of the task; the whole capacity of the worker if the job or
        step is not known.
    """
    if job is None or not 0 <= name.step < len(job.spec.steps):
        return worker.report.capacity
    return job.spec.steps[name.step].reserved_resources
