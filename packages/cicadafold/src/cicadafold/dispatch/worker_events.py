"""Applies what workers report to jobs, and learns from it."""

from cicadafold import clock
from cicadafold.dispatch import runs
from cicadafold.jobs import model
from cicadafold.telemetry import logs

__all__ = ["WorkerEventHandler"]

# A worker on which runs of this many jobs have failed in a row, with no
# success between them, gets no new runs for a while.
FAULTY_JOBS = 2
QUARANTINE_MS = 2500.0
LONGEST_QUARANTINE_MS = 20000.0
# Pause before a gang whose start did not succeed is tried again.
GANG_PAUSE_MS = 60.0
RESTART_PAUSE_MS = 20.0
# Progress of a checkpoint whose run is not known.
LEAST_PERCENT = 0.1

LOG = logs.get_logger("ends")
Kind = model.EndKind
State = runs.RunState


class WorkerEventHandler:
    """Receives what the worker links notice.

    Args:
        table: Jobs.
        learned: Expected durations.
        group: Task group for stops.
        wake: Function called when placing may have something to do.
        step_down: Function called when a later term is met.
        on_workers: Function called when workers fall silent or answer.
        unknown: Keeper of work whose job is not known yet.
        metrics: Where ends are counted.
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
        unknown_runs,
        metrics,
    ):
        self.job_table = job_table
        self.estimates = estimates
        self.task_group = task_group
        self.wake = wake
        self.step_down = step_down
        self.on_answering_changed = on_answering_changed
        self.unknown_runs = unknown_runs
        self.metrics = metrics
        self.links = {}

    def spawn(self, work):
        """Runs a coroutine as a task of the term."""
        self.task_group.create_task(work)

    def expected_ms(self, run):
        """Returns the expected duration of a run, None if it has none."""
        task = run.task
        if task is None or task.step.spec.lasting or task.step.spec.fills:
            return None
        return self.estimates.step_task_duration_ms(task.step)

    def on_capacity_changed(self):
        """Notes that room may have become free."""
        self.wake()

    def on_fenced(self, worker):
        """Notes that a worker has met a later term."""
        self.step_down(f"worker {worker.report.id} has a higher fence")

    def on_silent(self, worker):
        """Notes that a worker does not answer."""
        self.on_answering_changed(worker, answers=False)

    def on_answering(self, worker):
        """Notes that a worker answers for the first time, or again."""
        self.on_answering_changed(worker, answers=True)

    def stop_run(self, run):
        """Stops a run through the link of its worker."""
        link = self.links.get(run.worker.report.id)
        if link is not None:
            link.schedule_stop(run)

    def on_end(self, worker, end, run):
        """Applies an end.

        Returns:
            Number of the journal batch that records it, 0 if none has to,
            None if the end has to be handled later.
        """
        key = (end.name, end.attempt)
        if self.job_table.is_unknown(
            end.name
        ) and self.unknown_runs.may_become_known(key):
            return None
        self.metrics.count("runs_ended", kind=end.kind.value)
        task = None if end.name is None else self.job_table.find(end.name)
        LOG.info(
            "A run has ended: %s.",
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
        task.save_checkpoint(
            end.checkpoint, run.percent if run else LEAST_PERCENT
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

    def on_closed_task_end(self, end):
        """Handles an end of work that is not open any more.

        A gang's other members, and copies, end after their occurrence was
        closed. Their ends are acknowledged only once that is recorded, as
        the next scheduler would start the work again otherwise.
        """
        job = (
            None if end.name is None else self.job_table.jobs.get(end.name.job)
        )
        if job is None or job.reported_state.final:
            return 0
        return self.job_table.journal.record_job(job)

    def on_lasting_task_end(self, task):
        """Lets a lasting task start again, however it ended."""
        task.not_before_ms = clock.monotonic_ms() + RESTART_PAUSE_MS
        return 0

    def on_task_done(self, worker, task, run):
        """Applies a success."""
        worker.quarantines_in_a_row = 0
        worker.failed_jobs = frozenset()
        if run is not None and not task.done:
            ran_ms = clock.monotonic_ms() - run.started_ms
            if not task.checkpoint:
                self.estimates.record_duration(
                    task.step.job.spec.queue, ran_ms
                )
        return self.job_table.complete_task(task)

    def on_task_failed(self, worker, task, end):
        """Applies a failure, and judges the worker by it."""
        if not task.step.avoided_workers - {worker.report.id}:
            # A step that failed elsewhere before may be at fault itself.
            self.quarantine_if_faulty(worker, task.step.job.spec.id)
        task.step.avoided_workers.add(worker.report.id)
        if task.done:
            return 0
        if task.step.spec.gang:
            self.restart_gang(task.step, end.attempt)
        return self.job_table.record_task_failure(task, end.attempt)

    def quarantine_if_faulty(self, worker, job):
        """Keeps new runs from a worker on which many jobs fail."""
        worker.failed_jobs = worker.failed_jobs | {job}
        # After a pause, one failure without a success is enough.
        bound = 1 if worker.quarantines_in_a_row else FAULTY_JOBS
        if len(worker.failed_jobs) < bound:
            return
        worker.quarantines_in_a_row += 1
        pause_ms = min(
            LONGEST_QUARANTINE_MS,
            QUARANTINE_MS * 2 ** (worker.quarantines_in_a_row - 1),
        )
        worker.quarantined_until_ms = clock.monotonic_ms() + pause_ms
        worker.failed_jobs = frozenset()
        LOG.warning(
            "A worker gets no new runs for a while.",
            fields={"worker": worker.report.id, "pause_ms": pause_ms},
        )

    def restart_gang(self, step, attempt):
        """Stops what is left of a gang's run, so that it starts anew."""
        step.gang_not_before_ms = clock.monotonic_ms() + GANG_PAUSE_MS
        self.stop_attempt(step, attempt)

    def stop_attempt(self, step, attempt):
        """Stops all runs of one attempt of a step."""
        for task in step.tasks:
            for run in task.runs:
                if run.attempt == attempt:
                    self.stop_run(run)

    def on_run_gone(self, worker, run, reason):
        """Notes that a run is proved gone without an end."""
        worker.remove(run)
        LOG.info(
            "A run is gone: %s.",
            reason,
            fields=runs.run_log_fields(run),
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
        """Adopts a run of an earlier term, or stops it."""
        if row.name is None:
            return
        task = self.job_table.find(row.name)
        job = self.job_table.jobs.get(row.name.job)
        room = task_resources(job, row.name, worker)
        now_ms = clock.monotonic_ms()
        run = runs.RunAttempt(
            task=task,
            name=row.name,
            attempt=row.attempt,
            worker=worker,
            room=room,
            state=State.RUNNING,
            now_ms=now_ms,
        )
        run.answered_ms = now_ms
        run.percent = row.percent
        if self.job_table.is_unknown(row.name):
            self.keep_unknown_run(worker, run, row)
            return
        keep = (
            task is not None
            and not task.done
            and not task.runs
            and not job.state.final
            and not task.step.done
        )
        worker.add(run)
        if keep:
            job.started = True
            task.save_checkpoint(row.checkpoint, row.percent)
        LOG.info(
            "A run of an earlier term is adopted."
            if keep
            else "A run that is not wanted is stopped.",
            fields={
                "request_id": row.name.job,
                "attempt": row.attempt,
                "worker": worker.report.id,
            },
        )
        if not keep:
            self.stop_run(run)

    def keep_unknown_run(self, worker, run, row):
        """Leaves a run alone until its job's record must have been read."""
        worker.add(run)
        self.unknown_runs.add(run, row)
        LOG.info(
            "A run of a job that is not known yet is kept.",
            fields={
                "request_id": row.name.job,
                "attempt": row.attempt,
                "worker": worker.report.id,
            },
        )

    def on_job_known(self, job_id):
        """Adopts or stops the runs of a job that was not known."""
        for run, row in self.unknown_runs.pop_job(job_id):
            if run.key in run.worker.runs:
                run.worker.remove(run)
                self.on_unexpected_run(run.worker, row)

    def stop_unknown_runs(self):
        """Stops the runs whose job has no record."""
        for run in self.unknown_runs.pop_without_record():
            LOG.warning(
                "A run of an unknown job is stopped.",
                fields=runs.run_log_fields(run),
            )
            self.stop_run(run)


def task_resources(job, name, worker):
    """Returns the room of a task, its worker's if it is not known."""
    if job is None or not 0 <= name.step < len(job.spec.steps):
        return worker.report.capacity
    return job.spec.steps[name.step].reserved_resources
