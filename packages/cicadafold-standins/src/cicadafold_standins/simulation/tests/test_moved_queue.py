"""Tests of a change of the scheduler after a queue moved to another pool."""

import asyncio
import random
import signal

import pytest

from cicadafold_standins.simulation import cell
from cicadafold_standins.simulation.tests import test_replaced_scheduler
from cicadafold_standins.simulation import virtual_time

WORK_MS = 6000.0
STEP = {"count": 2, "cpu": 1000, "memMb": 64, "estimateMs": 6000}
BODY = {"spec": "x", "steps": [STEP]}
JOBS = 6
OTHER_POOL = "other"
WATCHED_S = 4.0


@pytest.mark.parametrize("seed", range(1, 5))
def test_tasks_in_the_earlier_pool_of_a_queue_are_not_started_again(seed):
    """Only the pool of the newest configuration was asked what it runs."""

    async def scenario():
        async with cell.SimulatedCell(
            rng=random.Random(seed), workers=4, work_ms=WORK_MS, weak_hosts=()
        ) as fleet_cell:
            for each in fleet_cell.workers[2:]:
                each.pool = OTHER_POOL
            for name in test_replaced_scheduler.MEMBERS:
                await fleet_cell.start(name)
            wait = test_replaced_scheduler.wait_for_scheduler
            old = await wait(fleet_cell)
            await asyncio.sleep(2.0)
            for number in range(JOBS):
                member = fleet_cell.members["n0"]
                await fleet_cell.call(member, "POST", f"{number:016x}", BODY)
            await asyncio.sleep(0.5)
            fleet_cell.publish_configuration(2, service=OTHER_POOL)
            await asyncio.sleep(1.0)
            before = [len(each.starts) for each in fleet_cell.workers]
            fleet_cell.workers[0].silent = True
            await fleet_cell.stop(old, signal.SIGKILL)
            found = await test_replaced_scheduler.find_duplicate_runs(
                fleet_cell, WATCHED_S
            )
            return found, before

    (found, before), failed = virtual_time.run(scenario, seed)
    assert failed == []
    assert before[0] and not any(before[2:])
    assert found == set()
