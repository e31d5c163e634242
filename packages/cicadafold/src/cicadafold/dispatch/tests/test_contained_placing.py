"""Tests of errors about single jobs in the passes over the waiting steps."""

import asyncio

import pytest

from cicadafold.dispatch.tests import room
from cicadafold.telemetry import containment

BAD = "bad"
COUNTED = ("errors_contained", (("part", "placing"),))


@pytest.fixture(params=(False, True), ids=("plain", "preempting"))
def cell(request, monkeypatch):
    """Returns a room with two workers."""
    return room.Room(monkeypatch, workers=2, preempts=request.param)


def submit(cell, name, rule=room.MEDIUM, **fields):
    """Adds a job of one step, and returns it."""
    fields = {"tasks": 1, "estimate_ms": 500.0} | fields
    return cell.submit(
        name, rule, need=room.model.Resources(500, 64, 0), **fields
    )


def fail_for(function, job_of, broken):
    """Returns a function that fails for one job while ``broken`` is true.

    Args:
        function: Function that it calls otherwise.
        job_of: Function that returns the job from the arguments.
        broken: List that holds whether it fails.
    """

    def call(*arguments, **keywords):
        if broken[0] and job_of(*arguments).spec.id == BAD:
            raise KeyError("pool")
        return function(*arguments, **keywords)

    return call


@pytest.mark.parametrize("name", ("demand", "waiting_step", "place_step"))
@pytest.mark.parametrize("rule", (room.URGENT, room.MEDIUM))
def test_error_about_one_job_leaves_the_others_of_a_pass(
    cell, monkeypatch, caplog, name, rule
):
    """It ended the term, and each next term that read the same job."""
    broken = [True]
    monkeypatch.setattr(
        cell.placer,
        name,
        fail_for(
            getattr(cell.placer, name), lambda step, *rest: step.job, broken
        ),
    )
    submit(cell, BAD, rule)
    submit(cell, "other")
    submit(cell, "urgent", room.URGENT)
    cell.play(3000.0)
    assert set(cell.finished_ms) == {"other", "urgent"}
    assert cell.metrics.counters[COUNTED] >= 2
    logged = [x for x in caplog.records if x.levelname == "ERROR"]
    assert {x.request_id for x in logged} == {BAD}
    assert len(logged) < cell.metrics.counters[COUNTED]
    broken[0] = False
    cell.play(6000.0)
    assert BAD in cell.finished_ms


def test_step_that_fails_leaves_what_is_withheld_to_the_next_pass(cell):
    """An urgent step that failed kept what was withheld for it offered."""
    placer = cell.placer
    place_step = placer.place_step
    placer.place_step = fail_for(
        place_step, lambda step, *rest: step.job, [True]
    )
    submit(cell, "wide", tasks=64, estimate_ms=1000.0)
    for number in range(8):
        submit(cell, f"urgent-{number}", room.URGENT, tasks=2)
    submit(cell, BAD, room.URGENT)
    cell.play(10_000.0)
    assert len(cell.finished_ms) == 9
    used = [worker.used[0] for worker in cell.workers.values()]
    assert used == [0, 0]


def test_failed_pass_is_made_again(cell, monkeypatch):
    """An error of a whole pass ended the term at once."""
    failures = [3]
    begin_pass = cell.placer.teams.begin_pass

    def fail(now_ms):
        failures[0] -= 1
        if failures[0] >= 0:
            raise KeyError("team")
        begin_pass(now_ms)

    monkeypatch.setattr(cell.placer.teams, "begin_pass", fail)
    job = submit(cell, "job")
    with pytest.raises(TimeoutError):
        asyncio.run(asyncio.wait_for(cell.placer.run(), 1.0))
    assert job.started


def test_passes_that_fail_leave_time_to_the_other_tasks(cell, monkeypatch):
    """Errors and their tracebacks take longer than a pass."""
    failures = []

    def fail(now_ms):
        failures.append(now_ms)
        cell.placer.wake()
        raise KeyError("team")

    monkeypatch.setattr(cell.placer.teams, "begin_pass", fail)
    with pytest.raises(TimeoutError):
        asyncio.run(asyncio.wait_for(cell.placer.run(), 0.5))
    assert 2 <= len(failures) <= 6


def test_passes_that_go_on_failing_end_the_term(cell, monkeypatch):
    """A term whose state is damaged is replaced, but not at once."""

    def fail(now_ms):
        raise KeyError("team")

    monkeypatch.setattr(cell.placer.teams, "begin_pass", fail)
    started_ms = cell.now_ms
    with pytest.raises(KeyError):
        for _ in range(10_000):
            cell.placer.make_pass()
            cell.now_ms += room.STEP_MS
    assert cell.now_ms - started_ms >= 10_000.0


def test_gang_that_fails_leaves_the_reservations_of_others(cell):
    """Workers were reserved for no gang while one of them failed."""
    reservations = cell.placer.reservations
    reservations.make_demand = fail_for(
        reservations.make_demand, lambda step, *rest: step.job, [True]
    )
    submit(cell, "busy", tasks=64, estimate_ms=2000.0)
    cell.play(100.0)
    submit(cell, BAD, tasks=40, gang=True)
    gang = submit(cell, "gang", tasks=40, gang=True)
    cell.play(500.0)
    kept = [step.job for _, step in reservations.reserved.values()]
    assert kept and set(kept) == {gang}


def test_records_of_failures_do_not_grow_without_bound(cell):
    """A term may see any number of failing jobs."""
    found = cell.placer.containment
    for number in range(3000):
        found.report(
            containment.Part.PASS, str(number), KeyError(), request_id="x"
        )
    assert len(found.failures) <= 1000
    for _ in range(2000):
        found.report(containment.Part.PASS, "same", KeyError(), request_id="x")
