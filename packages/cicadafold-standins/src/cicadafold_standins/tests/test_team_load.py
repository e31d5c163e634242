"""Tests that the checks of keys, caps and refusals can fail."""

import asyncio
import types

import pytest

from cicadafold_standins.fleet import load
from cicadafold_standins.fleet import run_log
from cicadafold_standins.fleet import soak
from cicadafold_standins.fleet import soak_checks
from cicadafold_standins.fleet import team_load

SEED = team_load.SEED_WITH_TEAMS
TEAM = next(iter(team_load.TEAMS))
# Number of the first job of that team.
JOB = f"{len(team_load.TEAMS):016x}"
# Just beyond a bound, in seconds.
MARGIN_S = 0.1


def make_teams(status=None, running=()):
    """Returns teams in a cell with one worker.

    Args:
        status: Status of all answers.
        running: Thousandths of a core of the running tasks of ``TEAM``.
    """

    async def call(member, method, job_id, body=None, *, key=None):
        return status, {}

    runs = {
        number: types.SimpleNamespace(
            task=f"{JOB}.0.0.{number}", cores_milli=x
        )
        for number, x in enumerate(running)
    }
    teams = team_load.for_seed(SEED)
    teams.attach(
        types.SimpleNamespace(
            workers=[types.SimpleNamespace(running=runs, cores_milli=0)],
            members={"n": types.SimpleNamespace(name="n")},
            call=call,
            run_log=run_log.RunLog(),
            publish_configuration=lambda version, **_: None,
        )
    )
    return teams


@pytest.mark.parametrize(
    ("status", "ago_s", "count"),
    [
        (200, team_load.REVOKE_S + MARGIN_S, 1),
        (400, team_load.REVOKE_S + MARGIN_S, 1),
        (410, team_load.REVOKE_S + MARGIN_S, 1),
        (200, team_load.REVOKE_S - MARGIN_S, 0),
        (401, team_load.REVOKE_S + MARGIN_S, 0),
        (503, team_load.REVOKE_S + MARGIN_S, 0),
    ],
)
def test_withdrawn_key(status, ago_s, count):
    """The check overlooks a call that succeeds with a withdrawn key."""

    async def scenario():
        teams = make_teams(status)
        key = teams.keys_of[TEAM].pop(0)
        withdrawn_s = asyncio.get_running_loop().time() - ago_s
        teams.keys[key] = (0.0, withdrawn_s)
        await teams.probe_key(teams.cell.members["n"], key)
        return teams.violations

    assert len(asyncio.run(scenario())) == count


@pytest.mark.parametrize(
    ("status", "ago_s", "count"),
    [
        (401, team_load.CONFIGURATION_S + MARGIN_S, 1),
        (401, team_load.CONFIGURATION_S - MARGIN_S, 0),
        (503, team_load.CONFIGURATION_S + MARGIN_S, 0),
        (200, team_load.CONFIGURATION_S + MARGIN_S, 0),
    ],
)
def test_valid_key(status, ago_s, count):
    """The check overlooks a 401 for a key that has long been added."""

    async def scenario():
        teams = make_teams(status)
        added_s = asyncio.get_running_loop().time() - ago_s
        teams.add_key(TEAM, added_s)
        await teams.probe_key(teams.cell.members["n"], teams.keys_of[TEAM][-1])
        return teams.violations

    assert len(asyncio.run(scenario())) == count


@pytest.mark.parametrize(
    ("lowered_ago_s", "running", "count"),
    [
        (team_load.CAP_IN_FORCE_S + MARGIN_S, [4000, 4001], 1),
        (team_load.CAP_IN_FORCE_S + MARGIN_S, [4000, 4000], 0),
        # The higher cap may still be in force on some process.
        (team_load.CAP_IN_FORCE_S - MARGIN_S, [4000, 4001], 0),
        (team_load.CAP_IN_FORCE_S - MARGIN_S, [12_001], 1),
    ],
)
def test_cap(lowered_ago_s, running, count):
    """The check overlooks a start above the cap, or counts a lowered one."""

    async def scenario():
        teams = make_teams(running=running)
        lowered_s = asyncio.get_running_loop().time() - lowered_ago_s
        teams.caps[TEAM] = [(0.0, 12_000), (lowered_s, 8000)]
        teams.check_start(f"{JOB}.0.0.9")
        return teams.violations

    assert len(asyncio.run(scenario())) == count


def test_run_after_refusal_is_reported():
    """The soak overlooks that a job runs which was answered with 429."""

    async def scenario():
        teams = make_teams(429)
        soak_run = soak.Soak(cell=teams.cell, seed=SEED, teams=teams)
        await soak_run.submit(JOB)
        worker = teams.cell.workers[0]
        worker.overfilled, worker.started_after_done = [], []
        worker.starts = [(f"{JOB}.0.0.0", 1)]
        await soak_run.check_after_healing()
        return soak_run.violations

    original, soak_checks.LAST_RUNS_END_S = soak_checks.LAST_RUNS_END_S, 0.0
    try:
        violations = asyncio.run(scenario())
    finally:
        soak_checks.LAST_RUNS_END_S = original
    assert violations == [f"{JOB}.0.0.0 of a refused job ran"]


def test_widest_gang_fits_every_cap():
    """A cap is lower than a gang of the load, which then waits for ever."""
    widest = 4 * load.CORES_MILLI
    assert all(cap >= widest for cap in team_load.CAPS_MILLI if cap)


def test_versions_change_keys_and_caps():
    """No key is withdrawn, or a team is left without keys."""

    async def scenario():
        teams = make_teams()
        for version in range(2, 40):
            teams.publish(version)
        return teams

    teams = asyncio.run(scenario())
    withdrawn = [key for key, times in teams.keys.items() if times[1]]
    assert withdrawn
    assert all(len(keys) == 2 for keys in teams.keys_of.values())
    assert any(len(caps) > 1 for caps in teams.caps.values())
