"""Tests of how ends change jobs."""

import types

import msgspec
import pytest

from cicadafold.dispatch import ends
from cicadafold.dispatch import job_table
from cicadafold.jobs import model
from cicadafold.journal import records
from cicadafold.scheduling import estimates
from cicadafold.telemetry import metrics


class FakeJournal:
    """Notes which jobs have changed."""

    def __init__(self):
        self.changed = []

    def change(self, job):
        """Takes a changed job and returns its batch."""
        self.changed.append(job)
        return 1


def make_table():
    """Returns an empty table."""
    return job_table.JobTable(
        journal=FakeJournal(),
        learned=estimates.Estimates(),
        stop_run=lambda run: None,
        metrics=metrics.Metrics(),
    )


@pytest.fixture
def spec():
    """A job of one step with two tasks that may fail once."""
    rule = model.QueueRule(
        name="q", authority="h", prefix="/", pool="p", max_failures=2
    )
    steps = (model.StepSpec(tasks=2),)
    return model.JobSpec(id="ab", rule=rule, payload="", steps=steps)


def test_failure_reported_to_two_schedulers_counts_once(spec):
    """A recorded failure that a worker lists again is the same one."""
    first = make_table()
    job = first.add(spec)
    job.occurrence(0)
    first.task_failed(job.steps[0][0].tasks[0], 1)
    recorded = records.progress_of(job, term=1, version=1)
    second = make_table()
    again = second.restore(spec, recorded, cancelled=False)
    task = again.steps[0][0].tasks[0]
    second.task_failed(task, 1)
    assert again.state is not model.JobState.FAILED
    second.task_failed(task, 1_000_001)
    assert again.state is model.JobState.FAILED


def test_final_state_is_shown_once_recorded(spec):
    """A completed job is shown as such only when that is durable."""
    table = make_table()
    job = table.add(spec)
    step = job.occurrence(0)[0]
    for task in step.tasks:
        table.task_done(task)
    assert job.state is model.JobState.COMPLETED
    assert not job.shown.final
    table.on_durable([(job, model.JobState.RUNNING)])
    assert not job.shown.final
    table.on_durable([(job, job.state)])
    assert job.shown is model.JobState.COMPLETED


def test_cancelled_job_stays_cancelled(spec):
    """An end after the cancelling does not complete the job."""
    table = make_table()
    job = table.add(spec)
    step = job.occurrence(0)[0]
    table.cancel(job)
    for task in step.tasks:
        table.task_done(task)
    assert job.state is model.JobState.CANCELLED


def test_late_member_of_a_gang_is_acknowledged_once_recorded(spec):
    """Ends after the close of a job wait for the record of its end."""
    table = make_table()
    steps = (model.StepSpec(tasks=2, gang=True),)
    job = table.add(msgspec.structs.replace(spec, steps=steps))
    first, second = job.occurrence(0)[0].tasks
    table.task_done(first)
    events = ends.WorkerEvents(
        table=table,
        learned=table.learned,
        group=None,
        wake=None,
        step_down=None,
        on_workers=None,
        metrics=table.metrics,
    )
    end = model.End(1, second.name, 1, model.EndKind.DONE, "")
    worker = types.SimpleNamespace(report=types.SimpleNamespace(id="w"))
    assert events.ended(worker, end, None) == 1
    table.on_durable([(job, job.state)])
    assert events.ended(worker, end, None) == 0
