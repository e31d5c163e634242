"""Tests of how end reports and recorded progress change jobs."""

import types

import msgspec
import pytest

from cicadafold.dispatch import crash_tracking
from cicadafold.dispatch import job_table
from cicadafold.dispatch import runs
from cicadafold.dispatch import unknown_job_runs
from cicadafold.dispatch import worker_events
from cicadafold.jobs import model
from cicadafold.journal import records
from cicadafold.scheduling import estimates
from cicadafold.telemetry import metrics


class FakeJournal:
    """Journal writer that lists the recorded jobs.

    Attributes:
        changed: Recorded jobs in order.
    """

    def __init__(self):
        self.changed = []

    def record_job(self, job):
        """Records a changed job and returns the number of its batch."""
        self.changed.append(job)
        return 1


def make_table():
    """Returns a job table without jobs."""
    return job_table.JobTable(
        journal=FakeJournal(),
        estimates=estimates.DurationEstimates(),
        stop_run=lambda run: None,
        metrics=metrics.Metrics(),
    )


def make_events(table, *, all_read=True, stopped=None):
    """Returns a worker event handler on a job table.

    Args:
        table: Table of the jobs.
        all_read: Whether all job records have been read.
        stopped: List to which stopped run attempts are added.
    """
    events = worker_events.WorkerEventHandler(
        job_table=table,
        estimates=table.estimates,
        task_group=None,
        wake=lambda: None,
        step_down=None,
        on_answering_changed=None,
        on_inventory_applied=None,
        unknown_runs=unknown_job_runs.UnknownJobRuns(
            has_read_up_to=lambda since_ms: all_read
        ),
        crashes=crash_tracking.CrashTracker(
            job_table=table,
            journal=table.journal,
            first_attempt=0,
            metrics=table.metrics,
        ),
        metrics=table.metrics,
    )
    events.stop_run = ([] if stopped is None else stopped).append
    return events


@pytest.fixture
def worker(report):
    """Returns a worker with capacity for sixteen tasks of the job."""
    return runs.Worker(report=report, now_ms=0.0)


@pytest.fixture
def spec():
    """Returns a job of one step with two tasks; each may fail once."""
    rule = model.QueueRule(
        name="q", authority="h", prefix="/", pool="p", max_failures=2
    )
    steps = (model.StepSpec(tasks=2, need=model.Resources(1000)),)
    return model.JobSpec(id="ab", rule=rule, payload="", steps=steps)


def test_failure_reported_to_two_schedulers_counts_once(spec):
    """A recorded failure that a worker reports to the next term is not new."""
    first = make_table()
    job = first.add(spec)
    job.steps_of(0)
    first.record_task_failure(job.steps[0][0].tasks[0], 1)
    recorded = records.progress_record(job, term=1, version=1)
    second = make_table()
    again = second.restore(spec, recorded, cancelled=False)
    task = again.steps[0][0].tasks[0]
    second.record_task_failure(task, 1)
    assert again.state is not model.JobState.FAILED
    second.record_task_failure(task, 1_000_001)
    assert again.state is model.JobState.FAILED


def test_final_state_is_reported_once_recorded(spec):
    """Callers see a job as completed only when the journal records it."""
    table = make_table()
    job = table.add(spec)
    step = job.steps_of(0)[0]
    for task in step.tasks:
        table.complete_task(task)
    assert job.state is model.JobState.COMPLETED
    assert not job.reported_state.final
    table.on_durable([(job, model.JobState.RUNNING)])
    assert not job.reported_state.final
    table.on_durable([(job, job.state)])
    assert job.reported_state is model.JobState.COMPLETED


def test_cancelled_job_stays_cancelled(spec):
    """Tasks that are done after the cancellation do not complete the job."""
    table = make_table()
    job = table.add(spec)
    step = job.steps_of(0)[0]
    table.cancel(job)
    for task in step.tasks:
        table.complete_task(task)
    assert job.state is model.JobState.CANCELLED


