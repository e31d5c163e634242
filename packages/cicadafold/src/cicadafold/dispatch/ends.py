"""Applies what workers report to jobs, and learns from it."""

from cicadafold import clock
from cicadafold.dispatch import runs
from cicadafold.jobs import model
from cicadafold.telemetry import logs

__all__ = ["WorkerEvents"]

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


class WorkerEvents:
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
        table,
        durations,
        group,
        wake,
        step_down,
        on_workers,
        unknown,
        metrics,
    ):
        self.table = table
        self.durations = durations
        self.group = group
        self.wake = wake
        self.step_down = step_down
        self.on_workers = on_workers
        self.unknown = unknown
        self.metrics = metrics
        self.links = {}

    def spawn(self, work):
        """Runs a coroutine as a task of the term."""
        self.group.create_task(work)

    def expected_ms(self, run):
        """Returns the expected duration of a run, None if it has none."""
        task = run.task
        if task is None or task.step.spec.lasting or task.step.spec.fills:
            return None
        return self.durations.step_task_duration_ms(task.step)

    def changed(self):
        """Notes that room may have become free."""
        self.wake()

    def fenced(self, worker):
        """Notes that a worker has met a later term."""
        self.step_down(f"worker {worker.report.id} has a higher fence")

    def silent(self, worker):
        """Notes that a worker does not answer."""
        self.on_workers(worker, answers=False)

    def answering(self, worker):
        """Notes that a worker answers for the first time, or again."""
        self.on_workers(worker, answers=True)

    def stop_run(self, run):
        """Stops a run through the link of its worker."""
        link = self.links.get(run.worker.report.id)
        if link is not None:
            link.stop_soon(run)

    def ended(self, worker, end, run):
        """Applies an end.

        Returns:
            Number of the journal batch that records it, 0 if none has to,
            None if the end has to be handled later.
        """
        key = (end.name, end.attempt)
        if self.table.is_unknown(end.name) and self.unknown.waits(key):
            return None
        self.metrics.count("runs_ended", kind=end.kind.value)
        task = None if end.name is None else self.table.find(end.name)
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
            return self.of_closed_work(end)
        task.save(end.checkpoint, run.percent if run else LEAST_PERCENT)
        if task.step.spec.lasting:
            return self.lasting_ended(task)
        if end.kind is Kind.DONE:
            return self.done(worker, task, run)
        if end.kind is Kind.FAILED:
            return self.failed(worker, task, end)
        if task.step.spec.gang and not task.step.job.state.final:
            self.restart_gang(task.step, end.attempt)
        return 0

    def of_closed_work(self, end):
        """Handles an end of work that is not open any more.

        A gang's other members, and copies, end after their occurrence was
        closed. Their ends are acknowledged only once that is recorded, as
        the next scheduler would start the work again otherwise.
        """
        job = None if end.name is None else self.table.jobs.get(end.name.job)
        if job is None or job.shown.final:
            return 0
        return self.table.journal.change(job)

    def lasting_ended(self, task):
        """Lets a lasting task start again, however it ended."""
        task.not_before_ms = clock.monotonic_ms() + RESTART_PAUSE_MS
        return 0

    def done(self, worker, task, run):
        """Applies a success."""
        worker.quarantines_in_a_row = 0
        worker.failed_jobs = frozenset()
        if run is not None and not task.done:
            ran_ms = clock.monotonic_ms() - run.started_ms
            if not task.checkpoint:
                self.durations.record_duration(
                    task.step.job.spec.queue, ran_ms
                )
        return self.table.complete_task(task)

    def failed(self, worker, task, end):
        """Applies a failure, and judges the worker by it."""
        if not task.step.avoid - {worker.report.id}:
            # A step that failed elsewhere before may be at fault itself.
            self.judge(worker, task.step.job.spec.id)
        task.step.avoid.add(worker.report.id)
        if task.done:
            return 0
        if task.step.spec.gang:
            self.restart_gang(task.step, end.attempt)
        return self.table.record_task_failure(task, end.attempt)

    def judge(self, worker, job):
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
        step.held_until_ms = clock.monotonic_ms() + GANG_PAUSE_MS
        self.stop_attempt(step, attempt)

    def stop_attempt(self, step, attempt):
        """Stops all runs of one attempt of a step."""
        for task in step.tasks:
            for run in task.runs:
                if run.attempt == attempt:
                    self.stop_run(run)

    def vanished(self, worker, run, reason):
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

    def unexpected(self, worker, row):
        """Adopts a run of an earlier term, or stops it."""
        if row.name is None:
            return
        task = self.table.find(row.name)
        job = self.table.jobs.get(row.name.job)
        room = job_room(job, row.name, worker)
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
        if self.table.is_unknown(row.name):
            self.keep_unknown(worker, run, row)
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
            task.save(row.checkpoint, row.percent)
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

    def keep_unknown(self, worker, run, row):
        """Leaves a run alone until its job's record must have been read."""
        worker.add(run)
        self.unknown.add(run, row)
        LOG.info(
            "A run of a job that is not known yet is kept.",
            fields={
                "request_id": row.name.job,
                "attempt": row.attempt,
                "worker": worker.report.id,
            },
        )

    def job_known(self, job_id):
        """Adopts or stops the runs of a job that was not known."""
        for run, row in self.unknown.take(job_id):
            if run.key in run.worker.runs:
                run.worker.remove(run)
                self.unexpected(run.worker, row)

    def stop_unknown(self):
        """Stops the runs whose job has no record."""
        for run in self.unknown.take_settled():
            LOG.warning(
                "A run of an unknown job is stopped.",
                fields=runs.run_log_fields(run),
            )
            self.stop_run(run)


def job_room(job, name, worker):
    """Returns the room of a task, its worker's if it is not known."""
    if job is None or not 0 <= name.step < len(job.spec.steps):
        return worker.report.capacity
    return job.spec.steps[name.step].room
