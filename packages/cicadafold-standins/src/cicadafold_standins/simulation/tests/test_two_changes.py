"""Tests of two changes of the scheduler in a row, in virtual time."""

import asyncio
import random
import signal

import pytest

from cicadafold_standins.simulation import cell
from cicadafold_standins.simulation.tests import test_replaced_scheduler
from cicadafold_standins.simulation import virtual_time

WORK_MS = 9000.0
STEP = {"count": 1, "cpu": 1000, "memMb": 64, "estimateMs": 9000}
BODY = {"spec": "x", "steps": [STEP]}
JOBS = 6
# Long enough for the record that a worker is silent.
SILENT_S = 1.9
WATCHED_S = 5.0


async def cut_off_and_replace(fleet_cell, worker):
    """Cuts a worker off and, once that is recorded, kills the scheduler.

    Returns:
        The pairs of hosts that are cut off from each other.
    """
    host = test_replaced_scheduler.host_of(worker.address)
    pairs = {
        (member.process.address, host)
        for member in fleet_cell.members.values()
    }
    fleet_cell.network.cut |= pairs
    await asyncio.sleep(SILENT_S)
    await fleet_cell.stop(fleet_cell.serving(), signal.SIGKILL)
    return pairs


async def wait_for_restart(fleet_cell, names, first):
    """Waits until another worker runs one of some tasks and returns it."""
    async with asyncio.timeout(20.0):
        while True:
            for each in fleet_cell.workers:
                if each is not first and names & set(each.running):
                    return each
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("seed", range(1, 5))
def test_task_recorded_for_two_workers_waits_for_both(seed):
    """The return of the first one released it while the second ran it."""

    async def scenario():
        async with cell.SimulatedCell(
            rng=random.Random(seed), workers=4, work_ms=WORK_MS, weak_hosts=()
        ) as fleet_cell:
            for name in test_replaced_scheduler.MEMBERS:
                await fleet_cell.start(name)
            wait = test_replaced_scheduler.wait_for_scheduler
            member = fleet_cell.members[await wait(fleet_cell)]
            await asyncio.sleep(2.0)
            for number in range(JOBS):
                await fleet_cell.call(member, "POST", f"{number:016x}", BODY)
            await asyncio.sleep(0.5)
            first = next(each for each in fleet_cell.workers if each.running)
            names = set(first.running)
            pairs = await cut_off_and_replace(fleet_cell, first)
            second = await wait_for_restart(fleet_cell, names, first)
            await asyncio.sleep(0.3)
            await cut_off_and_replace(fleet_cell, second)
            assert names & set(second.running)
            fleet_cell.network.cut -= pairs
            return await test_replaced_scheduler.find_duplicate_runs(
                fleet_cell, WATCHED_S
            )

    found, failed = virtual_time.run(scenario, seed)
    assert failed == []
    assert found == set()
