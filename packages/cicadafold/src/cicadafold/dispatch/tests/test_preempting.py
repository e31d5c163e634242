"""Tests of preemption by the placer, over a room in virtual time."""

import math
import types

import pytest

from cicadafold.dispatch import preemption_stops
from cicadafold.dispatch import runs
from cicadafold.dispatch import term
from cicadafold.dispatch.tests import room as rooms
from cicadafold.dispatch import worker_link
from cicadafold.jobs import model

MEDIUM_NEED = model.Resources(1700, 100, 0)


def fill(room, *, checkpoints=True, cores_milli=1700, estimate_ms=2700):
    """Fills all workers of a room with tasks of medium jobs."""
    fitting = 16000 // cores_milli
    for number in range(len(room.workers)):
        room.submit(
            f"fill{number}",
            rooms.MEDIUM,
            tasks=fitting,
            need=model.Resources(cores_milli, 100, 0),
            estimate_ms=estimate_ms,
            checkpoints=checkpoints,
        )
    room.play(800)


def submit_urgent(room, name="urgent", **fields):
    """Submits an urgent call of one task with many cores."""
    values = {
        "tasks": 1,
        "need": model.Resources(7400, 100, 0),
        "estimate_ms": 640,
    }
    return room.submit(name, rooms.URGENT, **(values | fields))


def submit_wide(room, name="wide", **fields):
    """Submits a gang of patient work with little slack left."""
    values = {
        "tasks": 3,
        "need": model.Resources(4500, 100, 0),
        "estimate_ms": 4000,
        "gang": True,
    }
    job = room.submit(name, rooms.WIDE, **(values | fields))
    job.arrived_ms -= 7000.0
    return job


def count(room, name, **labels):
    """Returns a counter of the room's metrics."""
    return room.metrics.counters[(name, tuple(labels.items()))]


def task_of(job):
    """Returns the first task of a job."""
    return job.steps[0][0].tasks[0]


@pytest.fixture
def room(monkeypatch):
    """Returns a full room of two workers."""
    room = rooms.Room(monkeypatch, workers=2)
    fill(room)
    return room


def test_urgent_call_gets_capacity_from_patient_work(room):
    """It would be late, as no worker has a block of its size in time."""
    job = submit_urgent(room)
    room.play(1400)
    assert room.finished_ms["urgent"] - job.arrived_ms <= job.objective_ms
    assert count(room, "preemption_stops", reason="urgent") <= 5
    assert count(room, "preemption_steps_helped", reason="urgent") == 1


def test_without_preemption_nothing_is_stopped(monkeypatch):
    """Deployments without teams are served as before."""
    room = rooms.Room(monkeypatch, workers=2, preempts=False)
    fill(room)
    submit_urgent(room)
    room.play(1000)
    assert room.stops == []


def test_stopped_task_resumes_without_a_trace(room):
    """A preemption is no failure of the task, the worker or the estimate."""
    submit_urgent(room)
    means = dict(room.estimates.log_means)
    room.play(700)
    stopped = [run.task for run in room.stops]
    assert stopped
    assert room.estimates.log_means == means
    for task in stopped:
        assert task.checkpoint
        assert not task.failed_attempts
        assert not task.step.avoided_workers
    assert all(x.quarantined_until_ms == 0 for x in room.workers.values())
    room.play(8000)
    assert all(task.done for task in stopped)
    assert len(room.finished_ms) == 3


def test_checkpoint_counts_for_the_slack_of_a_stopped_task(room):
    """Its step must not rank as late for work that is saved already."""
    submit_urgent(room)
    room.play(500)
    step = room.stops[0].task.step
    waiting = [task for task in step.tasks if task.needs_start]
    assert waiting
    saved = min(task.saved_percent for task in waiting)
    assert saved > 10.0
    found = room.preempting.waiting_step(step, 1000.0)
    assert found.remaining_ms == pytest.approx(1000.0 * (1 - saved / 100))


def test_task_is_preempted_once(room):
    """A stream of urgent calls must not stop the same task forever."""
    for number in range(12):
        submit_urgent(room, f"urgent{number}")
        room.play(400)
    tasks = [run.task for run in room.stops]
    assert len(tasks) > 4
    assert len(tasks) == len(set(tasks))


def test_tasks_that_were_preempted_are_left_alone(room):
    """A stop for a second time would add to what the first has cost."""
    for worker in room.workers.values():
        for run in worker.runs.values():
            run.task.preempted = True
    submit_urgent(room)
    room.play(500)
    assert room.stops == []


