"""Tests of fair shares, of the rank by shares and of its order in a pass."""

import types

import msgspec
import pytest

from cicadafold.jobs import model
from cicadafold.scheduling import fair_share
from cicadafold.scheduling import ranking
from cicadafold.teams import model as team_model

CAPACITY = 12_000
CORE = 1000


class Task:
    """A waiting task, placed or not."""

    def __init__(self):
        self.needs_start = True


class Room:
    """A pool with a number of free cores, and the usage of its teams."""

    def __init__(self, free_milli, usage):
        self.free_milli = free_milli
        self.usage = {"p": usage}

    def place(self, step, tasks):
        """Places as many tasks as fit; returns their number."""
        size = step.spec.need.cores_milli
        fitting = min(len(tasks), self.free_milli // size)
        if step.spec.gang and fitting < len(tasks):
            return 0
        for task in tasks[:fitting]:
            task.needs_start = False
        self.free_milli -= fitting * size
        used = self.usage["p"]
        team = step.job.spec.team_name
        used[team] = used.get(team, 0) + fitting * size
        return fitting


def ranked_step(team, tasks, rank, *, gang=False):
    """Returns the triple of a step with tasks of one core each.

    Args:
        team: Name of its team.
        tasks: Number of waiting tasks.
        rank: Rank by shares of the step.
        gang: Whether either all tasks start or none.
    """
    rule = model.QueueRule("q", "a", "/q/", "p")
    job = types.SimpleNamespace(
        rule=rule,
        spec=types.SimpleNamespace(
            team=team_model.TeamRule(team), team_name=team
        ),
    )
    spec = types.SimpleNamespace(need=model.Resources(CORE), gang=gang)
    step = types.SimpleNamespace(job=job, spec=spec)
    return (rank, team), step, [Task() for _ in range(tasks)]


def one_pass(room, shares, ranked):
    """Makes one pass; returns what was placed, as pairs of team and count."""
    pass_shares = fair_share.PassShares(shares={"p": shares}, usage=room.usage)
    placed = []
    for _, step, tasks in fair_share.in_share_order(
        sorted(ranked, key=lambda item: item[0]), pass_shares
    ):
        placed.append((step.job.spec.team_name, room.place(step, tasks)))
    return placed


def waiting(priority, *, waited_ms=0.0, beyond_rate=False):
    """Returns a waiting step with an objective of a second."""
    return ranking.WaitingStep(
        priority=priority,
        arrived_ms=-waited_ms,
        objective_ms=1000.0,
        remaining_ms=200.0,
        beyond_rate=beyond_rate,
    )


def rank(step):
    """Returns the rank by shares of a waiting step at the time 0."""
    return ranking.RANKINGS["shares"](step, 0.0)


@pytest.mark.parametrize(
    ("weights", "demands", "expected"),
    (
        ((1, 1), (100, 100), (6, 6)),
        ((1, 3), (100, 100), (3, 9)),
        ((1, 1, 1), (2, 100, 100), (2, 5, 5)),
        ((1, 1, 2), (1, 2, 100), (1, 2, 9)),
        ((1, 1), (2, 3), (2, 3)),
        ((0, 1), (5, 8), (4, 8)),
        ((0, 0), (8, 8), (6, 6)),
        ((0, 1), (5, 100), (0, 12)),
    ),
)
def test_shares_are_max_min_fair_by_weight(weights, demands, expected):
    """Guards against shares that are lost, or taken from a smaller demand."""
    names = "abc"
    shares = fair_share.fair_shares(
        12, dict(zip(names, weights)), dict(zip(names, demands))
    )
    found = [shares[name] for name in names[: len(weights)]]
    assert found == pytest.approx(expected)


def test_shares_of_many_teams_add_up_to_the_capacity():
    """Guards against rounding that divides by a total of 0 at the end."""
    weights = {str(n): 0.1 * (n + 1) for n in range(540)}
    shares = fair_share.fair_shares(1e6, weights, dict.fromkeys(weights, 1e9))
    assert sum(shares.values()) == pytest.approx(1e6)


def test_no_capacity_gives_no_shares():
    """Guards against negative shares while all workers are away."""
    assert fair_share.fair_shares(-5, {"a": 1}, {"a": 3}) == {"a": 0}


def test_urgent_work_never_ranks_behind_patient_work():
    """Guards against a share or a rate that delays urgent work so far."""
    worst = rank(waiting(0, beyond_rate=True))
    assert (*worst[:2], True, *worst[3:]) < rank(waiting(1))


def test_jobs_beyond_the_rate_rank_last_in_their_class():
    """Guards against excess jobs that win by a small slack."""
    for priority in (0, 1):
        excess = waiting(priority, waited_ms=600.0, beyond_rate=True)
        assert rank(waiting(priority)) < rank(excess)


def test_too_late_jobs_stay_last():
    """Guards against lost jobs of a small team before useful ones."""
    late = waiting(0, waited_ms=5000.0)
    assert rank(waiting(1, beyond_rate=True)) < rank(late)
    assert rank(waiting(1, waited_ms=1500.0)) < rank(late)


def test_rank_without_teams_is_unchanged():
    """Guards against a new order in deployments without teams."""
    slack = ranking.RANKINGS["slack"]
    assert slack(waiting(0), 0.0) == (0, 0, 0.0)
    assert slack(waiting(1), 0.0) == (1, 0, 800.0)
    assert slack(waiting(1, waited_ms=1500.0), 0.0) == (2, 0, -700.0)
    assert slack(waiting(0, waited_ms=5000.0), 0.0) == (3, 0, -4200.0)


def test_one_team_cannot_take_the_cell_in_one_pass():
    """Guards against a flag that is fixed when the pass starts."""
    room = Room(CAPACITY, {})
    shares = {"big": 6000, "small": 6000}
    ranked = [
        ranked_step("big", 40, (1, False, False, 1)),
        ranked_step("small", 8, (1, False, False, 2)),
    ]
    assert one_pass(room, shares, ranked) == [
        ("big", 6),
        ("small", 6),
        ("big", 0),
        ("small", 0),
    ]


def test_many_steps_of_one_team_cannot_take_the_cell_either():
    """Guards against shares that are only checked for single steps."""
    room = Room(CAPACITY, {"big": 3000})
    shares = {"big": 6000, "small": 6000}
    ranked = [ranked_step("big", 1, (0, False, False, n)) for n in range(30)]
    ranked.append(ranked_step("small", 4, (0, False, False, 99)))
    one_pass(room, shares, ranked)
    assert room.usage["p"] == {"big": 11_000, "small": 4000}


def test_unused_share_goes_to_a_team_above_its_own():
    """Guards against capacity that stays free while a team could use it."""
    room = Room(CAPACITY, {"big": 9000})
    ranked = [ranked_step("big", 40, (1, False, False, 1))]
    one_pass(room, {"big": 6000}, ranked)
    assert room.free_milli == 0


def test_urgent_steps_above_a_share_come_before_patient_ones_below():
    """Guards against S1: urgent work behind patient work."""
    room = Room(4000, {"big": 9000})
    shares = {"big": 6000, "small": 6000}
    ranked = [
        ranked_step("big", 3, (0, False, False, 1)),
        ranked_step("small", 3, (1, False, False, 1)),
    ]
    assert one_pass(room, shares, ranked) == [("big", 3), ("small", 1)]


def test_gang_is_not_split_by_a_share():
    """Guards against a gang that is offered in parts and never starts."""
    room = Room(CAPACITY, {})
    ranked = [ranked_step("big", 10, (1, False, False, 1), gang=True)]
    assert one_pass(room, {"big": 2000}, ranked) == [("big", 10)]


def test_share_below_one_task_still_starts_one():
    """Guards against a small team that never starts anything."""
    room = Room(CAPACITY, {"big": 20_000})
    shares = {"big": 11_900, "small": 100}
    ranked = [
        ranked_step("big", 40, (1, False, False, 1)),
        ranked_step("small", 5, (1, False, False, 2)),
    ]
    assert one_pass(room, shares, ranked)[0] == ("small", 1)


def test_each_task_is_offered_once():
    """Guards against a task that is started twice in one pass."""
    room = Room(100_000, {})
    ranked = [ranked_step("big", 30, (1, False, False, 1))]
    offered = []
    pass_shares = fair_share.PassShares(
        shares={"p": {"big": 7000}}, usage=room.usage
    )
    for _, step, tasks in fair_share.in_share_order(ranked, pass_shares):
        room.place(step, tasks)
        offered.extend(tasks)
    assert offered == ranked[0][2]


def test_step_above_its_share_has_a_later_rank_for_advice():
    """Guards against advice calls that go to teams above their share."""
    item = ranked_step("big", 1, (1, False, False, 1, 0))
    job = item[1].job
    job.rule = msgspec.structs.replace(
        job.rule, advice=model.AdviceCost(1.0, 1.0, 1.0)
    )
    pass_shares = fair_share.PassShares(shares={"p": {"big": 0}}, usage={})
    ((found, _, _),) = fair_share.in_share_order([item], pass_shares)
    assert found == ((1, False, True, 1, 0), "big")


def test_step_of_a_pool_without_workers_is_passed_on():
    """Guards against a pass that fails when a pool has lost all workers."""
    item = ranked_step("big", 1, (1, False, False, 1, 0))
    pass_shares = fair_share.PassShares(shares={}, usage={})
    assert list(fair_share.in_share_order([item], pass_shares)) == [item]
