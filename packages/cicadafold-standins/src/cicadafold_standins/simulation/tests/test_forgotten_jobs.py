"""Tests of jobs that are submitted again after their end, in virtual time."""

import asyncio
import random
import signal

import pytest

from cicadafold.journal import records
from cicadafold_standins.simulation import cell
from cicadafold_standins.simulation import virtual_time

MEMBERS = ("n0", "n1", "n2")
STATUS_S = 8.0
# Time after the newest submission by which everything about an ended job has
# been dropped.
FORGOTTEN_S = 1.5 * STATUS_S + 5.0
JOBS = [f"{number:016x}" for number in range(6)]
STEPS = [{"count": 2, "cpu": 1000, "memMb": 64, "estimateMs": 100}]
BODIES = {
    "completed": {"spec": "1000", "steps": STEPS},
    "failed": {"spec": "1000 fails 2", "steps": STEPS},
    "cancelled": {
        "spec": "1000",
        "steps": [STEPS[0] | {"longRunning": True}],
    },
    "repeated": {"spec": "1000", "steps": STEPS}
    | {"repeats": 3, "firstRunMs": 1, "intervalMs": 300},
}


def keys_of(fleet_cell):
    """Returns the keys of jobs that the store holds, in any partition."""
    topics = (records.JOBS_TOPIC, records.PROGRESS_TOPIC)
    return [
        key
        for (topic, _), partition in fleet_cell.store.partitions.items()
        if topic in topics
        for key in partition.newest
        if key != records.WORKERS_KEY
    ]


def starts_of(fleet_cell):
    """Returns the number of starts on all workers."""
    return sum(len(worker.starts) for worker in fleet_cell.workers)


class Scenario:
    """A cell whose jobs end, and whose scheduler changes much later.

    Args:
        fleet_cell: Cell that runs the jobs.
        body: Submission of each job.
        state: Final state of the jobs.

    Attributes:
        submitted_s: Loop time in seconds of the newest submission.
    """

    def __init__(self, *, fleet_cell, body, state):
        self.cell = fleet_cell
        self.body = body
        self.state = state
        self.submitted_s = 0.0

    def member(self, number):
        """Returns a running member by number, modulo their count."""
        members = [self.cell.members[name] for name in sorted(MEMBERS)]
        return members[number % len(members)]

    async def submit_all(self, shift=0):
        """Submits all jobs, each at another member for another shift."""
        for number, job in enumerate(JOBS):
            member = self.member(number + shift)
            status, _ = await self.cell.call(member, "POST", job, self.body)
            assert status in (200, 503, 504)
        self.submitted_s = asyncio.get_running_loop().time()

    async def run_jobs(self):
        """Submits the jobs and waits for their ends."""
        for name in MEMBERS:
            await self.cell.start(name)
        await self.submit_all()
        for number, job in enumerate(JOBS):
            if self.state == "cancelled":
                await asyncio.sleep(0.5)
                await self.cell.call(self.member(0), "DELETE", job)
            await self.cell.wait_for_state(
                self.member(number), job, self.state
            )

    async def change_scheduler(self, signal_number):
        """Ends the scheduler's process and starts it again."""
        name = self.cell.serving()
        await self.cell.stop(name, signal_number)
        await self.cell.start(name)
        async with asyncio.timeout(10.0):
            while self.cell.serving() is None:
                await asyncio.sleep(0.05)


def play(seed, kind, play_case):
    """Plays a case and returns what its coroutine function returns."""

    async def scenario():
        async with cell.SimulatedCell(
            rng=random.Random(seed),
            workers=3,
            work_ms=100.0,
            weak_hosts=(),
            status_s=STATUS_S,
        ) as fleet_cell:
            case = Scenario(
                fleet_cell=fleet_cell,
                body=BODIES[kind],
                state="completed" if kind == "repeated" else kind,
            )
            await case.run_jobs()
            return await play_case(case)

    result, failed = virtual_time.run(scenario, seed)
    assert failed == []
    return result


@pytest.mark.parametrize("signal_number", [signal.SIGKILL, signal.SIGTERM])
@pytest.mark.parametrize("kind", BODIES)
def test_late_submission_of_an_ended_job_starts_nothing(kind, signal_number):
    """It ran again once its end was forgotten and the scheduler changed."""

    async def play_case(case):
        await asyncio.sleep(3.0)
        before = starts_of(case.cell)
        for shift in (1, 2):
            await case.submit_all(shift)
            await asyncio.sleep(1.0)
        await asyncio.sleep(FORGOTTEN_S)
        await case.change_scheduler(signal_number)
        await asyncio.sleep(5.0)
        return starts_of(case.cell) - before, keys_of(case.cell)

    assert play(1, kind, play_case) == (0, [])


def test_forgotten_job_is_unknown_at_every_member():
    """The one that had accepted it showed it as queued for good."""

    async def play_case(case):
        await asyncio.sleep(1.5 * STATUS_S + 3.0)
        return [
            await case.cell.call(case.member(number), "GET", job)
            for job in JOBS
            for number in range(len(MEMBERS))
        ]

    answers = play(1, "completed", play_case)
    assert {status for status, _ in answers} == {410}


async def refuse_for_a_while(store, rng):
    """Makes the store refuse all calls for some seconds."""
    store.refusing = True
    await asyncio.sleep(rng.uniform(0.2, 3.0))
    store.refusing = False


@pytest.mark.parametrize("seed", range(1, 9))
def test_no_order_of_events_revives_an_ended_job(seed):
    """Whatever follows the ends, a replay from the beginning starts nothing.

    Submissions and cancellations are repeated, answers of the store are
    lost, its history is deleted, and terms change, in a random order.
    """
    rng = random.Random(seed)

    async def repeat_submissions(case):
        # A submission that comes later than that is one of a new job.
        if asyncio.get_running_loop().time() < case.submitted_s + STATUS_S:
            await case.submit_all(rng.randrange(len(MEMBERS)))

    async def repeat_cancellations(case):
        for job in rng.sample(JOBS, 2):
            await case.cell.call(case.member(0), "DELETE", job)

    async def change_scheduler(case):
        await case.change_scheduler(
            rng.choice([signal.SIGKILL, signal.SIGTERM])
        )

    async def lose_answers(case):
        case.cell.store.lost_answers_left += rng.randint(1, 3)

    async def delete_history(case):
        for topic, part in case.cell.store.partitions:
            case.cell.store.compact(topic, part)

    async def refuse_calls(case):
        await refuse_for_a_while(case.cell.store, rng)

    events = [
        repeat_submissions,
        repeat_cancellations,
        change_scheduler,
        lose_answers,
        delete_history,
        refuse_calls,
    ]

    async def play_case(case):
        before = starts_of(case.cell)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + 3 * FORGOTTEN_S
        while loop.time() < end_s:
            await asyncio.sleep(rng.uniform(0.3, 3.0))
            await rng.choice(events)(case)
        await asyncio.sleep(FORGOTTEN_S)
        for _ in range(2):
            await case.change_scheduler(signal.SIGKILL)
            await asyncio.sleep(FORGOTTEN_S)
        return starts_of(case.cell) - before, keys_of(case.cell)

    assert play(seed, "completed", play_case) == (0, [])
