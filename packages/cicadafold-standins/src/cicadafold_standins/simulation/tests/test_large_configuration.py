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


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_5000_queues_are_in_force_in_half_the_time(seed):
    """On all hosts; and neither a link nor the term is lost by it."""

    async def scenario(fleet_cell):
        term = scheduler_of(fleet_cell).process.node.term
        links = {
            name: member.process.node.scheduler_link.link
            for name, member in fleet_cell.members.items()
        }
        names = queue_names(random.Random(seed), 5000)
        fleet_cell.publish_configuration(2, more_queues=names)
        took_s = await seconds_until_in_force(fleet_cell, 2)
        await asyncio.sleep(2.0)
        kept = all(
            member.process.node.scheduler_link.link is links[name]
            for name, member in fleet_cell.members.items()
        )
        return took_s, kept and scheduler_of(
            fleet_cell
        ).process.node.term is term

    took_s, kept = play(scenario, seed)
    assert len(took_s) == len(NEAR + FAR)
    assert max(took_s.values()) < BOUND_S / 2
    assert kept


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_small_change_of_a_large_configuration_costs_little(seed):
    """Each far host receives the change, and not the whole."""

    async def scenario(fleet_cell):
        names = queue_names(random.Random(seed), 5000)
        fleet_cell.publish_configuration(2, more_queues=names)
        await seconds_until_in_force(fleet_cell, 2)
        await asyncio.sleep(2.0)
        link = fleet_cell.topology.between_regions[False]
        before = link.carried
        fleet_cell.publish_configuration(3, more_queues=names[1:])
        took_s = await seconds_until_in_force(fleet_cell, 3)
        near = scheduler_of(fleet_cell).name in NEAR
        return took_s, (link.carried - before) / len(FAR), near

    took_s, bytes_per_host, near = play(scenario, seed)
    assert len(took_s) == len(NEAR + FAR)
    # A scheduler far from the store reads the whole over the link.
    assert not near or bytes_per_host < 5000


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_configuration_arrives_while_the_scheduler_is_replaced(seed):
    """Its process is killed when the configuration is published."""

    async def scenario(fleet_cell):
        names = queue_names(random.Random(seed), 2800)
        fleet_cell.publish_configuration(2, more_queues=names)
        fleet_cell.members.pop(scheduler_of(fleet_cell).name).process.kill()
        return await seconds_until_in_force(fleet_cell, 2)

    took_s = play(scenario, seed)
    assert len(took_s) == len(NEAR + FAR) - 1


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_hosts_cut_off_from_the_store_get_a_large_configuration(seed):
    """As long as they reach the scheduler, or it them."""

    async def scenario(fleet_cell):
        store = cell.STORE_ADDRESS.partition(":")[0]
        scheduler = scheduler_of(fleet_cell).process.address
        network = fleet_cell.network
        others = [address(name) for name in FAR if address(name) != scheduler]
        network.cut |= {(host, store) for host in others[::2]}
        network.cut |= {(host, scheduler) for host in others[1::2]}
        names = queue_names(random.Random(seed), 2800)
        fleet_cell.publish_configuration(2, more_queues=names)
        return await seconds_until_in_force(fleet_cell, 2)

    took_s = play(scenario, seed)
    assert len(took_s) == len(NEAR + FAR)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_all_processes_start_with_a_large_configuration(seed):
    """They do not keep each other from reading it after a loss of power."""

    async def scenario(fleet_cell):
        names = queue_names(random.Random(seed), 5000)
        fleet_cell.publish_configuration(2, more_queues=names)
        await seconds_until_in_force(fleet_cell, 2)
        for member in list(fleet_cell.members):
            fleet_cell.members.pop(member).process.kill()
        await asyncio.sleep(0.5)
        for name in NEAR + FAR:
            asyncio.create_task(fleet_cell.start(name))
        await asyncio.sleep(0.05)
        return await seconds_until_in_force(fleet_cell, 2)

    took_s = play(scenario, seed)
    assert len(took_s) == len(NEAR + FAR)
