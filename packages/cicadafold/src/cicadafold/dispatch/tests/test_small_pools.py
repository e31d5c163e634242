"""Tests of pools of few workers in which suspects of crashes run alone."""

import logging
import types

import msgspec
import pytest

from cicadafold.dispatch.tests import room
from cicadafold.scheduling import blame

SMALL = "small"
# A job may have nothing running for this time while its pool has room for it
# twice over and is less than half in use.
LONGEST_WAIT_MS = 3000.0
# Longest time for which a worker is held for a task that is to run alone.
LONGEST_HOLD_MS = 8000.0
LABEL = "only"
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


def play_with_sound_jobs(cell, count, every_ms=2000.0, **fields):
    """Submits short jobs without losses to the small pool, one by one.

    Returns:
        Milliseconds that each of them waited for its start.
    """
    waits = []
    for number in range(count):
        job = submit(cell, f"sound-{number}", **fields)
        sent_ms = cell.now_ms
        cell.play(every_ms, until=lambda: job.started)
        while not job.started and cell.now_ms < sent_ms + 20_000.0:
            cell.play(room.STEP_MS)
        waits.append(cell.now_ms - sent_ms)
        cell.play(max(0.0, sent_ms + every_ms - cell.now_ms))
    return waits


@pytest.mark.parametrize("workers", (1, 2, 4))
def test_sound_jobs_do_not_wait_for_a_gang_that_waits_to_run_alone(
    cell, workers
):
    """The only usable worker was held for the gang as long as a task ran."""
    for number in range(workers):
        cell.add_worker(f"s{number}", pool=SMALL)
    submit(cell, "long", tasks=workers, estimate_ms=45_000.0, per_host=1)
    cell.play(200.0)
    gang = submit(cell, "gang", tasks=2, gang=True, lost=2)
    waits = play_with_sound_jobs(cell, 8)
    assert max(waits) <= LONGEST_WAIT_MS
    assert gang.started


@pytest.mark.parametrize("workers", (1, 2, 4))
def test_sound_jobs_do_not_wait_for_a_long_task_that_runs_alone(cell, workers):
    """An isolated task kept the last worker of its pool for its whole run."""
    for number in range(workers):
        cell.add_worker(f"s{number}", pool=SMALL)
    lost = {"estimate_ms": 30_000.0, "lost": 2}
    for number in range(workers):
        submit(cell, f"alone-{number}", **lost)
    cell.play(200.0)
    assert max(play_with_sound_jobs(cell, 8)) <= LONGEST_WAIT_MS


def test_sound_jobs_take_turns_with_many_tasks_that_run_alone(cell):
    """Short isolated tasks, one after another, kept the worker as well."""
    cell.add_worker("s0", pool=SMALL)
    for number in range(40):
        submit(cell, f"alone-{number}", estimate_ms=1000.0, lost=2)
    cell.play(200.0)
    assert max(play_with_sound_jobs(cell, 8)) <= LONGEST_WAIT_MS


def test_sound_jobs_with_a_label_do_not_wait_for_a_task_that_runs_alone(cell):
    """A pool may be large while one worker of it has the label of a job."""
    for number in range(12):
        cell.add_worker(f"s{number}", pool=SMALL)
    cell.add_worker("labelled", pool=SMALL, labels=(LABEL,))
    submit(cell, "alone", estimate_ms=30_000.0, lost=2, label=LABEL)
    cell.play(200.0)
    waits = play_with_sound_jobs(cell, 8, label=LABEL)
    assert max(waits) <= LONGEST_WAIT_MS


def test_worker_is_not_held_beyond_the_bound_for_a_task_that_overruns(cell):
    """It was given back after 8 s and held again at once, without end."""
    cell.add_worker("s0", pool=SMALL)
    busy = submit(cell, "busy", estimate_ms=1000.0)
    cell.work_ms[busy.steps_of(0)[0].tasks[0]] = 60_000.0
    cell.play(200.0)
    alone = submit(cell, "alone", lost=2)
    cell.play(LONGEST_HOLD_MS + 500.0, until=lambda: alone.started)
    assert alone.started


def test_idle_worker_is_not_closed_for_a_start_that_is_not_recorded(cell):
    """While the store was away, it was closed to all others without bound."""
    cell.add_worker("s0", pool=SMALL)
    cell.crashes.journal.record_job = lambda job: 1
    submit(cell, "alone", lost=2)
    cell.play(200.0)
    assert set(cell.placer.isolation.units) == {"s0"}
    assert max(play_with_sound_jobs(cell, 4)) <= LONGEST_WAIT_MS


def test_tasks_with_losses_run_alone_while_nothing_else_waits(cell):
    """The bound must not put a culprit beside others that need not wait."""
    cell.add_worker("s0", pool=SMALL)
    for number in range(4):
        submit(cell, f"alone-{number}", estimate_ms=4000.0, lost=2)
    most = 0

    def count():
        """Keeps the largest number of tasks on the worker."""
        nonlocal most
        most = max(most, len(cell.workers["s0"].runs))
        return len(cell.finished_ms) == 4

    cell.play(30_000.0, until=count)
    assert len(cell.finished_ms) == 4
    assert most == 1


def test_isolated_tasks_of_another_pool_do_not_prevent_a_hold(cell):
    """They were counted too, so that a task waited as long as any ran."""
    cell.add_worker("s0", pool=SMALL)
    submit(cell, "elsewhere", room.MEDIUM, estimate_ms=30_000.0, lost=2)
    submit(cell, "busy", estimate_ms=2000.0)
    cell.play(200.0)
    submit(cell, "alone", lost=2)
    cell.play(100.0)
    assert set(cell.placer.isolation.units) >= {"s0"}


def test_worker_that_moves_to_another_pool_is_opened_at_once(cell):
    """It stayed closed to its new pool for a task that cannot use it."""
    cell.add_worker("s0", pool=SMALL)
    cell.add_worker("s1", pool=SMALL)
    submit(cell, "busy", tasks=2, estimate_ms=2000.0, per_host=1)
    cell.play(200.0)
    submit(cell, "alone", lost=2)
    cell.play(100.0)
    (name,) = cell.placer.isolation.units
    worker = cell.workers[name]
    worker.report = msgspec.structs.replace(worker.report, pool="p")
    cell.play(100.0)
    assert name not in cell.placer.isolation.units


@pytest.mark.parametrize("pool", ("p", SMALL))
def test_steps_that_wait_for_other_workers_do_not_hide_sound_jobs(cell, pool):
    """Only the first waiting steps of all pools were looked at."""
    cell.add_worker("s0", pool=SMALL, labels=(LABEL,))
    cell.add_worker("other", pool=pool, labels=("other",))
    submit(cell, "alone", estimate_ms=60_000.0, lost=2, label=LABEL)
    for number in range(60):
        submit(
            cell,
            f"urgent-{number}",
            room.rule("elsewhere", priority=0, target_ms=1e6, pool=pool),
            cores=16_000,
            estimate_ms=60_000.0,
            label="other",
        )
    cell.play(200.0)
    waits = play_with_sound_jobs(cell, 4, label=LABEL)
    assert max(waits) <= LONGEST_WAIT_MS
