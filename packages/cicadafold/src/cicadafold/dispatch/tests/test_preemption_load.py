"""Plays the load that preemption was built for, with and without it."""

import random
import time

import pytest

from cicadafold.dispatch.tests import room as rooms
from cicadafold.jobs import model

# The load of the heaviest day of the first deployment (docs/HARD-LOAD.md,
# O1), for a quarter of its workers, with more medium jobs, so that it fills
# them.
WORKERS = 44
SECONDS = 12
RATES = {"medium": 4.5, "wide": 0.5, "urgent": 11.0}
TAIL_MS = 15000
STEP_MS = 12.0
SEED = 20261204
SEEDS = 3


def submissions(rng):
    """Returns pairs of time in milliseconds and kind, in order."""
    found = []
    for kind, rate in RATES.items():
        at_s = rng.expovariate(rate)
        while at_s < SECONDS:
            found.append((at_s * 1000, kind))
            at_s += rng.expovariate(rate)
    return sorted(found)


def submit(room, rng, kind, name):
    """Submits a job of a kind, with a declared time that is off."""
    if kind == "medium":
        return room.submit(
            name,
            rooms.MEDIUM,
            tasks=25,
            need=model.Resources(1700, 100, 0),
            estimate_ms=int(2700 * rng.lognormvariate(0, 0.3)),
            checkpoints=rng.random() < 0.8,
        )
    if kind == "wide":
        return room.submit(
            name,
            rooms.WIDE,
            tasks=min(120, int(20 * rng.lognormvariate(0, 0.3))),
            need=model.Resources(4500, 100, 0),
            estimate_ms=4000,
            gang=True,
        )
    cores_milli = int(min(7400, 2000 * rng.lognormvariate(0, 0.6)))
    return room.submit(
        name,
        rooms.URGENT,
        tasks=3,
        need=model.Resources(cores_milli, 100, 0),
        estimate_ms=640,
        gang=rng.random() < 1 / 3,
    )


def play(monkeypatch, *, preempts, stop_ms):
    """Plays the load for each seed; returns jobs in time and jobs by kind."""
    in_time = dict.fromkeys(RATES, 0)
    total = dict.fromkeys(RATES, 0)
    for seed in range(SEED, SEED + SEEDS):
        played = play_seed(
            monkeypatch, seed, preempts=preempts, stop_ms=stop_ms
        )
        for kind, in_time_here, total_here in played:
            in_time[kind] += in_time_here
            total[kind] += total_here
    return in_time, total


def play_seed(monkeypatch, seed, *, preempts, stop_ms):
    """Plays one seed; yields kind, whether in time, and 1 for each job."""
    rng = random.Random(seed)
    room = rooms.Room(
        monkeypatch,
        workers=WORKERS,
        preempts=preempts,
        seed=seed,
        noise=0.2,
        stop_ms=stop_ms,
    )
    started_ms = room.now_ms
    jobs = []
    for number, (at_ms, kind) in enumerate(submissions(rng)):
        room.play(started_ms + at_ms - room.now_ms)
        jobs.append((kind, submit(room, rng, kind, f"{kind}{number}")))
    room.play(TAIL_MS)
    for kind, job in jobs:
        ended_ms = room.finished_ms.get(job.spec.id)
        in_time = (
            ended_ms is not None
            and ended_ms - job.arrived_ms <= job.objective_ms
        )
        yield kind, in_time, 1


@pytest.mark.parametrize("stop_ms", (250.0, 700.0))
def test_preemption_helps_urgent_calls_and_harms_nobody(monkeypatch, stop_ms):
    """Without it, urgent calls are late while patient work has slack.

    A stop of 700 ms nearly uses up the slack of an urgent call, so that
    headroom has to help it.
    """
    before, total = play(monkeypatch, preempts=False, stop_ms=stop_ms)
    after, _ = play(monkeypatch, preempts=True, stop_ms=stop_ms)
    late_before = total["urgent"] - before["urgent"]
    assert late_before > 0
    assert total["urgent"] - after["urgent"] < late_before
    assert after["medium"] >= before["medium"]
    assert after["wide"] >= before["wide"]


def decision_times_ms(monkeypatch, workers):
    """Returns the processor time of each decision in a full room."""
    room = rooms.Room(monkeypatch, workers=workers, noise=0.2)
    rng = random.Random(SEED)
    for number in range(workers // 2):
        submit(room, rng, "medium", f"medium{number}")
    room.play(900)
    took_ms = []
    plan_step = room.preempting.plan_step
    spawned = []
    room.preempting.spawn = spawned.append

    def timed(*arguments):
        started = time.thread_time()
        plan_step(*arguments)
        took_ms.append((time.thread_time() - started) * 1000)
        while spawned:
            rooms.run_to_end(spawned.pop())

    room.preempting.plan_step = timed
    for number in range(200):
        submit(room, rng, "urgent", f"urgent{number}")
        submit(room, rng, "urgent", f"more{number}")
        if number % 8 == 0:
            wide = submit(room, rng, "wide", f"wide{number}")
            wide.arrived_ms -= 7000.0
        room.play(STEP_MS)
    return sorted(took_ms)


@pytest.mark.parametrize("bound_ms", (1.0, 3.0))
def test_decision_is_cheap_with_350_workers(monkeypatch, bound_ms):
    """A slow decision would delay all starts of the cell.

    The bounds are those with 20 and with 540 teams; the number of teams has
    no part in the decision.
    """
    took_ms = decision_times_ms(monkeypatch, 350)
    assert len(took_ms) > 50
    assert took_ms[int(len(took_ms) * 0.99)] < bound_ms
