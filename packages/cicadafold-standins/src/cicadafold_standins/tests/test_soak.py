"""Short runs of the soak, and a test that its checks can fail."""

import asyncio
import types

import pytest

from cicadafold_standins.fleet import configuration_watch
from cicadafold_standins.fleet import load
from cicadafold_standins.fleet import run_log
from cicadafold_standins.fleet import soak
from cicadafold_standins.fleet import soak_checks

# Pairs of seed and duration in seconds. In seed 103 a run attempt was stopped
# before its start command arrived, the worker restarted, and the new
# incarnation applied the late start command.
SEEDS = ((1, 6.0), (2, 6.0), (103, 8.0))
# Of the workers of a second soak, this many form a pool of their own.
SMALL_WORKERS = 2


@pytest.mark.parametrize(("seed", "seconds"), SEEDS)
def test_guarantees_hold_under_random_faults(seed, seconds):
    """No guarantee is violated in a short run of a fixed seed."""
    assert asyncio.run(soak.run_seed(seed, seconds)) == []


def test_guarantees_hold_in_a_pool_of_two_workers():
    """Every other job is for a pool that crashes may leave with no worker."""
    found = soak.run_seed(4, 6.0, small_workers=SMALL_WORKERS)
    assert asyncio.run(found) == []


def test_checks_report_violations():
    """Each check of the soak reports the violation of its guarantee."""
    worker = types.SimpleNamespace(
        name="w",
        running={"02.0.0.0": None},
        starts=[("01.0.0.0", 1)],
        done=[],
        overfilled=["x"],
        started_after_done=["y"],
    )

    async def call(member, method, job_id):
        # The cancellation of 04 was never acknowledged.
        return 200, {"state": "cancelled" if job_id == "04" else "completed"}

    async def scenario():
        fleet_cell = types.SimpleNamespace(
            workers=[worker],
            members={"n": None},
            call=call,
            publish_configuration=None,
            run_log=run_log.RunLog(),
        )
        soak_run = soak.Soak(cell=fleet_cell, seed=1)
        soak_run.refused.add("01")
        first = load.GeneratedStep(2, False, ())
        second = load.GeneratedStep(1, False, (0,))
        soak_run.accepted["03"] = soak_run.sent["03"] = load.GeneratedJob(
            (first, second), 0, 0, False
        )
        soak_run.accepted["04"] = load.GeneratedJob((first,), 0, 0, True)
        soak_run.shown_states["03"] = ("failed", 0.0)
        fleet_cell.run_log.done.add("03.0.0.1")
        fleet_cell.run_log.acknowledged_failures["03.0.0.0"] = (
            load.MAX_FAILURES
        )
        for task in ("03.0.0.0", "03.0.1.0"):
            fleet_cell.run_log.record_start(task)
        await soak_run.check_after_healing()
        return soak_run.violations

    original = soak_checks.LAST_RUNS_END_S, soak_checks.RECOVERY_TIMEOUT_S
    soak_checks.LAST_RUNS_END_S = soak_checks.RECOVERY_TIMEOUT_S = 0.0
    try:
        violations = asyncio.run(scenario())
    finally:
        soak_checks.LAST_RUNS_END_S = original[0]
        soak_checks.RECOVERY_TIMEOUT_S = original[1]
    assert len(violations) == 9


def test_unexpected_error_in_a_log_is_reported(tmp_path):
    """A term that fails is replaced so fast that no other check sees it."""
    folder = tmp_path / "n0"
    folder.mkdir()
    log = folder / "log-0-1.txt"
    log.write_text("The term starts.\n")
    assert soak_checks.find_unexpected_errors(tmp_path) == []
    log.write_text("node: The term failed; a\nb\nAn unexpected error was c")
    assert len(soak_checks.find_unexpected_errors(tmp_path)) == 1
    log.write_text("The term failed\nAn unexpected error was contained\n")
    assert len(soak_checks.find_unexpected_errors(tmp_path)) == 2


@pytest.mark.parametrize(("status", "count"), [(404, 1), (503, 0), (200, 0)])
def test_stale_answer_is_reported(status, count):
    """A process must not say that a queue does not exist that it must know."""

    async def call(member, method, *, path):
        return status, {}

    fleet_cell = types.SimpleNamespace(
        members={"n": None}, call=call, publish_configuration=None
    )
    watch = configuration_watch.ConfigurationWatch(cell=fleet_cell, seed=1)
    watch.published = [("q", 0.0)]
    asyncio.run(watch.ask("n", "q"))
    assert len(watch.violations) == count
