"""A cell with limited links, in which large configurations are published."""

import asyncio
import random

from cicadafold_standins.simulation import bandwidth
from cicadafold_standins.simulation import cell
from cicadafold_standins.simulation import virtual_time

__all__ = [
    "BOUND_S",
    "FAR",
    "NEAR",
    "REGION_MBPS",
    "address",
    "play",
    "queue_names",
    "scheduler_of",
    "seconds_until_in_force",
]

# Regions and links as on the users' grown deployments.
NEAR = tuple(f"n{number}" for number in range(10, 14))
FAR = tuple(f"n{number}" for number in range(20, 38))
REGION_MBPS = 30.0
NARROW_MBPS = {"n34": 5.0, "n35": 5.0, "n36": 10.0, "n37": 10.0}
# A confirmed configuration must be in force within this time.
BOUND_S = 4.0
POLL_S = 0.02


def address(name):
    """Returns the address of a member."""
    return f"10.0.0.{name.strip('n')}"


def make_topology():
    """Returns a topology in which most hosts are far from the store."""
    return bandwidth.Topology(
        far_hosts=map(address, FAR),
        region_mbps=REGION_MBPS,
        host_mbps={address(n): mbps for n, mbps in NARROW_MBPS.items()},
    )


def queue_names(rng, count):
    """Returns random names of queues, which compress badly."""
    return [f"r-{rng.getrandbits(35):07x}" for _ in range(count)]


async def seconds_until_in_force(fleet_cell, version, *, longest_s=BOUND_S):
    """Waits until all members have a version, at most for some time.

    Args:
        fleet_cell: The cell.
        version: The version.
        longest_s: Longest time in seconds to wait.

    Returns:
        The seconds that each member needed, by name; members that did not
        get the version in time are left out.
    """
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    took_s = {}
    while len(took_s) < len(fleet_cell.members):
        for name, member in fleet_cell.members.items():
            if member.process.node.configuration.version >= version:
                took_s.setdefault(name, loop.time() - started_s)
        if loop.time() - started_s > longest_s:
            break
        await asyncio.sleep(POLL_S)
    return took_s


def scheduler_of(fleet_cell):
    """Returns the member that runs the scheduler."""
    return next(
        member
        for member in fleet_cell.members.values()
        if member.process.node.term is not None
    )


def play(scenario, seed):
    """Plays a scenario in a cell with limited links.

    Args:
        scenario: Coroutine function that takes the cell.
        seed: Seed of all random choices.

    Returns:
        The result of the scenario.

    Raises:
        RuntimeError: A task of the cell has failed.
    """

    async def in_cell():
        async with cell.SimulatedCell(
            rng=random.Random(seed),
            workers=3,
            work_ms=50.0,
            weak_hosts=tuple(NARROW_MBPS),
            topology=make_topology(),
        ) as fleet_cell:
            await asyncio.gather(
                *(fleet_cell.start(name) for name in NEAR + FAR)
            )
            # All links to the scheduler open within this time.
            await asyncio.sleep(2.0)
            return await scenario(fleet_cell)

    result, failed = virtual_time.run(in_cell, seed)
    assert failed == []
    return result
