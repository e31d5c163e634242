"""Tests of a cell that is split in two, in virtual time."""

import asyncio
import random

import pytest

from cicadafold.election import loss
from cicadafold_standins.simulation import cell
from cicadafold_standins.simulation.tests import test_replaced_scheduler
from cicadafold_standins.simulation import virtual_time

WORK_MS = 15000.0
STEP = {"count": 2, "cpu": 1000, "memMb": 64, "estimateMs": 15000}
BODY = {"spec": "x", "steps": [STEP]}
JOBS = 10
CUT_S = 10.0


@pytest.mark.parametrize("store_lost_s", [1.0, 2.6])
@pytest.mark.parametrize("seed", range(1, 4))
def test_host_that_was_never_linked_may_claim_the_next_term(
    seed, store_lost_s
):
    """It was no witness, and took the leases of the others as lapsed."""

    async def scenario():
        async with cell.SimulatedCell(
            rng=random.Random(seed), workers=4, work_ms=WORK_MS, weak_hosts=()
        ) as fleet_cell:
            network = fleet_cell.network
            for name in test_replaced_scheduler.MEMBERS:
                await fleet_cell.start(name)
            wait = test_replaced_scheduler.wait_for_scheduler
            first = await wait(fleet_cell)
            await asyncio.sleep(3.0)
            split = [
                fleet_cell.members[name].process.address
                for name in test_replaced_scheduler.MEMBERS
                if name != first
            ]
            alone = fleet_cell.members[first].process.address
            host_of = test_replaced_scheduler.host_of
            hosts = [host_of(each.address) for each in fleet_cell.workers]
            # The next term starts while the last scheduler's host is cut off
            # from the other two, which later lose the store.
            network.cut |= {(alone, host) for host in split}
            term = fleet_cell.members[first].process.node.term
            successor = next(
                member.process.node
                for name, member in fleet_cell.members.items()
                if name != first
            )
            await successor.candidate.claim(
                after=term.number, reason=loss.LossReason.NO_ANSWER
            )
            await asyncio.sleep(0.5)
            for number in range(JOBS):
                member = fleet_cell.members[successor.settings.member]
                await fleet_cell.call(member, "POST", f"{number:016x}", BODY)
            await asyncio.sleep(store_lost_s - 0.5)
            store = host_of(cell.STORE_ADDRESS)
            network.cut |= {(host, store) for host in split}
            network.cut |= {(alone, host) for host in hosts[:2]}
            network.cut |= {
                (host, other) for host in split for other in hosts[2:]
            }
            return await test_replaced_scheduler.find_duplicate_runs(
                fleet_cell, CUT_S
            )

    found, failed = virtual_time.run(scenario, seed)
    assert failed == []
    assert found == set()
