"""A short run of the soak, and that its checks can fail."""

import asyncio
import types

import pytest

from cicadafold_standins.fleet import load
from cicadafold_standins.fleet import run_log
from cicadafold_standins.fleet import soak

# Seeds with their seconds. 103: an order was stopped, its worker started
# anew, and the order was carried out late in the new life.
SEEDS = ((1, 6.0), (2, 6.0), (103, 8.0))


@pytest.mark.parametrize(("seed", "seconds"), SEEDS)
def test_promises_hold_under_random_faults(seed, seconds):
    """No promise breaks in a short run of a fixed seed."""
    assert asyncio.run(soak.play(seed, seconds)) == []


def test_checks_report_what_breaks():
    """Each check of the soak fails when its promise is broken."""
    worker = types.SimpleNamespace(
        name="w",
        running={"02.0.0.0": None},
        starts=[("01.0.0.0", 1)],
        done=[],
        overfilled=["x"],
        again=["y"],
    )

    async def call(node, method, job):
        # The cancelling of 04 was never acknowledged.
        return 200, {"state": "cancelled" if job == "04" else "completed"}

    async def scenario():
        made = types.SimpleNamespace(
            workers=[worker],
            nodes={"n": None},
            call=call,
            log=run_log.RunLog(),
        )
        found = soak.Soak(made=made, seed=1)
        found.refused.add("01")
        first = load.MadeStep(2, False, ())
        second = load.MadeStep(1, False, (0,))
        found.accepted["03"] = found.sent["03"] = load.MadeJob(
            (first, second), 0, 0, False
        )
        found.accepted["04"] = load.MadeJob((first,), 0, 0, True)
        found.shown["03"] = ("failed", 0.0)
        made.log.done.add("03.0.0.1")
        made.log.noted_failures["03.0.0.0"] = load.MAX_FAILURES
        for task in ("03.0.0.0", "03.0.1.0"):
            made.log.start(task)
        await found.check()
        return found.broken

    kept = soak.GONE_S, soak.SETTLE_S
    soak.GONE_S = soak.SETTLE_S = 0.0
    try:
        broken = asyncio.run(scenario())
    finally:
        soak.GONE_S, soak.SETTLE_S = kept
    assert len(broken) == 9
