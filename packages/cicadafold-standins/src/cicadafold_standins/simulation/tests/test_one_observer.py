"""Tests of a scheduler that only one process misses, in virtual time."""

import asyncio
import random
import signal

import pytest

from cicadafold_standins.simulation import cell
from cicadafold_standins.simulation.tests import test_long_recovery
from cicadafold_standins.simulation import virtual_time

STRONG = ("n10", "n11", "n12")
WEAK = ("n20", "n21", "n22", "n23")
WATCHED_S = 10.0
STALLS = 12
STALL_S = 0.4


def play(scenario, seed):
    """Plays a scenario in a cell whose successor is a weak host.

    Returns:
        The number of terms that began during the scenario.
    """

    async def in_cell():
        async with cell.SimulatedCell(
            rng=random.Random(seed), workers=3, work_ms=50.0, weak_hosts=WEAK
        ) as fleet_cell:
            for name in WEAK[:1] + STRONG + WEAK[1:]:
                await fleet_cell.start(name)
            # The weak host hands its term over.
            await asyncio.sleep(6.0)
            scheduler = fleet_cell.members[fleet_cell.serving()]
            assert scheduler.name in STRONG
            before = test_long_recovery.term_changes(fleet_cell)
            await scenario(fleet_cell, scheduler)
            return test_long_recovery.term_changes(fleet_cell) - before

    changes, failed = virtual_time.run(in_cell, seed)
    assert failed == []
    return changes


@pytest.mark.parametrize("unreached", [1, len(STRONG)])
@pytest.mark.parametrize("seed", range(1, 5))
def test_successor_that_is_cut_off_alone_does_not_end_the_term(
    seed, unreached
):
    """It had the scheduler replaced, or replaced it, although it served."""

    async def scenario(fleet_cell, scheduler):
        names = [scheduler.name, *(x for x in STRONG if x != scheduler.name)]
        successor = fleet_cell.members[WEAK[0]].process.address
        for name in names[:unreached]:
            other = fleet_cell.members[name].process.address
            fleet_cell.network.cut |= {(successor, other), (other, successor)}
        await asyncio.sleep(WATCHED_S)

    assert play(scenario, seed) == 0


@pytest.mark.parametrize("seed", range(1, 5))
def test_short_stalls_do_not_end_the_term(seed):
    """One answer that took longer than 0.25 s had the scheduler replaced."""

    async def scenario(fleet_cell, scheduler):
        rng = random.Random(seed)
        for _ in range(STALLS):
            await asyncio.sleep(rng.uniform(0.4, 0.8))
            scheduler.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(STALL_S)
            scheduler.process.send_signal(signal.SIGCONT)

    assert play(scenario, seed) == 0
