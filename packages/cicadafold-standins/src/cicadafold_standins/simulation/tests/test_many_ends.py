"""Tests of workers with more ends than one answer lists, in virtual time."""

import asyncio
import collections
import random
import signal

import pytest

from cicadafold_standins.simulation import cell
from cicadafold_standins.simulation import virtual_time

MEMBERS = ("n0", "n1", "n2")
JOBS = [f"{number:016x}" for number in range(30)]
TASKS = 50
WORK_MS = 5000.0
STEP = {"count": TASKS, "cpu": 20, "memMb": 8, "estimateMs": WORK_MS}
BODY = {"spec": "20", "steps": [STEP]}


def starts_of(worker):
    """Returns the number of starts on a worker."""
    return len(worker.starts)


async def refuse(store, seconds):
    """Makes the store refuse all calls for some seconds."""
    store.refusing = True
    await asyncio.sleep(seconds)
    store.refusing = False


async def change_scheduler(fleet_cell):
    """Kills the scheduler's process and waits for the next term."""
    await fleet_cell.stop(fleet_cell.serving(), signal.SIGKILL)
    async with asyncio.timeout(10.0):
        while fleet_cell.serving() is None:
            await asyncio.sleep(0.02)


@pytest.mark.parametrize("changes", [False, True])
@pytest.mark.parametrize("seed", range(1, 4))
def test_no_task_runs_again_while_ends_cannot_be_recorded(seed, changes):
    """Tasks ran twice whose ends were beyond the first 500 of their worker.

    In the second case the scheduler changes while they are not recorded, and
    the store fails again before the next one can record them.
    """

    async def scenario():
        async with cell.SimulatedCell(
            rng=random.Random(seed), workers=2, work_ms=WORK_MS, weak_hosts=()
        ) as fleet_cell:
            for name in MEMBERS:
                await fleet_cell.start(name)
            member = fleet_cell.members["n0"]
            for job in JOBS:
                status, _ = await fleet_cell.call(member, "POST", job, BODY)
                assert status == 200
            workers = fleet_cell.workers
            async with asyncio.timeout(5.0):
                while sum(map(starts_of, workers)) < len(JOBS) * TASKS:
                    await asyncio.sleep(0.02)
            assert not any(worker.done for worker in workers)
            await refuse(fleet_cell.store, 6.0)
            assert max(len(each.finished) for each in workers) > 700
            if changes:
                await change_scheduler(fleet_cell)
                await refuse(fleet_cell.store, 5.0)
            member = next(iter(fleet_cell.members.values()))
            for job in JOBS:
                await fleet_cell.wait_for_state(member, job, "completed")
            await asyncio.sleep(2.0)
            starts = collections.Counter(
                task for worker in workers for task, _ in worker.starts
            )
            return starts

    starts, failed = virtual_time.run(scenario, seed)
    assert failed == []
    assert len(starts) == len(JOBS) * TASKS
    assert {task for task, count in starts.items() if count > 1} == set()
