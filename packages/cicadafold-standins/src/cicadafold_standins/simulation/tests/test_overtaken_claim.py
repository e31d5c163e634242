"""Tests of a claim that is read together with a later one."""

import asyncio
import random

import msgspec
import pytest

from cicadafold.election import terms
from cicadafold_standins.simulation import cell
from cicadafold_standins.simulation.tests import test_replaced_scheduler
from cicadafold_standins.simulation import virtual_time

WATCHED_S = 1.0
CHECK_INTERVAL_S = 0.0005


@pytest.mark.parametrize("seed", range(1, 4))
def test_term_is_not_proved_by_a_process_that_knows_a_later_one(seed):
    """Both claims were in one page, so nobody ended the earlier term."""

    async def scenario():
        async with cell.SimulatedCell(
            rng=random.Random(seed), workers=2, work_ms=100.0, weak_hosts=()
        ) as fleet_cell:
            for name in test_replaced_scheduler.MEMBERS:
                await fleet_cell.start(name)
            old = await test_replaced_scheduler.wait_for_scheduler(fleet_cell)
            await asyncio.sleep(2.0)
            claimers = [
                fleet_cell.members[name].process.node
                for name in test_replaced_scheduler.MEMBERS
                if name != old
            ]
            for node in claimers:
                claim = terms.Claim(
                    member=node.member, address=node.settings.peer_address
                )
                fleet_cell.store.put(
                    terms.CONTROL_TOPIC, terms.KEY, msgspec.json.encode(claim)
                )
            found = set()
            loop = asyncio.get_running_loop()
            end_s = loop.time() + WATCHED_S
            while loop.time() < end_s:
                await asyncio.sleep(CHECK_INTERVAL_S)
                for node in claimers:
                    term = node.term
                    if term is None or term.ended.is_set():
                        continue
                    if term.proof.valid():
                        newest = node.claims.newest_term()
                        if term.number < newest:
                            found.add((term.number, newest))
            return found

    found, failed = virtual_time.run(scenario, seed)
    assert failed == []
    assert found == set()
