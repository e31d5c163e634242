"""Tests of what callers get while the store is slow, in virtual time."""

import asyncio
import random

import pytest

from cicadafold_standins.simulation import cell
from cicadafold_standins.simulation import virtual_time

MEMBERS = 16
# Appends of a healthy store take 4 ms; the users' pages name a factor of 66.
SLOW_APPEND_S = 0.264
SLOW_S = 4.6
JOBS_PER_S = 40
# Callers wait this long for an answer.
CALLER_TIMEOUT_S = 3.0
STEP = {"count": 1, "cpu": 500, "memMb": 16, "estimateMs": 50}
BODY = {"spec": "50", "steps": [STEP]}


class Callers:
    """Callers that submit jobs at a constant rate to all processes in turn.

    Attributes:
        answers: Status of each answer and its delay in seconds; status 0 if
            none came in time.
    """

    def __init__(self, fleet_cell):
        self.cell = fleet_cell
        self.answers = []

    async def submit(self, number):
        """Submits one job and records the answer."""
        members = sorted(self.cell.members)
        member = self.cell.members[members[number % len(members)]]
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        status = 0
        try:
            async with asyncio.timeout(CALLER_TIMEOUT_S):
                status, _ = await self.cell.call(
                    member, "POST", f"{number:016x}", BODY
                )
        except TimeoutError:
            pass
        self.answers.append((status, loop.time() - started_s))

    async def run(self, seconds):
        """Submits jobs for some time and waits for all answers."""
        async with asyncio.TaskGroup() as group:
            for number in range(1, int(seconds * JOBS_PER_S) + 1):
                group.create_task(self.submit(number))
                await asyncio.sleep(1.0 / JOBS_PER_S)


def play(scenario, seed):
    """Plays a scenario in a cell of ``MEMBERS`` processes.

    Returns:
        The result of the scenario.
    """

    async def in_cell():
        rng = random.Random(seed)
        async with cell.SimulatedCell(
            rng=rng, workers=8, work_ms=50.0
        ) as fleet_cell:
            await asyncio.gather(
                *(fleet_cell.start(f"n{i}") for i in range(10, 10 + MEMBERS))
            )
            # All links to the scheduler open within this time.
            await asyncio.sleep(2.0)
            return await scenario(fleet_cell)

    result, failed = virtual_time.run(in_cell, seed)
    assert failed == []
    return result


def terms_of(fleet_cell):
    """Returns the newest term that any process knows."""
    return max(
        process.node.claims.newest.term for process in fleet_cell.processes
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_jobs_are_accepted_while_the_store_is_slow(seed):
    """Callers get their jobs accepted in time, under one and the same term."""

    async def scenario(fleet_cell):
        term = terms_of(fleet_cell)
        fleet_cell.store.append_delay_s = SLOW_APPEND_S
        fleet_cell.store.answer_delay_s = SLOW_APPEND_S
        callers = Callers(fleet_cell)
        await callers.run(SLOW_S)
        assert terms_of(fleet_cell) == term
        return callers.answers

    answers = play(scenario, seed)
    accepted = [delay_s for status, delay_s in answers if status == 200]
    assert len(accepted) >= 0.95 * len(answers)
    assert sorted(accepted)[len(accepted) // 2] < 1.2


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_lost_scheduler_is_replaced_while_the_store_is_slow(seed):
    """One process claims, so that the claim is not behind those of others."""

    async def scenario(fleet_cell):
        fleet_cell.store.append_delay_s = SLOW_APPEND_S
        fleet_cell.store.answer_delay_s = SLOW_APPEND_S
        await asyncio.sleep(1.5)
        loop = asyncio.get_running_loop()
        claims = fleet_cell.store.partition("keyed.control", 0)
        appends_before = claims.appends
        scheduler = next(
            member
            for member in fleet_cell.members.values()
            if member.process.node.term is not None
        )
        fleet_cell.members.pop(scheduler.name).process.kill()
        killed_s = loop.time()
        async with asyncio.timeout(20.0):
            while not any(
                member.process.node.term is not None
                and member.process.node.term.ready
                for member in fleet_cell.members.values()
            ):
                await asyncio.sleep(0.02)
        return loop.time() - killed_s, claims.appends - appends_before

    took_s, appends = play(scenario, seed)
    assert appends <= 3
    # Two reads and one append for the claim, and as many for the recovery.
    assert took_s < 1.0 + 8 * SLOW_APPEND_S
