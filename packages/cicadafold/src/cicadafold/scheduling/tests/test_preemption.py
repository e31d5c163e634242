"""Tests of the choice of run attempts to stop, and of headroom."""

import pytest

from cicadafold.jobs import model
from cicadafold.scheduling import headroom
from cicadafold.scheduling import preemption
from cicadafold.scheduling import preemption_victims
from cicadafold.scheduling import views

Grade = preemption_victims.Grade
COSTS = preemption_victims.Costs(
    stop_ms=250.0, wait_ms=500.0, restore_ms=200.0, checkpoint_ms=1000.0
)
MANY = 1_000_000


def running(name="run", *, cores_milli=1700, **fields):
    """Returns a patient run attempt with a checkpoint and much slack."""
    values = {
        "run": name,
        "room": model.Resources(cores_milli, 10, 0),
        "priority": 2,
        "checkpoints": True,
        "ran_ms": 700.0,
        "left_ms": 2000.0,
        "slack_ms": 15000.0,
        "objective_ms": 22000.0,
    }
    return preemption_victims.RunningTask(**(values | fields))


def need(tasks=1, *, cores_milli=3000, priority=0, slack_ms=700.0, **fields):
    """Returns the need of a step."""
    demand = views.Demand(
        tasks=tasks, need=model.Resources(cores_milli, 10, 0), **fields
    )
    return preemption.Need(demand=demand, priority=priority, slack_ms=slack_ms)


def gang_need(tasks=2, **fields):
    """Returns the need of a gang of patient work."""
    values = {"priority": 2, "slack_ms": 1000.0, "gang": True}
    return need(tasks, **(values | fields))


def option(wanted, tasks=(), *, name="w", free_milli=0, ends=None):
    """Returns a worker with running tasks as an option for a need."""
    victims = [
        preemption_victims.victim_of(task, wanted, COSTS) for task in tasks
    ]
    return preemption.WorkerOption(
        views.WorkerView(name, "", "d", frozenset(), free_milli, 9000, 0),
        [(task.left_ms, task.room) for task in tasks]
        if ends is None
        else ends,
        sorted(
            (victim for victim in victims if victim is not None),
            key=preemption_victims.by_loss,
        ),
    )


def grade_of(wanted, **fields):
    """Returns the grade of a running task for a need, or None."""
    victim = preemption_victims.victim_of(running(**fields), wanted, COSTS)
    return None if victim is None else victim.grade


def stopped(shares):
    """Returns the run attempts that are stopped for shares."""
    return sorted(x.run for share in shares for x in share.victims)


def test_run_of_the_same_or_higher_urgency_is_never_stopped():
    """Urgent work must not be stopped for other urgent work."""
    assert grade_of(need(), priority=0) is None
    assert grade_of(gang_need(), priority=0) is None
    assert grade_of(gang_need(), priority=1) is None
    assert grade_of(need(), priority=1) is Grade.CHECKPOINT


def test_run_that_is_nearly_done_is_not_stopped():
    """Its capacity would be free before the stop is done."""
    assert grade_of(need(), left_ms=300.0) is None


@pytest.mark.parametrize(
    ("fields", "for_urgent", "for_gang"),
    (
        ({}, Grade.CHECKPOINT, Grade.CHECKPOINT),
        ({"slack_ms": 900.0}, None, None),
        ({"checkpoints": False}, None, None),
        ({"checkpoints": False, "ran_ms": 100.0}, Grade.LITTLE, None),
        ({"slack_ms": -50000.0}, Grade.WORTHLESS, Grade.WORTHLESS),
        ({"slack_ms": -500.0}, Grade.LATE, None),
        ({"slack_ms": -500.0, "checkpoints": False}, None, None),
        ({"restart_ms": 20000.0}, None, None),
    ),
)
def test_only_runs_that_lose_little_are_stopped(fields, for_urgent, for_gang):
    """A stop must not make another job late, nor lose much of its work."""
    assert grade_of(need(), **fields) is for_urgent
    assert grade_of(gang_need(), **fields) is for_gang


def test_nothing_is_stopped_if_expected_ends_come_in_time():
    """Work would be lost for capacity that becomes free anyway."""
    wanted = need(slack_ms=900.0)
    tasks = [running("a"), running("b", left_ms=300.0, cores_milli=3000)]
    shares = preemption.choose(wanted, [option(wanted, tasks)], COSTS, MANY)
    assert [share.in_ms for share in shares] == [300.0]
    assert stopped(shares) == []


def test_ends_that_come_too_late_are_not_waited_for():
    """After the wait a stop would be too late as well."""
    wanted = need(slack_ms=500.0)
    tasks = [running("a"), running("b"), running("c", left_ms=300.0)]
    shares = preemption.choose(wanted, [option(wanted, tasks)], COSTS, MANY)
    assert stopped(shares) == ["a", "b"]


