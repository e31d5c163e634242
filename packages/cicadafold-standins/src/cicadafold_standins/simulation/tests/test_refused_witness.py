"""Tests of a host whose process is restarted while it is cut off."""

import asyncio
import random
import signal

import pytest

from cicadafold_standins.simulation import cell
from cicadafold_standins.simulation.tests import test_replaced_scheduler
from cicadafold_standins.simulation import virtual_time

WORK_MS = 30000.0
STEP = {"count": 2, "cpu": 1000, "memMb": 64, "estimateMs": 30000}
BODY = {"spec": "x", "steps": [STEP]}
JOBS = 8
# Long enough for a claim, the lapse of all leases and new starts.
SPLIT_S = 14.0
WATCHED_S = 6.0


@pytest.mark.parametrize("seed", range(1, 5))
def test_process_that_ended_while_cut_off_proves_nothing(seed):
    """Its port refused the question, while its successor had claimed."""

    async def scenario():
        async with cell.SimulatedCell(
            rng=random.Random(seed), workers=4, work_ms=WORK_MS, weak_hosts=()
        ) as fleet_cell:
            cut = fleet_cell.network.cut
            for name in test_replaced_scheduler.MEMBERS:
                await fleet_cell.start(name)
            wait = test_replaced_scheduler.wait_for_scheduler
            old = await wait(fleet_cell)
            await asyncio.sleep(3.0)
            for number in range(JOBS):
                member = fleet_cell.members[old]
                await fleet_cell.call(member, "POST", f"{number:016x}", BODY)
            await asyncio.sleep(1.0)
            restarted = next(
                name for name in test_replaced_scheduler.MEMBERS if name != old
            )
            alone = fleet_cell.members[restarted].process.address
            split = [
                member.process.address
                for name, member in fleet_cell.members.items()
                if name != restarted
            ]
            host_of = test_replaced_scheduler.host_of
            hosts = [host_of(each.address) for each in fleet_cell.workers]
            apart = {(alone, host) for host in split}
            cut |= apart
            cut |= {(host, host_of(cell.STORE_ADDRESS)) for host in split}
            cut |= {(alone, host) for host in hosts[:2]}
            cut |= {(host, other) for host in split for other in hosts[2:]}
            await fleet_cell.stop(restarted, signal.SIGKILL)
            await fleet_cell.start(restarted)
            await asyncio.sleep(SPLIT_S)
            claimed = fleet_cell.members[restarted].process.node.term
            cut -= apart
            found = await test_replaced_scheduler.find_duplicate_runs(
                fleet_cell, WATCHED_S
            )
            return found, claimed is not None

    (found, claimed), failed = virtual_time.run(scenario, seed)
    assert failed == []
    assert claimed
    assert found == set()
