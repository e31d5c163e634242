"""Tests of jumps of the time of day, in virtual time."""

import asyncio
import random

import pytest

from cicadafold_standins.simulation import cell
from cicadafold_standins.simulation import virtual_time

STEP_MS = 2400.0
# The scheduler reads the journal at least this often.
READ_PERIOD_MS = 400.0
JOBS = 30
STEP = {"count": 1, "cpu": 500, "memMb": 16, "estimateMs": 50}
BODY = {"spec": "50", "steps": [STEP]}


@pytest.mark.parametrize("sign", [-1, 1])
@pytest.mark.parametrize("jumping", ["scheduler", "others"])
def test_no_job_looks_late_after_a_jump(sign, jumping):
    """The time of day jumps and jumps back; leases and ages do not follow."""

    async def scenario():
        async with cell.SimulatedCell(
            rng=random.Random(1), workers=3, work_ms=50.0
        ) as fleet_cell:
            for name in ("n1", "n3", "n4"):
                await fleet_cell.start(name)
            await asyncio.sleep(2.0)
            members = fleet_cell.members.values()
            (scheduler,) = [m for m in members if m.process.node.term]
            for member in members:
                if (member is scheduler) == (jumping == "scheduler"):
                    member.process.host.wall_offset_ms += sign * STEP_MS
            early_ms = []
            loop = asyncio.get_running_loop()
            for number in range(1, JOBS + 1):
                job = f"{number:016x}"
                sender = list(members)[number % 3]
                sent_ms = loop.time() * 1000.0
                status, _ = await fleet_cell.call(sender, "POST", job, BODY)
                assert status == 200
                await asyncio.sleep(0.02)
                table = scheduler.process.node.term.job_table
                arrived_ms = table.jobs[job].arrived_ms
                early_ms.append(sent_ms - arrived_ms)
                if number == JOBS // 2:
                    for member in members:
                        member.process.host.wall_offset_ms = 0.0
            for number in range(1, JOBS + 1):
                await fleet_cell.wait_for_state(
                    scheduler, f"{number:016x}", "completed"
                )
            starts = sum(len(w.starts) for w in fleet_cell.workers)
            overfilled = [w.name for w in fleet_cell.workers if w.overfilled]
            return early_ms, starts, overfilled

    (early_ms, starts, overfilled), failed = virtual_time.run(scenario, 1)
    assert failed == []
    assert max(early_ms) < READ_PERIOD_MS
    assert starts == JOBS
    assert overfilled == []