def test_late_member_of_a_gang_is_acknowledged_once_recorded(spec):
    """An end after the end of the job is acknowledged once that is durable.

    Otherwise the next scheduler would start the gang again.
    """
    table = make_table()
    steps = (model.StepSpec(tasks=2, gang=True),)
    job = table.add(msgspec.structs.replace(spec, steps=steps))
    first, second = job.steps_of(0)[0].tasks
    table.complete_task(first)
    events = make_events(table)
    end = model.EndReport(1, second.name, 1, model.EndKind.DONE, "")
    worker = types.SimpleNamespace(report=types.SimpleNamespace(id="w"))
    assert events.on_end(worker, end, None) == 1
    table.on_durable([(job, job.state)])
    assert events.on_end(worker, end, None) == 0


def test_run_of_a_job_not_read_yet_is_kept_and_adopted(spec, worker):
    """A task that the last scheduler has just started is not started twice.

    Its job's record has not been read yet. Until it is, the resources of the
    task are unknown and the whole capacity of the worker is reserved.
    """
    table = make_table()
    stopped = []
    events = make_events(table, all_read=False, stopped=stopped)
    name = model.TaskName(spec.id, 0, 0, 1)
    events.on_unexpected_run(worker, model.RunReport(name, 7, "", 30.0, 0.0))
    events.stop_unknown_runs()
    assert not stopped
    assert worker.scheduling_view().cores_milli == 0
    job = table.add(spec)
    events.on_job_known(spec.id)
    task = job.steps_of(0)[0].tasks[1]
    assert [run.attempt for run in task.runs] == [7]
    assert worker.scheduling_view().cores_milli == 15000
    assert not stopped


def test_run_without_a_record_is_stopped(spec, worker):
    """When all records have been read, no job can own the run attempt."""
    table = make_table()
    stopped = []
    events = make_events(table, stopped=stopped)
    name = model.TaskName(spec.id, 0, 0, 1)
    events.on_unexpected_run(worker, model.RunReport(name, 7, "", 30.0, 0.0))
    events.stop_unknown_runs()
    assert [run.key for run in stopped] == [(name, 7)]
    events.stop_unknown_runs()
    assert len(stopped) == 1


@pytest.mark.parametrize(
    ("all_read", "known", "batch"),
    [(False, False, None), (True, False, 0), (False, True, 1)],
)
def test_end_of_a_job_not_read_yet_is_deferred(
    spec, worker, all_read, known, batch
):
    """The worker reports the end again instead of having it acknowledged.

    Otherwise the task would be started again after it was done.
    """
    table = make_table()
    events = make_events(table, all_read=all_read)
    if known:
        table.add(spec)
    name = model.TaskName(spec.id, 0, 0, 1)
    end = model.EndReport(1, name, 1, model.EndKind.DONE, "")
    assert events.on_end(worker, end, None) == batch


@pytest.mark.parametrize("offset_ms", [-2400.0, 2400.0])
def test_age_of_a_new_job_does_not_depend_on_the_time_of_day(
    monkeypatch, offset_ms
):
    """A clock that has jumped makes no job look late that has just come."""
    table = make_table()
    now_ms = job_table.clock.monotonic_ms()
    wall_ms = job_table.clock.wall_ms()
    monkeypatch.setattr(
        job_table.clock, "wall_ms", lambda: wall_ms + offset_ms
    )
    spec = model.JobSpec(
        id="ab",
        rule=model.QueueRule(name="q", authority="h", prefix="/", pool="p"),
        payload="x",
        steps=(model.StepSpec(tasks=1),),
        accepted_ms=int(wall_ms),
    )
    job = table.add(spec, max_age_ms=0.0)
    assert abs(job.arrived_ms - now_ms) < 200.0


def test_term_goes_on_with_progress_that_does_not_fit_its_job():
    """An error while one job was restored ended each term."""
    table = make_table()
    rule = model.QueueRule(name="q", authority="h", prefix="/", pool="p")
    for number in range(2):
        spec = model.JobSpec(
            id=f"{number:016x}",
            rule=rule,
            payload="",
            steps=(model.StepSpec(tasks=1),),
        )
        progress = records.JobProgress(1, 1, "running", done=[(0, 1, "1")])
        table.restore(spec, None if number else progress, cancelled=False)
    assert len(table.active) == 2
    assert not any(job.started for job in table.active.values())
