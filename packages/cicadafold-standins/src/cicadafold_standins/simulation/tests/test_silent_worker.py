"""Tests of one silent worker while terms change, in virtual time."""

import asyncio
import http
import random
import signal

import aiohttp
import pytest

from cicadafold.dispatch import leases
from cicadafold.dispatch import placing
from cicadafold.dispatch import runs
from cicadafold.dispatch import worker_table
from cicadafold_standins.simulation import cell
from cicadafold_standins.simulation import network
from cicadafold_standins.simulation.tests import test_replaced_scheduler
from cicadafold_standins.simulation import virtual_time

MEMBERS = ("n0", "n1", "n2")
MANY_MEMBERS = tuple(f"n{number}" for number in range(8))
RESTARTED = tuple(f"n{number}" for number in range(8, 13))
ALL_MEMBERS = MANY_MEMBERS + RESTARTED
WORKERS = 8
WORK_MS = 9000.0
STEP = {"count": 1, "cpu": 1000, "memMb": 64, "estimateMs": 9000}
BODY = {"spec": "x", "steps": [STEP]}
SUBMIT_PERIOD_S = 0.1
KILLS = len(RESTARTED)
KILL_PERIOD_S = 4.0
# Too short for the record that a worker is silent.
SILENT_S = 0.3
FROZEN_S = 0.2
HELD_JOBS = 3
# Too short to fill the first worker, which therefore gets tasks up to the cut.
LOADED_S = 1.2
REACHED_S = 1.0
# Longer than the worker is reached, so that its return is not recorded.
SLOW_APPEND_S = 2.0
CHECK_PERIOD_S = 0.01
NEW_JOB_BOUND_S = 1.0
LEASES = leases.LeaseTimes(max_lease_ms=cell.LONGEST_LEASE_MS)
HORIZON_S = (
    LEASES.horizon_ms * runs.SLOW_CLOCK_FACTOR + runs.LEASE_MARGIN_MS
) / 1000.0
# Time from the end of a wait to the start of a task: the period of placement
# and two slow messages of the simulated network.
PLACING_S = placing.IDLE_PASS_S + 2 * network.LONG_DELAY_S[1]


class Series:
    """A series of killed schedulers while jobs are submitted.

    Args:
        fleet_cell: The cell.
        group: Task group that runs the submissions.

    Attributes:
        accepted_s: Event loop time by identifier of an accepted job.
        started_s: Event loop time of the first start by identifier of a job.
        recovered_s: Event loop times at which terms had recovered.
        claimed_s: Event loop times at which terms were claimed.
        killed_s: Event loop times at which schedulers were killed.
        twice: Tasks that ran on two workers at once.
        held: Identifiers of jobs that were accepted while no scheduler ran.
    """

    def __init__(self, fleet_cell, group):
        self.cell = fleet_cell
        self.group = group
        self.accepted_s = {}
        self.started_s = {}
        self.recovered_s = []
        self.claimed_s = []
        self.killed_s = []
        self.twice = set()
        self.held = []
        self.number = 0

    async def submit(self, member):
        """Submits one job to a member and returns it once it is accepted."""
        self.number += 1
        job = f"{self.number:016x}"
        status, *_ = await self.cell.call(member, "POST", job, BODY)
        if status < http.HTTPStatus.MULTIPLE_CHOICES:
            self.accepted_s[job] = asyncio.get_running_loop().time()
        return job

    async def submit_repeatedly(self):
        """Submits jobs all the time, each to another member."""
        while True:
            members = list(self.cell.members.values())
            member = members[self.number % len(members)]
            self.group.create_task(self.submit_safely(member))
            await asyncio.sleep(SUBMIT_PERIOD_S)

    async def submit_safely(self, member):
        """Submits a job to a member that may be killed meanwhile."""
        try:
            async with asyncio.timeout(3.0):
                await self.submit(member)
        except (aiohttp.ClientError, OSError, TimeoutError):
            return

    async def watch(self):
        """Notes claims, recovered terms, starts and duplicate runs."""
        loop = asyncio.get_running_loop()
        claims = self.cell.store.partition("keyed.control", 0)
        end, serving = claims.end, self.cell.serving()
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            now_s = loop.time()
            if claims.end != end:
                end = claims.end
                self.claimed_s.append(now_s)
            if self.cell.serving() != serving:
                serving = self.cell.serving()
                if serving is not None:
                    self.recovered_s.append(now_s)
            running = [
                task for each in self.cell.workers for task in each.running
            ]
            self.twice |= {x for x in running if running.count(x) > 1}
            for task in running:
                self.started_s.setdefault(task.partition(".")[0], now_s)

    async def run(self, returns, append_s):
        """Cuts a worker off and kills the scheduler again and again.

        Args:
            returns: Whether the worker is reached for a while between two
                kills.
            append_s: Seconds that an append of the store takes then.
        """
        store, usual_s = self.cell.store, self.cell.store.append_delay_s
        silent = test_replaced_scheduler.host_of(self.cell.workers[0].address)
        pairs = {
            (f"10.0.0.{number}", silent) for number in range(len(ALL_MEMBERS))
        }
        self.cell.network.cut |= pairs
        await asyncio.sleep(SILENT_S)
        old = self.cell.serving()
        self.cell.members[old].process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(FROZEN_S / 2)
        other = next(x for x in self.cell.members.values() if x.name != old)
        for _ in range(HELD_JOBS):
            self.held.append(await self.submit(other))
        for number in range(KILLS):
            loop = asyncio.get_running_loop()
            self.killed_s.append(loop.time())
            next_s = loop.time() + KILL_PERIOD_S
            await self.cell.stop(self.cell.serving() or old, signal.SIGKILL)
            await self.cell.start(RESTARTED[number])
            if returns:
                cut_s = next_s - SILENT_S
                await asyncio.sleep(cut_s - REACHED_S - loop.time())
                store.append_delay_s = append_s or usual_s
                self.cell.network.cut -= pairs
                await asyncio.sleep(cut_s - loop.time())
                self.cell.network.cut |= pairs
            await asyncio.sleep(next_s - loop.time())
            store.append_delay_s = usual_s


