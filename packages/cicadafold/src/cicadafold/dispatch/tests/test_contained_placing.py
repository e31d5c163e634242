"""Tests of errors about single jobs in the passes over the waiting steps."""

import pytest

from cicadafold.dispatch import containment
from cicadafold.dispatch.tests import room

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
