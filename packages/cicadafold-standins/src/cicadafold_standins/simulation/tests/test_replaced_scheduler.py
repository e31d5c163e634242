"""Tests of a scheduler that is replaced without noticing, in virtual time."""

import asyncio
import random

import pytest

from cicadafold_standins.simulation import cell
from cicadafold_standins.simulation import virtual_time

MEMBERS = ("n0", "n1", "n2")
WORK_MS = 9000.0
STEP = {"count": 2, "cpu": 1000, "memMb": 64, "estimateMs": 9000}
BODY = {"spec": "x", "steps": [STEP]}
JOBS = 20
# Time between the loss of the peers and that of the store, so that the
# scheduler cannot hand its term over.
PEERS_LOST_S = 1.6
CUT_S = 14.0
CHECK_INTERVAL_S = 0.01


def host_of(address):
    """Returns the host of an address of the simulated network."""
    return address.partition(":")[0]


async def wait_for_scheduler(fleet_cell):
    """Waits until a process serves a term and returns its name."""
    async with asyncio.timeout(10.0):
        while (name := fleet_cell.serving()) is None:
            await asyncio.sleep(0.05)
    return name


async def isolate(fleet_cell, scheduler, *, reaches_other_workers):
    """Cuts the scheduler off; only it reaches the first worker from now on.

    Args:
        fleet_cell: The cell.
        scheduler: Name of the process that is cut off from its peers and,
            later, from the store.
        reaches_other_workers: Whether it still reaches the other workers, at
            which it meets the fence of a later term.
    """
    source = fleet_cell.members[scheduler].process.address
    peers = [
        fleet_cell.members[name].process.address
        for name in MEMBERS
        if name != scheduler
    ]
    first, *others = (host_of(each.address) for each in fleet_cell.workers)
    cut = fleet_cell.network.cut
    cut |= {(source, peer) for peer in peers}
    await asyncio.sleep(PEERS_LOST_S)
    cut |= {(source, host_of(cell.STORE_ADDRESS))}
    cut |= {(peer, first) for peer in peers}
    if not reaches_other_workers:
        cut |= {(source, other) for other in others}


async def find_duplicate_runs(fleet_cell, seconds):
    """Returns the tasks that are seen to run on two workers at once."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + seconds
    found = set()
    while loop.time() < end_s:
        await asyncio.sleep(CHECK_INTERVAL_S)
        running = [
            task for each in fleet_cell.workers for task in each.running
        ]
        found |= {task for task in running if running.count(task) > 1}
    return found


@pytest.mark.parametrize("reaches_other_workers", [False, True])
@pytest.mark.parametrize("seed", range(1, 5))
def test_no_task_runs_twice_while_a_replaced_scheduler_extends_leases(
    seed, reaches_other_workers
):
    """Its successor took the leases of an unreachable worker as lapsed."""

    async def scenario():
        async with cell.SimulatedCell(
            rng=random.Random(seed),
            workers=4,
            work_ms=WORK_MS,
            weak_hosts=(),
        ) as fleet_cell:
            for name in MEMBERS:
                await fleet_cell.start(name)
            old = await wait_for_scheduler(fleet_cell)
            await asyncio.sleep(2.0)
            for number in range(JOBS):
                member = fleet_cell.members[MEMBERS[number % len(MEMBERS)]]
                await fleet_cell.call(member, "POST", f"{number:016x}", BODY)
            await asyncio.sleep(1.0)
            assert fleet_cell.workers[0].running
            await isolate(
                fleet_cell, old, reaches_other_workers=reaches_other_workers
            )
            found = await find_duplicate_runs(fleet_cell, CUT_S)
            replaced = any(
                fleet_cell.members[name].process.node.term is not None
                for name in MEMBERS
                if name != old
            )
            again = [each.started_after_done for each in fleet_cell.workers]
            return found, sum(again, []), replaced

    (found, again, replaced), failed = virtual_time.run(scenario, seed)
    assert failed == []
    assert replaced
    assert found == set()
    assert again == []
