"""Tests of configurations of thousands of queues, in virtual time."""

import asyncio
import random

import pytest

from cicadafold_standins.simulation import cell
from cicadafold_standins.simulation import limited_cell

# Each change adds so many queues.
ADDED_QUEUES = 1400
CHANGES = 3


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_far_hosts_get_a_large_configuration_in_time(seed):
    """Many hosts behind one link do not keep each other from reading it."""

    async def scenario(fleet_cell):
        rng = random.Random(seed)
        names = []
        missing = []
        for change in range(CHANGES):
            names += limited_cell.queue_names(rng, ADDED_QUEUES)
            version = 2 + change
            fleet_cell.publish_configuration(version, more_queues=names)
            took_s = await limited_cell.seconds_until_in_force(
                fleet_cell, version
            )
            missing += [
                (version, name)
                for name in fleet_cell.members
                if name not in took_s
            ]
            await asyncio.sleep(rng.uniform(1.0, 4.0))
        return missing

    assert limited_cell.play(scenario, seed) == []


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_5000_queues_are_in_force_in_half_the_time(seed):
    """On all hosts; and neither a link nor the term is lost by it."""

    async def scenario(fleet_cell):
        term = limited_cell.scheduler_of(fleet_cell).process.node.term
        links = {
            name: member.process.node.scheduler_link.link
            for name, member in fleet_cell.members.items()
        }
        names = limited_cell.queue_names(random.Random(seed), 5000)
        fleet_cell.publish_configuration(2, more_queues=names)
        took_s = await limited_cell.seconds_until_in_force(fleet_cell, 2)
        await asyncio.sleep(2.0)
        kept = all(
            member.process.node.scheduler_link.link is links[name]
            for name, member in fleet_cell.members.items()
        )
        return took_s, kept and limited_cell.scheduler_of(
            fleet_cell
        ).process.node.term is term

    took_s, kept = limited_cell.play(scenario, seed)
    assert len(took_s) == len(limited_cell.NEAR + limited_cell.FAR)
    assert max(took_s.values()) < limited_cell.BOUND_S / 2
    assert kept


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_small_change_of_a_large_configuration_costs_little(seed):
    """Each far host receives the change, and not the whole."""

    async def scenario(fleet_cell):
        names = limited_cell.queue_names(random.Random(seed), 5000)
        fleet_cell.publish_configuration(2, more_queues=names)
        await limited_cell.seconds_until_in_force(fleet_cell, 2)
        await asyncio.sleep(2.0)
        link = fleet_cell.topology.between_regions[False]
        before = link.carried
        fleet_cell.publish_configuration(3, more_queues=names[1:])
        took_s = await limited_cell.seconds_until_in_force(fleet_cell, 3)
        near = limited_cell.scheduler_of(fleet_cell).name in limited_cell.NEAR
        return took_s, (link.carried - before) / len(limited_cell.FAR), near

    took_s, bytes_per_host, near = limited_cell.play(scenario, seed)
    assert len(took_s) == len(limited_cell.NEAR + limited_cell.FAR)
    # A scheduler far from the store reads the whole over the link.
    assert not near or bytes_per_host < 5000


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_configuration_arrives_while_the_scheduler_is_replaced(seed):
    """Its process is killed when the configuration is published."""

    async def scenario(fleet_cell):
        names = limited_cell.queue_names(random.Random(seed), 2800)
        fleet_cell.publish_configuration(2, more_queues=names)
        fleet_cell.members.pop(
            limited_cell.scheduler_of(fleet_cell).name
        ).process.kill()
        return await limited_cell.seconds_until_in_force(fleet_cell, 2)

    took_s = limited_cell.play(scenario, seed)
    assert len(took_s) == len(limited_cell.NEAR + limited_cell.FAR) - 1


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_hosts_cut_off_from_the_store_get_a_large_configuration(seed):
    """As long as they reach the scheduler, or it them."""

    async def scenario(fleet_cell):
        store = cell.STORE_ADDRESS.partition(":")[0]
        scheduler = limited_cell.scheduler_of(fleet_cell).process.address
        network = fleet_cell.network
        others = [
            limited_cell.address(name)
            for name in limited_cell.FAR
            if limited_cell.address(name) != scheduler
        ]
        network.cut |= {(host, store) for host in others[::2]}
        network.cut |= {(host, scheduler) for host in others[1::2]}
        names = limited_cell.queue_names(random.Random(seed), 2800)
        fleet_cell.publish_configuration(2, more_queues=names)
        return await limited_cell.seconds_until_in_force(fleet_cell, 2)

    took_s = limited_cell.play(scenario, seed)
    assert len(took_s) == len(limited_cell.NEAR + limited_cell.FAR)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_all_processes_start_with_a_large_configuration(seed):
    """They do not keep each other from reading it after a loss of power."""

    async def scenario(fleet_cell):
        names = limited_cell.queue_names(random.Random(seed), 5000)
        fleet_cell.publish_configuration(2, more_queues=names)
        await limited_cell.seconds_until_in_force(fleet_cell, 2)
        for member in list(fleet_cell.members):
            fleet_cell.members.pop(member).process.kill()
        await asyncio.sleep(0.5)
        for name in limited_cell.NEAR + limited_cell.FAR:
            asyncio.create_task(fleet_cell.start(name))
        await asyncio.sleep(0.05)
        return await limited_cell.seconds_until_in_force(fleet_cell, 2)

    took_s = limited_cell.play(scenario, seed)
    assert len(took_s) == len(limited_cell.NEAR + limited_cell.FAR)
