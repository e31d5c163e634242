"""Tests of tasks that crash the workers that start them, in virtual time."""

import asyncio
import random
import signal

import aiohttp
import pytest

from cicadafold_standins.simulation import cell
from cicadafold_standins.simulation import virtual_time

WORKERS = 6
MEMBERS = ("n0", "n1", "n3")
# After this many crashes a task may be started less than three times more.
CRASHES = 3
LATER_STARTS = 3
STEP = {"cpu": 2000, "memMb": 64, "estimateMs": 250}


def body(tasks, deadly=None, **step):
    """Returns the body of a job with one step.

    Args:
        tasks: Number of tasks.
        deadly: Index of the task that crashes its workers, or None.
        **step: Further fields of the step.
    """
    spec = "2000" if deadly is None else f"2000 crashes {deadly}"
    return {"spec": spec, "steps": [STEP | step | {"count": tasks}]}


async def submit(fleet_cell, job_id, job):
    """Submits a job until it is accepted, at any process that is up."""
    while True:
        for member in list(fleet_cell.members.values()):
            try:
                status, _ = await fleet_cell.call(member, "POST", job_id, job)
            except (aiohttp.ClientError, TimeoutError):
                continue
            if status == 200:
                return
        await asyncio.sleep(0.1)


async def submit_others(fleet_cell, count, pause_s):
    """Submits ordinary jobs and returns their identifiers."""
    names = []
    for number in range(count):
        names.append(f"{number + 100:016x}")
        await submit(fleet_cell, names[-1], body(3))
        await asyncio.sleep(pause_s)
    return names


async def states(fleet_cell, names):
    """Returns the set of the states that the cell shows for jobs."""
    member = next(iter(fleet_cell.members.values()))
    return {
        (await fleet_cell.call(member, "GET", name))[1].get("state")
        for name in names
    }


def starts_over_budget(run_log, tasks):
    """Returns the tasks that were started too often after their crashes."""
    return [
        task
        for task in tasks
        if run_log.starts_after_crashes(task, CRASHES) >= LATER_STARTS
    ]


def play(seed, scenario, **options):
    """Runs a scenario on a cell in virtual time and returns its result."""

    async def run():
        async with cell.SimulatedCell(
            rng=random.Random(seed), workers=WORKERS, work_ms=250.0, **options
        ) as fleet_cell:
            for name in MEMBERS:
                await fleet_cell.start(name)
            return await scenario(fleet_cell)

    result, failed = virtual_time.run(run, seed)
    assert failed == []
    return result


@pytest.mark.parametrize("with_advice", (False, True))
@pytest.mark.parametrize("down_s", (1.0, 4.5))
@pytest.mark.parametrize("seed", (1, 2))
def test_task_does_not_crash_worker_after_worker(seed, down_s, with_advice):
    """Its job is given up; the jobs beside it are completed."""
    deadly = "00000000000000dd"

    async def scenario(fleet_cell):
        for each in fleet_cell.workers:
            each.down_s = down_s
        others = asyncio.create_task(submit_others(fleet_cell, 60, 0.4))
        await submit(fleet_cell, deadly, body(4, deadly=0))
        await others
        await asyncio.sleep(16.0)
        return (
            fleet_cell.run_log,
            await states(fleet_cell, [deadly]),
            await states(fleet_cell, others.result()),
        )

    run_log, shown, others = play(seed, scenario, with_advice=with_advice)
    assert starts_over_budget(run_log, [f"{deadly}.0.0.0"]) == []
    assert shown == {"failed"}
    assert others == {"completed"}
    assert run_log.crashes[f"{deadly}.0.0.0"] <= CRASHES


def test_gang_does_not_crash_worker_after_worker():
    """A member that crashes its worker counts for the whole gang."""
    deadly = "00000000000000dd"

    async def scenario(fleet_cell):
        await submit(fleet_cell, deadly, body(8, deadly=2, gang=True))
        await asyncio.sleep(20.0)
        others = asyncio.create_task(submit_others(fleet_cell, 20, 0.4))
        await others
        await asyncio.sleep(5.0)
        return (
            fleet_cell.run_log,
            await states(fleet_cell, [deadly]),
            await states(fleet_cell, others.result()),
        )

    run_log, shown, others = play(1, scenario)
    assert starts_over_budget(run_log, [f"{deadly}.0.0.2"]) == []
    assert shown == {"failed"}
    assert others == {"completed"}


@pytest.mark.parametrize("delay_s", (0.01, 0.3, 1.0, 3.0))
@pytest.mark.parametrize("seed", (1, 2))
def test_new_scheduler_does_not_forget_crashes(seed, delay_s):
    """The scheduler is killed some time after each of the first crashes."""
    deadly = "00000000000000dd"
    task = f"{deadly}.0.0.0"

    async def kill_schedulers(fleet_cell):
        for crashes in range(1, CRASHES + 1):
            while fleet_cell.run_log.crashes[task] < crashes:
                await asyncio.sleep(0.005)
            await asyncio.sleep(delay_s)
            for name, member in list(fleet_cell.members.items()):
                term = member.process.node.term
                if term is not None and term.ready:
                    await fleet_cell.stop(name, signal.SIGKILL)
                    await fleet_cell.start(name)

    async def scenario(fleet_cell):
        killer = asyncio.create_task(kill_schedulers(fleet_cell))
        await submit(fleet_cell, deadly, body(4, deadly=0))
        others = await submit_others(fleet_cell, 60, 0.4)
        await asyncio.sleep(25.0)
        killer.cancel()
        return (
            fleet_cell.run_log,
            await states(fleet_cell, [deadly]),
            await states(fleet_cell, others),
        )

    run_log, shown, others = play(seed, scenario)
    assert starts_over_budget(run_log, [task]) == []
    assert shown == {"failed"}
    assert others == {"completed"}
