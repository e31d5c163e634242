"""Tests of unexpected errors in the loops of a term, in virtual time."""

import asyncio
import random

import pytest

from cicadafold.dispatch import admission
from cicadafold.dispatch import pacing
from cicadafold.dispatch import record_cleanup
from cicadafold.dispatch import registry_tail
from cicadafold.dispatch import watching
from cicadafold.dispatch import worker_table
from cicadafold.journal import reader
from cicadafold_standins.simulation import cell
from cicadafold_standins.simulation.tests import test_replaced_scheduler
from cicadafold_standins.simulation import virtual_time

STEP = {"count": 2, "cpu": 1000, "memMb": 64, "estimateMs": 100}
BODY = {"spec": "x", "steps": [STEP]}
JOBS = 4
# A function of each loop, and how many of its calls fail.
FAILING = {
    "admission": (admission.Admission, "announce", 5),
    "cleanup": (record_cleanup.RecordCleaner, "drop_ends", 2),
    "intake": (reader.JobsTail, "record_progress", 20),
    "lapses": (worker_table.WorkerTable, "remove_lapsed", 5),
    "opening": (worker_table.WorkerTable, "record_workers", 3),
    "pacing": (pacing.Pacer, "pace_worker", 4),
    "registry": (registry_tail.RegistryTail, "apply", 3),
    "speeds": (watching.Watcher, "update_speeds", 8),
}


def fail_at_first(monkeypatch, owner, name, count):
    """Lets the first calls of a method fail, and returns the failures.

    Args:
        monkeypatch: Fixture.
        owner: Class of the method.
        name: Name of the method.
        count: Number of calls that fail.
    """
    original = getattr(owner, name)
    failures = []

    def call(*arguments, **keywords):
        if len(failures) < count:
            failures.append(name)
            raise KeyError("pool")
        return original(*arguments, **keywords)

    monkeypatch.setattr(owner, name, call)
    return failures


@pytest.mark.parametrize("name", sorted(FAILING))
def test_loop_that_fails_goes_on_and_does_not_end_the_term(monkeypatch, name):
    """One error in any loop of a term ended the term for all jobs."""

    async def scenario():
        async with cell.SimulatedCell(
            rng=random.Random(1), workers=3, work_ms=100.0, weak_hosts=()
        ) as fleet_cell:
            failures = fail_at_first(monkeypatch, *FAILING[name])
            for member in test_replaced_scheduler.MEMBERS:
                await fleet_cell.start(member)
            await test_replaced_scheduler.wait_for_scheduler(fleet_cell)
            await asyncio.sleep(5.0)
            states = []
            for number in range(JOBS):
                member = fleet_cell.members["n0"]
                await fleet_cell.call(member, "POST", f"{number:016x}", BODY)
            await asyncio.sleep(5.0)
            for number in range(JOBS):
                _, answer = await fleet_cell.call(
                    member, "GET", f"{number:016x}"
                )
                states.append(answer["state"])
            terms = fleet_cell.store.partition("keyed.control", 0).end
            contained = sum(
                count
                for process in fleet_cell.processes
                if process.node is not None
                for (
                    metric,
                    _,
                ), count in process.node.metrics.counters.items()
                if metric == "errors_contained"
            )
            return failures, states, terms, contained

    (failures, states, terms, contained), _ = virtual_time.run(scenario, 1)
    assert len(failures) == FAILING[name][2]
    assert states == ["completed"] * JOBS
    assert terms == 1
    assert contained == len(failures)
