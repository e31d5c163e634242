"""Tests of the hand-over of a scheduler that stops, in virtual time."""

import asyncio
import random
import signal

import pytest

from cicadafold_standins.simulation import cell
from cicadafold_standins.simulation import network
from cicadafold_standins.simulation import virtual_time

STRONG = ("n10", "n11", "n12")
WEAK = tuple(f"n{number}" for number in range(20, 32))


@pytest.mark.parametrize("seed", range(1, 9))
def test_stopping_scheduler_is_replaced_by_a_strong_host(seed):
    """It names the successor, so that no weak host happens to claim first."""

    async def scenario():
        async with cell.SimulatedCell(
            rng=random.Random(seed),
            workers=3,
            work_ms=50.0,
            weak_hosts=WEAK,
        ) as fleet_cell:
            for name in STRONG + WEAK:
                await fleet_cell.start(name)
            await asyncio.sleep(random.Random(seed).uniform(2.0, 3.0))
            loop = asyncio.get_running_loop()
            old = fleet_cell.serving()
            member = fleet_cell.members.pop(old)
            member.process.send_signal(signal.SIGTERM)
            stopped_s = loop.time()
            claims = fleet_cell.store.partition("keyed.control", 0)
            end = claims.end
            async with asyncio.timeout(10.0):
                while claims.end == end:
                    await asyncio.sleep(0.01)
                claimed_s = loop.time()
                while (new := fleet_cell.serving()) is None:
                    await asyncio.sleep(0.01)
            recovered_s = loop.time()
            return old, new, claimed_s - stopped_s, recovered_s - claimed_s

    result, failed = virtual_time.run(scenario, seed)
    old, new, claim_took_s, recovery_took_s = result
    assert failed == []
    assert old in STRONG
    assert new in STRONG
    assert claim_took_s < 0.3
    assert recovery_took_s < 0.3 + network.LONG_DELAY_S[1]