@pytest.mark.parametrize(
    "fields",
    ({"gang": True}, {"lasting": True}, {"checkpoints": False}),
)
def test_work_that_loses_much_is_not_stopped(monkeypatch, fields):
    """Gangs, lasting tasks, and long runs without checkpoints go on."""
    room = rooms.Room(monkeypatch, workers=1)
    values = {"checkpoints": True} | fields
    room.submit(
        "patient",
        rooms.MEDIUM,
        tasks=9,
        need=MEDIUM_NEED,
        estimate_ms=4000,
        **values,
    )
    room.play(1000)
    submit_urgent(room)
    room.play(1000)
    assert room.stops == []


def test_freed_capacity_is_kept_for_the_step(room):
    """Waiting patient tasks must not take what was freed for a call.

    The stops end one after another, so that each frees a small part.
    """
    room.stop_spread = 0.8
    room.submit(
        "greedy",
        rooms.MEDIUM,
        tasks=30,
        need=model.Resources(1000, 100, 0),
        estimate_ms=5000,
    )
    job = submit_urgent(room)
    room.play(1400)
    assert room.finished_ms["urgent"] - job.arrived_ms <= job.objective_ms
    assert count(room, "preemption_steps_helped", reason="urgent") == 1


def test_gang_that_would_be_late_is_helped(room):
    """It needs all its capacity at once, which ends do not free in time."""
    job = submit_wide(room)
    room.play(400)
    assert count(room, "preemption_stops", reason="gang") > 0
    room.play(4600)
    assert room.finished_ms["wide"] - job.arrived_ms <= job.objective_ms


def test_gang_with_slack_waits_for_expected_ends(room):
    """Nothing is stopped while the reserved workers become free in time."""
    room.submit(
        "wide",
        rooms.WIDE,
        tasks=3,
        need=model.Resources(4500, 100, 0),
        estimate_ms=4000,
        gang=True,
    )
    room.play(1000)
    assert room.stops == []


def test_unanswered_stop_is_not_repeated_beyond_the_bound(monkeypatch):
    """Each further stop would lose work for the same need.

    One more is made, as the first is not expected to free anything any more.
    """
    room = rooms.Room(monkeypatch, workers=2)
    fill(room, estimate_ms=6000)
    room.deaf = True
    job = submit_urgent(room, need=model.Resources(1700, 100, 0))
    job.objective_ms = 5000.0
    room.play(3000)
    assert len(room.stops) == 2
    assert count(room, "preemption_steps_missed", reason="urgent") >= 1
    room.play(4000)
    assert "urgent" in room.finished_ms


def test_worker_that_is_lost_meanwhile_keeps_nothing(room):
    """The step is placed elsewhere, and the other worker is used fully."""
    submit_urgent(room)
    room.play(30)
    (plan,) = room.preempting.plans.values()
    (name,) = plan.held
    worker = room.workers[name]
    worker.silent_since_ms = room.now_ms
    lost = list(worker.runs.values())
    room.handler.on_runs_lost(worker, lost, "lapsed")
    room.play(24)
    held = [x for p in room.preempting.plans.values() for x in p.held]
    assert name not in held
    room.play(1500)
    assert "urgent" in room.finished_ms


def test_plans_are_forgotten_after_a_stall(room):
    """What was planned before a stall may be wrong after it."""
    room.deaf = True
    submit_urgent(room)
    room.play(30)
    assert room.preempting.plans
    room.allowed = False
    room.play(600)
    for plan in room.preempting.plans.values():
        plan.until_ms = math.inf
    room.preempting.planned_ms = room.now_ms + 100.0
    room.allowed = True
    room.play(12)
    assert not room.preempting.plans


def test_stop_that_was_planned_before_a_stall_is_not_sent(room):
    """A later term may have placed the step elsewhere already."""
    sent = []
    room.preempting.spawn = sent.append
    submit_urgent(room)
    room.play(30)
    plan = next(iter(room.preempting.plans.values()))
    room.allowed = False
    rooms.run_to_end(sent[0])
    assert room.stops == []
    assert not room.preempting.plans
    assert not room.preempting.tracker.stopping
    assert not any(run.task.preempted for run in plan.stops)


def test_cancelled_step_gives_back_its_capacity(room):
    """What is held for nobody would be lost to all."""
    job = submit_urgent(room)
    room.play(30)
    assert room.preempting.plans
    room.jobs.cancel(job)
    room.submit(
        "patient",
        rooms.MEDIUM,
        tasks=30,
        need=MEDIUM_NEED,
        estimate_ms=2700,
    )
    room.play(24)
    assert not room.preempting.plans
    assert not room.preempting.plan_counts
    room.play(400)
    assert room.stops
    assert all(run.task.runs for run in room.stops)


def test_burst_of_urgent_calls_stops_a_small_part(monkeypatch):
    """Half of the cell must not be stopped for one burst."""
    room = rooms.Room(monkeypatch, workers=40)
    fill(room, estimate_ms=20000)
    for number in range(100):
        submit_urgent(room, f"urgent{number}")
    room.play(900)
    freed = sum(run.room.cores_milli for run in room.stops)
    assert 0 < freed <= 0.05 * 40 * 16000