def test_nothing_is_stopped_for_a_step_that_is_late_anyway():
    """Jobs that miss their objective take no capacity from others."""
    wanted = need(slack_ms=200.0)
    tasks = [running("a"), running("b")]
    options = [option(wanted, tasks)]
    assert preemption.choose(wanted, options, COSTS, MANY) is None


def test_few_runs_that_lose_little_are_chosen():
    """More stops than needed would waste work."""
    wanted = need(slack_ms=400.0)
    options = [
        option(wanted, [running("a"), running("b")], name="w1"),
        option(wanted, [running("c")], name="w2", free_milli=1500),
        option(
            wanted,
            [running("d", ran_ms=100.0)],
            name="w3",
            free_milli=1500,
        ),
    ]
    assert stopped(preemption.choose(wanted, options, COSTS, MANY)) == ["d"]


def test_runs_that_are_not_needed_any_more_are_left_alone():
    """A small one is tried first, but a large one suffices."""
    wanted = need(slack_ms=400.0)
    tasks = [
        running("small", cores_milli=1000, ran_ms=1.0),
        running("large", cores_milli=3000),
    ]
    options = [option(wanted, tasks)]
    assert stopped(preemption.choose(wanted, options, COSTS, MANY)) == [
        "large"
    ]


def test_runs_with_checkpoints_are_stopped_first():
    """Others lose all their work, even if they have run for less time."""
    wanted = need(cores_milli=1700, slack_ms=400.0)
    tasks = [running("a", checkpoints=False, ran_ms=50.0), running("b")]
    options = [option(wanted, tasks)]
    assert stopped(preemption.choose(wanted, options, COSTS, MANY)) == ["b"]


def test_gang_gets_all_its_capacity_or_stops_nothing():
    """A part of a gang cannot run, so its stops would be wasted."""
    wanted = gang_need(3)
    tasks = [running("a"), running("b"), running("c"), running("d")]
    options = [option(wanted, tasks, free_milli=2000)]
    assert preemption.choose(wanted, options, COSTS, MANY) is None
    options.append(option(wanted, (), name="w2", free_milli=3000))
    shares = preemption.choose(wanted, options, COSTS, MANY)
    assert len(shares) == 3
    assert sorted(share.worker for share in shares) == ["w", "w", "w2"]


def test_budget_bounds_what_is_stopped():
    """A burst of urgent steps must not stop much of a pool."""
    wanted = need(2, cores_milli=1700, slack_ms=400.0)
    tasks = [running("a"), running("b"), running("c")]
    options = [option(wanted, tasks)]
    assert preemption.choose(wanted, options, COSTS, 1700) is None
    shares = preemption.choose(wanted, options, COSTS, 3400)
    assert len(stopped(shares)) == 2


def test_step_that_is_no_gang_keeps_what_needs_no_stop():
    """Stops that do not complete the step are not worth their loss."""
    wanted = need(2, slack_ms=700.0)
    options = [option(wanted, [running("a")], free_milli=3000)]
    shares = preemption.choose(wanted, options, COSTS, MANY)
    assert stopped(shares) == []
    assert len(shares) == 1


@pytest.mark.parametrize(
    "fields",
    ({"label": "x"}, {"per_host": 1, "running_per_worker": {"w": 1}}),
)
def test_worker_that_a_step_cannot_use_is_left_alone(fields):
    """Capacity that is freed there would be of no use to the step."""
    wanted = need(slack_ms=400.0, **fields)
    options = [option(wanted, [running("a"), running("b")])]
    assert preemption.choose(wanted, options, COSTS, MANY) is None


def free_views(*cores):
    """Returns views of workers with the given free cores."""
    return [
        views.WorkerView(f"w{number}", "", "d", frozenset(), free, 9000, 0)
        for number, free in enumerate(cores)
    ]


def test_headroom_follows_recent_urgent_demand():
    """Without urgent demand all capacity is for patient steps."""
    demand = headroom.UrgentDemand()
    large = model.Resources(7400, 100, 0)
    demand.record(large, 3, 0.0)
    demand.record(model.Resources(500, 100, 0), 3, 100.0)
    assert demand.expected_milli(500.0, 1000.0) == pytest.approx(2370.0)
    assert demand.block() == large
    later_ms = 2 * headroom.WINDOW_MS
    assert demand.expected_milli(500.0, later_ms) == 0
    assert demand.block() is None


def test_headroom_is_a_tenth_of_the_pool_at_most():
    """A burst of urgent steps must not leave much of a pool unused."""
    block = model.Resources(4000, 100, 0)
    workers = free_views(100, 3000, 0, 200)
    chosen = headroom.choose_workers(workers, block, MANY, 100_000)
    assert chosen == ["w1", "w3"]
    assert headroom.choose_workers(workers, block, 0.0, 100_000) == []
    assert headroom.choose_workers(workers, None, 9.0, 100_000) == []
