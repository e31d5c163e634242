"""Tests of tasks that the record of the workers names more than once."""

import types

import msgspec
import pytest

from cicadafold import clock
from cicadafold.dispatch import inherited_runs
from cicadafold.dispatch import runs
from cicadafold.jobs import model
from cicadafold.jobs import runtime_state
from cicadafold.journal import records

HORIZON_MS = 4200.0
NAMES = ("first", "second")


@pytest.fixture
def job():
    """Returns a job with one task."""
    step = model.StepSpec(tasks=1, need=model.Resources(20, 8, 0))
    rule = model.QueueRule(
        name="q", authority="h", prefix="/", pool="p", priority=0
    )
    spec = model.JobSpec(id="ab", rule=rule, payload="", steps=(step,))
    found = runtime_state.Job(spec=spec, arrived_ms=0.0, wall_offset_ms=0.0)
    found.steps_of(0)
    return found


@pytest.fixture
def start_term(report, crashes):
    """Returns a function that starts a term with two workers."""

    def start(known, table):
        workers = {
            name: runs.Worker(
                report=msgspec.structs.replace(report, id=name),
                now_ms=clock.monotonic_ms(),
            )
            for name in NAMES
        }
        found = inherited_runs.InheritedRuns(
            workers=workers,
            store=types.SimpleNamespace(last_failed_ms=-1e12),
            term_started_ms=clock.monotonic_ms(),
            horizon_ms=HORIZON_MS,
            crashes=crashes,
        )
        found.load(known, table)
        return found

    return start


def record_of(inherited, term):
    """Returns the record of the workers that a term leaves."""
    return records.KnownWorkers(term, 1, inherited.worker_records())


def test_task_waits_for_every_worker_that_may_run_it(start_term, job, report):
    """The answer of the first worker released it for all."""
    task = job.steps[0][0].tasks[0]
    table = types.SimpleNamespace(find=job.find_task)
    first_report = msgspec.structs.replace(report, id="first")
    left = [records.KnownWorker(first_report, [task.name], 1)]
    # The first worker never answers this term, which starts the task on the
    # second one after the lapse; that one falls silent as well.
    middle = start_term(records.KnownWorkers(1, 1, left), table)
    first, second = middle.workers.values()
    for worker in (first, second):
        worker.mark_silent(clock.monotonic_ms() - 1000.0, 6000.0)
    second.runs_known = True
    run = runs.RunAttempt(
        task=task,
        name=task.name,
        attempt=1,
        worker=second,
        room=model.Resources(20, 8, 0),
        state=runs.RunState.RUNNING,
        now_ms=clock.monotonic_ms(),
    )
    second.add(run)
    known = record_of(middle, 2)
    assert [each.tasks for each in known.workers] == [[task.name]] * 2
    second.remove(run)
    newest = start_term(known, table)
    answering = newest.workers["first"]
    answering.runs_known = True
    newest.on_inventory_applied(answering)
    assert task.not_before_ms == newest.leases_lapsed_ms
