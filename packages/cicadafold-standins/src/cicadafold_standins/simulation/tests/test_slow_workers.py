"""Tests of workers that answer late, in virtual time."""

import asyncio
import random
import signal

import pytest

from cicadafold_standins.simulation import cell
from cicadafold_standins.simulation import virtual_time

MEMBERS = ("n0", "n1", "n2")
STEP = {"count": 3, "cpu": 1000, "memMb": 64, "estimateMs": 100}
JOBS = [f"{number:016x}" for number in range(12)]
BODY = {"spec": "1000", "steps": [STEP, STEP | {"dependsOn": [0]}]}
DELAY_S = 1.1


@pytest.mark.parametrize("changes", [False, True])
@pytest.mark.parametrize("place", ["call_delay_s", "answer_delay_s"])
@pytest.mark.parametrize("seed", range(1, 4))
def test_slow_workers_complete_their_jobs(seed, place, changes):
    """Workers that answered after 1.1 s counted as silent for good."""

    async def scenario():
        async with cell.SimulatedCell(
            rng=random.Random(seed), workers=4, work_ms=100.0, weak_hosts=()
        ) as fleet_cell:
            for worker in fleet_cell.workers:
                setattr(worker, place, DELAY_S)
            for name in MEMBERS:
                await fleet_cell.start(name)
            member = fleet_cell.members["n0"]
            for job in JOBS:
                status, _ = await fleet_cell.call(member, "POST", job, BODY)
                assert status == 200
            if changes:
                await asyncio.sleep(5.0)
                scheduler = fleet_cell.serving()
                await fleet_cell.stop(scheduler, signal.SIGKILL)
                member = next(iter(fleet_cell.members.values()))
            for job in JOBS:
                await fleet_cell.wait_for_state(
                    member, job, "completed", timeout_s=30.0
                )
            await asyncio.sleep(5.0)
            workers = fleet_cell.workers
            starts = [task for worker in workers for task, _ in worker.starts]
            kept = sum(len(worker.finished) for worker in workers)
            again = [x for each in workers for x in each.started_after_done]
            return starts, kept, again

    (starts, kept, again), failed = virtual_time.run(scenario, seed)
    assert failed == []
    assert again == []
    assert kept == 0
    assert len(set(starts)) == len(JOBS) * 6
    assert len(starts) == len(set(starts))
