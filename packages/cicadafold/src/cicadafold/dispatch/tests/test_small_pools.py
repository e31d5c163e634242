"""Tests of pools of few workers in which suspects of crashes run alone."""

import logging
import types

import pytest

from cicadafold.dispatch.tests import room
from cicadafold.scheduling import blame

SMALL = "small"
PATIENT = room.rule("patient", priority=2, target_ms=9000.0, pool=SMALL)


@pytest.fixture(params=(False, True), ids=("plain", "preempting"))
def cell(request, monkeypatch):
    """Returns a room whose journal makes every record durable at once."""
    made = room.Room(monkeypatch, workers=2, preempts=request.param)
    made.crashes.journal = types.SimpleNamespace(
        record_job=lambda job: 0, durable_batch=0
    )
    return made


def submit(cell, name, rule=PATIENT, *, lost=0, cores=500, **fields):
    """Adds a job of one step, and returns it.

    Args:
        cell: Room.
        name: Identifier of the job.
        rule: Rule of its queue.
        lost: Number of workers that each of its tasks was lost with.
        cores: Thousandths of a core that each task needs.
        **fields: Fields of the step.
    """
    fields = {"tasks": 1, "estimate_ms": 500.0} | fields
    job = cell.submit(
        name, rule, need=room.model.Resources(cores, 64, 0), **fields
    )
    for task in job.steps_of(0)[0].tasks if lost else ():
        task.unit.crashes = blame.CrashHistory()
        task.unit.crashes.losses = [
            blame.Loss(-number, f"lost-{number}", True)
            for number in range(lost)
        ]
    return job


def test_log_tells_for_which_job_a_worker_is_closed(cell, caplog):
    """The end of a term did not show which gang had closed the worker."""
    cell.add_worker("s0", pool=SMALL)
    submit(cell, "alone", lost=2)
    with caplog.at_level(logging.INFO):
        cell.play(2000.0)
    lines = [x for x in caplog.records if "isolation" in x.getMessage()]
    assert [(x.request_id, x.worker) for x in lines] == [("alone", "s0")] * 2
    assert lines[1].closed_ms >= 500


def test_gang_that_closes_the_last_worker_does_not_end_the_passes(cell):
    """Each term ended by a KeyError of its pool, and no job was started."""
    cell.add_worker("s0", pool=SMALL)
    submit(cell, "busy", estimate_ms=1500.0)
    cell.play(500.0)
    submit(cell, "gang", tasks=2, gang=True, lost=2)
    cell.play(100.0)
    assert set(cell.placer.isolation.units) == {"s0"}
    submit(cell, "other", room.MEDIUM)
    cell.play(3000.0)
    assert set(cell.finished_ms) == {"busy", "gang", "other"}
