"""Tests of the return of the store after an outage, in virtual time."""

import asyncio
import random
import signal

import pytest

from cicadafold_standins.simulation import cell
from cicadafold_standins.simulation import virtual_time

MEMBERS = 8
OUTAGE_S = 4.2
# Longer than any lease.
LONG_OUTAGE_S = 10.0
# Stated target for the first job that is accepted after the store's return.
ACCEPT_WITHIN_S = 0.5
TRY_PAUSE_S = 0.02
STEP = {"count": 1, "cpu": 500, "memMb": 16, "estimateMs": 50}
BODY = {"spec": "50", "steps": [STEP]}


async def seconds_until_accepted(fleet_cell, member, first_number):
    """Returns how long a process refuses jobs from now on."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    number = first_number
    while True:
        number += 1
        status, _ = await fleet_cell.call(
            member, "POST", f"{number:016x}", BODY
        )
        if status == 200:
            return loop.time() - started_s
        await asyncio.sleep(TRY_PAUSE_S)


@pytest.mark.parametrize("kind", ["silent", "refusing"])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_every_process_accepts_jobs_soon_after_the_store_returns(seed, kind):
    """No process waits for calls that it sent before the return."""

    async def scenario():
        async with cell.SimulatedCell(
            rng=random.Random(seed), workers=3, work_ms=50.0
        ) as fleet_cell:
            for number in range(10, 10 + MEMBERS):
                await fleet_cell.start(f"n{number}")
            await asyncio.sleep(2.0)
            setattr(fleet_cell.store, kind, True)
            await asyncio.sleep(OUTAGE_S)
            setattr(fleet_cell.store, kind, False)
            return await asyncio.gather(
                *(
                    seconds_until_accepted(fleet_cell, member, 1000 * index)
                    for index, member in enumerate(fleet_cell.members.values())
                )
            )

    delays_s, failed = virtual_time.run(scenario, seed)
    assert failed == []
    assert max(delays_s) < ACCEPT_WITHIN_S


@pytest.mark.parametrize("killed", [False, True])
@pytest.mark.parametrize("kind", ["silent", "refusing"])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_tasks_run_on_through_a_long_outage_of_the_store(seed, kind, killed):
    """Their leases lapsed, or only if another process ended meanwhile."""

    async def scenario():
        async with cell.SimulatedCell(
            rng=random.Random(seed), workers=3, work_ms=14000.0
        ) as fleet_cell:
            for number in range(10, 10 + MEMBERS):
                await fleet_cell.start(f"n{number}")
            await asyncio.sleep(3.0)
            member = fleet_cell.members["n10"]
            status, _ = await fleet_cell.call(member, "POST", "a" * 16, BODY)
            assert status == 200
            await asyncio.sleep(1.0)
            setattr(fleet_cell.store, kind, True)
            if killed:
                others = set(fleet_cell.members) - {fleet_cell.serving()}
                await fleet_cell.stop(max(others), signal.SIGKILL)
            await asyncio.sleep(LONG_OUTAGE_S)
            setattr(fleet_cell.store, kind, False)
            await asyncio.sleep(5.0)
            return [
                attempt
                for each in fleet_cell.workers
                for attempt in (each.starts, each.done)
                if attempt
            ]

    found, failed = virtual_time.run(scenario, seed)
    assert failed == []
    assert list(map(len, found)) == [1, 1]
