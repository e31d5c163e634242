"""Tests of passes over many waiting tasks that may have crashed a worker."""

import types

import pytest

from cicadafold.dispatch.tests import room
from cicadafold.scheduling import views

WORKERS = 40
TASKS_PER_WORKER = 16
JOBS = 60
TASKS = 20
# Looks at each worker for each waiting step of a full cell.
MAX_LOOKS = 2


@pytest.fixture
def cell(monkeypatch):
    """Returns a room whose journal makes every record durable at once."""
    made = room.Room(monkeypatch, workers=WORKERS, preempts=False)
    made.crashes.journal = types.SimpleNamespace(
        record_job=lambda job: 0, durable_batch=0
    )
    return made


@pytest.fixture
def looks(monkeypatch):
    """Returns the list of workers that placement has looked at."""
    found = []
    original = views.Demand.max_tasks_on

    def look(demand, worker):
        found.append(worker.id)
        return original(demand, worker)

    monkeypatch.setattr(views.Demand, "max_tasks_on", look)
    return found


def submit(cell, name, **fields):
    """Adds a job of an earlier term."""
    job = cell.submit(
        name,
        room.WIDE,
        need=room.model.Resources(1000, 10, 0),
        estimate_ms=fields.pop("estimate_ms", 1000.0),
        **fields,
    )
    job.inherited = True
    job.steps_of(0)[0].ready_ms = cell.now_ms
    return job


def wait_as_suspects(cell):
    """Adds jobs whose tasks a lost worker may have run."""
    for number in range(JOBS):
        submit(cell, f"{number:016x}", tasks=TASKS)
    cell.crashes.doubt_waiting_tasks("p", "lost")


def test_waiting_suspects_of_a_full_cell_do_not_slow_a_pass(cell, looks):
    """Each task was placed alone: the scheduler stalled for a second."""
    submit(
        cell,
        "f" * 16,
        tasks=WORKERS * TASKS_PER_WORKER,
        estimate_ms=60_000.0,
    )
    cell.play(room.STEP_MS)
    wait_as_suspects(cell)
    looks.clear()
    cell.play(room.STEP_MS)
    assert len(looks) <= MAX_LOOKS * JOBS * WORKERS


def test_all_suspects_are_started_as_room_becomes_free(cell):
    """Those beyond the free capacity of a pass have their turn later."""
    wait_as_suspects(cell)
    cell.play(10_000.0)
    assert len(cell.finished_ms) == JOBS


def test_suspects_of_an_idle_cell_are_placed_together(cell, looks):
    """Every worker was looked at for each of the tasks that were started."""
    wait_as_suspects(cell)

    def started():
        return sum(len(worker.runs) for worker in cell.workers.values())

    capacity = WORKERS * TASKS_PER_WORKER
    cell.play(500.0, until=lambda: started() == capacity)
    assert started() == capacity
    assert len(looks) <= (MAX_LOOKS + 1) * JOBS * WORKERS


def test_each_suspect_gets_an_unsuspected_worker_while_there_are_any(cell):
    """Placed together, they must not share a worker and be blamed again."""
    for number in range(2):
        submit(cell, f"{number:016x}", tasks=TASKS)
    cell.crashes.doubt_waiting_tasks("p", "lost")
    cell.play(room.STEP_MS)
    assert {len(worker.runs) for worker in cell.workers.values()} == {1}
