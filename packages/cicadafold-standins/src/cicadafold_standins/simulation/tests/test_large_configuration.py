"""Tests of configurations of thousands of queues, in virtual time."""

import asyncio
import random

import pytest

from cicadafold_standins.simulation import bandwidth
from cicadafold_standins.simulation import cell
from cicadafold_standins.simulation import virtual_time

# Regions and links as on the users' grown deployments.
NEAR = tuple(f"n{number}" for number in range(10, 14))
FAR = tuple(f"n{number}" for number in range(20, 38))
REGION_MBPS = 30.0
NARROW_MBPS = {"n34": 5.0, "n35": 5.0, "n36": 10.0, "n37": 10.0}
# A confirmed configuration must be in force within this time.
BOUND_S = 4.0
# Each change adds so many queues.
ADDED_QUEUES = 1400
CHANGES = 3
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


async def seconds_until_in_force(fleet_cell, version):
    """Waits until all members have a version, at most for ``BOUND_S``.

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
        if loop.time() - started_s > BOUND_S:
            break
        await asyncio.sleep(POLL_S)
    return took_s


def play(scenario, seed):
    """Plays a scenario in a cell with limited links.

    Returns:
        The result of the scenario.
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


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_far_hosts_get_a_large_configuration_in_time(seed):
    """Many hosts behind one link do not keep each other from reading it."""

    async def scenario(fleet_cell):
        rng = random.Random(seed)
        names = []
        missing = []
        for change in range(CHANGES):
            names += queue_names(rng, ADDED_QUEUES)
            version = 2 + change
            fleet_cell.publish_configuration(version, more_queues=names)
            took_s = await seconds_until_in_force(fleet_cell, version)
            missing += [
                (version, name)
                for name in fleet_cell.members
                if name not in took_s
            ]
            await asyncio.sleep(rng.uniform(1.0, 4.0))
        return missing

    assert play(scenario, seed) == []
