"""Tests of unexpected errors in what a worker answers, or does not answer."""

import asyncio

import pytest

from cicadafold import clock
from cicadafold.dispatch import runs
from cicadafold.dispatch.tests import contained_errors
from cicadafold.dispatch.tests import team_cell
from cicadafold.jobs import model
from cicadafold.platform import worker_client

Result = worker_client.CommandResult


@pytest.fixture
def cell(monkeypatch):
    """Returns a cell with one worker, on which two jobs run."""
    made = team_cell.Cell(caps={"t": 64_000}, workers=[16_000])
    monkeypatch.setattr(clock, "monotonic_ms", lambda: made.now_ms)
    monkeypatch.setattr(clock, "wall_ms", lambda: made.now_ms)
    made.start_first_term()
    made.jobs = [made.submit("t"), made.submit("t")]
    for run in made.term.make_pass():
        made.accept(run)
    return made


def fail_for(job, function, job_of):
    """Returns a function that fails for one job.

    Args:
        job: The job.
        function: Function that it calls otherwise.
        job_of: Function that returns the job's identifier from arguments.
    """

    def call(*arguments, **keywords):
        if job_of(*arguments) == job.spec.id:
            raise KeyError("pool")
        return function(*arguments, **keywords)

    return call


def test_end_that_cannot_be_handled_does_not_hold_up_the_others(cell):
    """The worker counted as silent, and its tasks were started elsewhere."""
    bad, other = cell.jobs
    table = cell.term.job_table
    table.complete_task = fail_for(
        bad, table.complete_task, lambda task: task.job.spec.id
    )
    real, worker = cell.workers["w0"], cell.term.workers["w0"]
    for key in list(real.running):
        real.end(key)
    for _ in range(3):
        cell.renew("w0", acknowledge=False)
        assert worker.silent_since_ms is None
    assert other.state is model.JobState.COMPLETED
    assert bad.state is model.JobState.FAILED
    assert worker.handled_end == 2
    assert cell.term.make_pass() == []
    assert contained_errors.count(cell.term.metrics, "ends") == 3


def test_progress_that_cannot_be_applied_concerns_its_job_only(cell):
    """The worker counted as silent, and got no task any more."""
    bad, other = cell.jobs
    events = cell.term.events
    events.expected_ms = fail_for(
        bad, events.expected_ms, lambda run: run.name.job
    )
    other_run = other.steps[0][0].tasks[0].runs[0]
    for _ in range(3):
        other_run.progress_changed_ms = 0.0
        cell.pass_time(200.0)
        cell.renew("w0")
    worker = cell.term.workers["w0"]
    assert worker.usable(cell.now_ms)
    bad_run = bad.steps[0][0].tasks[0].runs[0]
    assert bad_run.progress_changed_ms == cell.now_ms
    assert other_run.rate_measured_ms > cell.now_ms - 200.0
    assert contained_errors.count(cell.term.metrics, "progress") > 0


def test_worker_counts_as_silent_if_its_silence_cannot_be_reported(cell):
    """Its leases never lapsed, and its tasks waited for good."""

    def fail(worker):
        raise KeyError(worker.report.id)

    cell.term.events.on_silent = fail
    cell.miss("w0")
    worker = cell.term.workers["w0"]
    assert worker.silent_since_ms is not None
    cell.pass_time(20_000.0)
    cell.miss("w0")
    assert worker.lapsed
    assert contained_errors.count(cell.term.metrics, "losses") == 1


@pytest.mark.parametrize("failing", ("blame", "one run"))
def test_tasks_of_a_lost_worker_are_started_again(cell, failing):
    """Those after the failing one stayed on the lost worker for good."""
    bad, other = cell.jobs
    if failing == "blame":
        cell.term.crashes.on_worker_lost = fail_for(
            bad, None, lambda *arguments: bad.spec.id
        )
    else:
        events = cell.term.events
        events.on_run_gone = fail_for(
            bad, events.on_run_gone, lambda worker, run, reason: run.name.job
        )
    cell.miss("w0")
    cell.pass_time(20_000.0)
    cell.miss("w0")
    worker = cell.term.workers["w0"]
    assert worker.lapsed
    assert other.steps[0][0].tasks[0].needs_start
    assert contained_errors.count(cell.term.metrics, "losses") == 1


def test_link_goes_on_after_an_unexpected_error(cell):
    """An error beside a renewal ended the term."""
    link = cell.term.links["w0"]
    calls = []

    def fail(error):
        calls.append(error)
        link.closed = len(calls) == 2
        raise KeyError("worker")

    link.on_no_answer = fail
    asyncio.run(link.run())
    assert len(calls) == 2
    assert contained_errors.count(cell.term.metrics, "renewing") >= 2


def test_stop_that_fails_unexpectedly_is_sent_again(cell):
    """The task ran on, or the term ended."""
    link = cell.term.links["w0"]
    run = next(iter(cell.term.workers["w0"].runs.values()))
    results = [KeyError("worker"), KeyError("worker"), Result.ACCEPTED]

    class Client:
        """A client whose first stops fail."""

        async def stop(self, name, attempt, *, timeout_s):
            """Returns the next result, or raises it."""
            result = results.pop(0)
            if isinstance(result, Exception):
                raise result
            return result

    link.client = Client()
    asyncio.run(link.stop(run))
    assert run.state is runs.RunState.STOPPING
    assert contained_errors.count(cell.term.metrics, "stopping") == 2


def test_kept_tasks_of_a_job_are_adopted_one_by_one(cell):
    """Those after a failing one were started again while they still ran."""
    job = cell.submit("t", tasks=2)
    for run in cell.term.make_pass():
        cell.accept(run)
    cell.take_over(unread=[job.spec.id])
    cell.all_read = False
    cell.renew("w0")
    events = cell.term.events
    adopt, failed = events.on_unexpected_run, []

    def fail_once(worker, row):
        if not failed:
            failed.append(row.name.index)
            raise KeyError("task")
        adopt(worker, row)

    events.on_unexpected_run = fail_once
    cell.read(job.spec.id)
    known = cell.term.job_table.jobs[job.spec.id]
    tasks = known.steps_of(0)[0].tasks
    assert [bool(task.runs) for task in tasks] == [
        task.index not in failed for task in tasks
    ]
    cell.renew("w0")
    assert all(task.runs for task in tasks)
    assert contained_errors.count(cell.term.metrics, "intake") == 1
