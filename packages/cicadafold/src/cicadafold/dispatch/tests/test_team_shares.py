"""Tests of the fair shares of teams, and of what depends on them."""

import types

import pytest

from cicadafold.dispatch import reservations
from cicadafold.dispatch import runs
from cicadafold.dispatch import team_shares
from cicadafold.dispatch.tests import accounting
from cicadafold.jobs import model
from cicadafold.scheduling import views
from cicadafold.teams import model as team_model

TEAM = team_model.TeamRule("a", weight=10.0)
POOL = "p"


@pytest.fixture
def teams():
    """Returns the accounting of a cell with one team."""
    found = accounting.settled_accounting()
    found.rules = {"a": TEAM}
    return found


def test_metrics_show_ten_teams_and_the_rest():
    """Guards against a metric for each of hundreds of teams."""
    usage = {f"t{number:03d}": 1000 * number for number in range(540)}
    shown = team_shares.by_shown_team(usage, usage)
    assert len(shown) == team_shares.SHOWN_TEAMS + 1
    assert "t539" in shown and "t529" not in shown
    assert sum(shown.values()) == sum(usage.values())


def make_step(team, tasks, *, priority=1, beyond=False, milli=1000):
    """Returns a waiting step of a team's job and its tasks."""
    rule = model.QueueRule("queue", "a", "/q/", POOL, priority=priority)
    job = types.SimpleNamespace(
        spec=model.JobSpec("x", rule, "", (), team=team),
        rule=rule,
        beyond_rate=beyond,
    )
    spec = types.SimpleNamespace(need=model.Resources(milli), gang=False)
    step = types.SimpleNamespace(job=job, spec=spec)
    unit = types.SimpleNamespace(crashes=None)
    waiting = [
        types.SimpleNamespace(needs_start=True, unit=unit)
        for _ in range(tasks)
    ]
    return step, waiting


def pool_views(cores_milli):
    """Returns the views of a pool of one worker with some free cores."""
    view = views.WorkerView("w", "", "d", frozenset(), cores_milli, 0, 0)
    return {POOL: {"w": view}}


def test_order_without_teams_is_the_list_itself(teams):
    """Guards against extra work in deployments without teams."""
    teams.rules = {}
    shares = team_shares.TeamShares(teams=teams)
    ranked = [((1,), *make_step(TEAM, 3))]
    assert shares.order(ranked, {}) is ranked
    assert shares.pass_shares is None
    assert shares.ranking_name == "slack"
    step, tasks = make_step(TEAM, 1)
    shares.on_unplaced = None
    shares.on_attempted(step, tasks, None, 0.0)
    assert not shares.yields_reservation(step, step)
    assert shares.gauges() == {}


def test_shares_cover_teams_removed_jobs_without_team_and_caps(teams):
    """Guards against a team without a share, or one above its cap."""
    capped = team_model.TeamRule("b", 10.0, model.Resources(2000))
    removed = team_model.TeamRule("c", weight=10.0)
    teams.rules["b"] = capped
    shares = team_shares.TeamShares(teams=teams)
    ranked = [
        ((0,), *make_step(team, 100)) for team in (TEAM, capped, removed, None)
    ]
    shares.order(ranked, pool_views(32_000))
    found = shares.pass_shares.shares[POOL]
    assert found == pytest.approx(
        {"a": 10_000, "b": 2000, "c": 10_000, "": 10_000}
    )


def test_removed_team_without_waiting_steps_is_no_fault(teams):
    """Guards against a pass that fails while a removed team's tasks run."""
    teams.usage.add("gone", model.Resources(8000), pool=POOL)
    shares = team_shares.TeamShares(teams=teams)
    shares.order([((0,), *make_step(TEAM, 100))], pool_views(8000))
    assert shares.pass_shares.room(POOL, "a") >= 8000
    assert shares.pass_shares.room(POOL, "gone") <= 0


def test_new_weights_hold_in_the_next_pass(teams):
    """Guards against shares by the weights of an older configuration."""
    other = team_model.TeamRule("b", weight=10.0)
    teams.rules = {"a": TEAM, "b": other}
    shares = team_shares.TeamShares(teams=teams)
    ranked = [((0,), *make_step(rule, 100)) for rule in (TEAM, other)]
    shares.order(ranked, pool_views(8000))
    assert shares.pass_shares.shares[POOL] == {"a": 4000, "b": 4000}
    teams.rules["a"] = team_model.TeamRule("a", weight=30.0)
    shares.order(ranked, pool_views(8000))
    assert shares.pass_shares.shares[POOL] == {"a": 6000, "b": 2000}


def test_usage_of_unknown_jobs_is_no_share_of_a_team(teams, report):
    """Guards against shares of capacity that no team can use."""
    worker = runs.Worker(report=report, now_ms=0.0, team_usage=teams.usage)
    run = types.SimpleNamespace(
        key="k",
        room=model.Resources(16_000),
        team=None,
        charge=model.Resources(16_000),
        task=None,
        start_unconfirmed=False,
    )
    worker.add(run)
    shares = team_shares.TeamShares(teams=teams)
    shares.order([((0,), *make_step(TEAM, 100))], pool_views(4000))
    assert shares.pass_shares.shares[POOL] == {"a": 4000}
    worker.remove(run)
    assert teams.usage.cores_by_pool == {"p": {}}


def test_only_steps_within_the_rate_fill_a_pool(teams):
    """Guards against a team whose excess jobs close the cell to others."""
    shares = team_shares.TeamShares(teams=teams)
    noted = []
    shares.on_unplaced = lambda step, *_: noted.append(step)
    step, tasks = make_step(TEAM, 2)
    excess, excess_tasks = make_step(TEAM, 2, beyond=True)
    placed, placed_tasks = make_step(TEAM, 2)
    suspect, suspect_tasks = make_step(TEAM, 1)
    suspect_tasks[0].unit = types.SimpleNamespace(crashes="history")
    for task in placed_tasks:
        task.needs_start = False
    shares.on_attempted(excess, excess_tasks, None, 0.0)
    shares.on_attempted(placed, placed_tasks, None, 0.0)
    shares.on_attempted(suspect, suspect_tasks, None, 0.0)
    assert noted == []
    shares.on_attempted(step, tasks, None, 0.0)
    assert noted == [step]


@pytest.mark.parametrize(
    ("gang_team", "step_team", "priority", "yields"),
    (
        ("above", "below", 1, True),
        ("below", "above", 1, False),
        ("above", "above", 1, False),
        ("above", "below", 0, False),
    ),
)
def test_gang_above_its_share_keeps_no_workers_from_others(
    teams, gang_team, step_team, priority, yields
):
    """Guards against a share that a reservation takes from a small team.

    An urgent gang keeps its workers from patient steps.
    """
    rules = {
        name: team_model.TeamRule(name, weight=1.0)
        for name in ("above", "below")
    }
    teams.rules = rules
    teams.usage.add("above", model.Resources(9000), pool=POOL)
    shares = team_shares.TeamShares(teams=teams)
    gang, _ = make_step(rules[gang_team], 5, priority=priority)
    step, _ = make_step(rules[step_team], 5)
    ranked = [((0,), *make_step(rule, 50)) for rule in rules.values()]
    shares.order(ranked, pool_views(1000))
    found = reservations.Reservations(
        workers={},
        estimates=types.SimpleNamespace(step_task_duration_ms=lambda _: 1e4),
        make_demand=None,
        containment=None,
    )
    found.yields = shares.yields_reservation
    found.reserved = {"w": (100.0, gang)}
    last, never = found.of_others(step, 0.0)
    assert last == {"w"}
    assert (never == set()) is yields