def test_only_workers_with_lasting_tickets_are_freed(monkeypatch):
    """A stop is wasted if the ticket expires before the step can start."""
    room = rooms.Room(monkeypatch, workers=2)
    fill(room)
    rule = rooms.rule(
        "advised", priority=0, target_ms=1400.0, advice=rooms.ADVICE
    )
    job = room.submit(
        "advised",
        rule,
        tasks=1,
        need=model.Resources(7400, 100, 0),
        estimate_ms=640,
    )
    job.objective_ms = 1400.0
    step = job.steps_of(0)[0]
    step.advice_pending = True
    step.tickets = {
        "w000": ("t", room.now_ms + 200.0),
        "w001": ("t", room.now_ms + 5000.0),
    }
    room.play(600)
    assert room.stops
    assert {run.worker.report.id for run in room.stops} == {"w001"}
    assert task_of(job).runs


def test_late_gang_reserves_nothing_while_others_can_be_in_time(room):
    """Jobs that miss their objective take no capacity from others."""
    late = submit_wide(room, "late", tasks=6)
    late.arrived_ms -= 10000.0
    room.play(300)
    reserved = room.placer.reservations.reserved
    assert late in {step.job for _, step in reserved.values()}
    room.submit(
        "patient",
        rooms.MEDIUM,
        tasks=30,
        need=MEDIUM_NEED,
        estimate_ms=2700,
    )
    room.play(300)
    reserved = room.placer.reservations.reserved
    assert late not in {step.job for _, step in reserved.values()}


def test_headroom_is_kept_only_while_the_pool_is_full(room):
    """Nothing is withheld without urgent demand, or with free capacity."""
    room.submit(
        "more",
        rooms.MEDIUM,
        tasks=40,
        need=model.Resources(500, 100, 0),
        estimate_ms=2700,
    )
    room.play(200)
    assert not room.preempting.headroom.held
    submit_urgent(room, need=model.Resources(1500, 100, 0))
    room.play(100)
    assert room.preempting.headroom.held
    room.play(12000)
    assert len(room.finished_ms) == 4
    assert not room.preempting.headroom.held


@pytest.mark.parametrize(("teams", "preempts"), (({}, True), (None, False)))
def test_term_preempts_only_with_teams(teams, preempts):
    """Earlier deployments are served as before."""
    fake = types.SimpleNamespace(
        job_table=types.SimpleNamespace(configure=lambda x: None),
        teams=types.SimpleNamespace(on_configuration=lambda x: None),
        placer=types.SimpleNamespace(preempting=None),
        preempting="preempting",
    )
    configuration = model.Configuration(1, {}, {}, 1000, teams)
    term.Term.configure(fake, configuration)
    assert (fake.placer.preempting == "preempting") is preempts
    fake.placer = None
    term.Term.configure(fake, configuration)


def test_late_answer_does_not_end_preemption(room):
    """A stop that took long must not keep others from being tried."""
    tracker = room.preempting.tracker
    run = next(iter(room.workers["w000"].runs.values()))
    for _ in range(20):
        tracker.add(run, "urgent", room.now_ms)
        run.worker.remove(run)
        tracker.settle(room.now_ms + 60_000.0)
        run.worker.add(run)
    assert tracker.stop_ms <= tracker.longest_stop_ms
    tracker.settle(room.now_ms + 60_000.0 + preemption_stops.RELEARN_MS + 1)
    assert tracker.stop_ms == tracker.longest_stop_ms / 2


def test_new_term_begins_without_plans(room, monkeypatch):
    """A new term knows neither plans nor holds; a task may stop again."""
    submit_urgent(room)
    room.play(30)
    assert room.preempting.plans
    later = rooms.Room(monkeypatch, workers=2)
    fill(later)
    assert not later.preempting.plans
    submit_urgent(later)
    later.play(30)
    assert later.stops


@pytest.mark.parametrize("preempted", (True, False))
def test_stopped_run_says_nothing_of_its_workers_speed(room, preempted):
    """It makes no progress while its checkpoint is saved or restored."""
    worker = room.workers["w000"]
    run = next(iter(worker.runs.values()))
    run.task.preempted = preempted
    link = types.SimpleNamespace(worker=worker, events=room.handler)
    run.rate_measured_ms = room.now_ms - 500.0
    row = types.SimpleNamespace(percent=run.percent)
    worker_link.WorkerLink.measure_speed(link, run, row, room.now_ms)
    assert bool(worker.speed_meter.rates) is not preempted
    assert run.state is runs.RunState.RUNNING