def play(seed, *, returns=False, append_s=0.0, members=MEMBERS, weak=()):
    """Plays a series in virtual time and returns it.

    Args:
        seed: Seed of the schedule.
        returns: Whether the silent worker returns between two kills.
        append_s: Seconds that an append of the store takes then.
        members: Names of the processes that are started first.
        weak: Names of those on hosts that seldom claim a term.
    """

    async def scenario():
        async with cell.SimulatedCell(
            rng=random.Random(seed),
            workers=WORKERS,
            work_ms=WORK_MS,
            weak_hosts=weak,
        ) as fleet_cell:
            for name in members:
                await fleet_cell.start(name)
            await test_replaced_scheduler.wait_for_scheduler(fleet_cell)
            await asyncio.sleep(2.0)
            async with asyncio.TaskGroup() as group:
                series = Series(fleet_cell, group)
                tasks = [
                    group.create_task(series.watch()),
                    group.create_task(series.submit_repeatedly()),
                ]
                await asyncio.sleep(LOADED_S)
                assert fleet_cell.workers[0].running
                await series.run(returns, append_s)
                for task in tasks:
                    task.cancel()
            return series

    series, failed = virtual_time.run(scenario, seed)
    assert failed == []
    assert len(series.claimed_s) >= KILLS
    return series


def new_job_waits(series):
    """Returns the time to the first start of a new job, for each term.

    A term without such a start has an infinite one.
    """
    waits = []
    for recovered_s in series.recovered_s:
        started = [
            at_s
            for job, at_s in series.started_s.items()
            if series.accepted_s.get(job, 0.0) > recovered_s
        ]
        waits.append(min(started, default=float("inf")) - recovered_s)
    return waits


@pytest.mark.parametrize("seed", range(1, 5))
def test_new_jobs_start_while_a_worker_is_silent(seed):
    """They waited for the silent worker, anew after each change."""
    series = play(seed)
    waits = new_job_waits(series)
    assert len(waits) >= KILLS
    assert max(waits) <= NEW_JOB_BOUND_S


def waits_of_held_jobs(series):
    """Returns the time from the first claim to the start of each held job."""
    assert len(series.held) == HELD_JOBS
    return [
        series.started_s.get(job, float("inf")) - series.claimed_s[0]
        for job in series.held
    ]


@pytest.mark.parametrize("seed", range(1, 5))
def test_wait_for_a_silent_worker_survives_changes(seed):
    """Each change began the wait of jobs accepted before it anew."""
    series = play(seed, members=MANY_MEMBERS, weak=RESTARTED)
    assert max(waits_of_held_jobs(series)) <= HORIZON_S + PLACING_S


@pytest.mark.parametrize("seed", range(1, 9))
def test_wait_goes_on_in_a_process_that_has_just_started(seed):
    """It does not know when the wait began; the time between terms adds."""
    series = play(seed)
    wait_s = max(waits_of_held_jobs(series))
    begun_s = series.claimed_s[0]
    lost_s = sum(
        min(at_s for at_s in series.recovered_s if at_s > killed_s)
        - killed_s
        + worker_table.LAPSE_RECORD_MS / 1000.0
        for killed_s in series.killed_s[1:]
        if killed_s < begun_s + wait_s
    )
    assert wait_s <= HORIZON_S + lost_s + PLACING_S


@pytest.mark.parametrize("returns", [False, True])
@pytest.mark.parametrize("seed", range(1, 5))
def test_no_task_of_a_silent_worker_runs_twice_over_changes(seed, returns):
    """The worker carries on with what was started before the change."""
    series = play(seed, returns=returns)
    assert series.twice == set()
    again = [each.started_after_done for each in series.cell.workers]
    assert sum(again, []) == []


@pytest.mark.parametrize("seed", range(1, 5))
def test_no_task_runs_twice_if_the_return_is_not_recorded(seed):
    """The next term took leases as lapsed that this one had extended."""
    series = play(seed, returns=True, append_s=SLOW_APPEND_S)
    assert series.twice == set()
