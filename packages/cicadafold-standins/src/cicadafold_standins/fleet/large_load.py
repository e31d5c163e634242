"""Jobs and callers for cells of chosen size."""

import asyncio
import collections
import random

import aiohttp

from cicadafold import clock
from cicadafold_standins.fleet import load

__all__ = ["Callers", "LargeJob", "generate_job"]

TASKS = (1, 20)
WORK_MS = (300.0, 6000.0)
# Tasks are short more often than long.
WORK_SHAPE = 2.5
SECOND_STEP_SHARE = 0.25
GANG_SHARE = 0.25
FAILING_SHARE = 0.05
REPEATED_JOB_SHARE = 0.05
DEADLY_SHARE = 0.004
CHECKPOINT_SHARE = 0.5
# Fraction of the submissions that callers repeat at another host.
REPEAT_SHARE = 0.35
LONGEST_REPEAT_DELAY_S = 3.0
CANCEL_SHARE = 0.08
LONGEST_CANCEL_DELAY_S = 4.0
CALL_PAUSE_S = 0.3
MAX_CALLS = 60
# Answers to submissions after which the job must not run.
NO_EFFECT = (401, 429, 503, "unreached")


class LargeJob(load.GeneratedJob, frozen=True):
    """A generated job with tasks of their own duration.

    Attributes:
        work_ms: Duration of each task in milliseconds.
        checkpoints: Whether its tasks resume from checkpoints.
    """

    work_ms: int = 300
    checkpoints: bool = False

    @property
    def payload(self):
        """Payload of each task."""
        text = f"{load.CORES_MILLI} lasts {self.work_ms}"
        if self.deadly:
            return f"{text} crashes {load.DEADLY_INDEX}"
        return f"{text} fails {self.failures_per_task}"

    def body(self):
        """Returns the body of the caller's request."""
        body = super().body()
        body["spec"] = self.payload
        for step in body["steps"]:
            step["estimateMs"] = self.work_ms
            step["checkpointEnabled"] = self.checkpoints
        return body


def generate_job(rng):
    """Returns a random job."""
    steps = [
        load.GeneratedStep(random_tasks(rng), rng.random() < GANG_SHARE, ())
    ]
    if rng.random() < SECOND_STEP_SHARE:
        steps.append(
            load.GeneratedStep(
                random_tasks(rng), rng.random() < GANG_SHARE, (0,)
            )
        )
    has_gang = any(step.gang for step in steps)
    failing = not has_gang and rng.random() < FAILING_SHARE
    least, most = WORK_MS
    return LargeJob(
        steps=tuple(steps),
        failures_per_task=rng.randint(1, load.MAX_FAILURES) if failing else 0,
        repeats=load.REPEATS if rng.random() < REPEATED_JOB_SHARE else 0,
        cancels=rng.random() < CANCEL_SHARE,
        deadly=rng.random() < DEADLY_SHARE,
        work_ms=int(least + (most - least) * rng.random() ** WORK_SHAPE),
        checkpoints=rng.random() < CHECKPOINT_SHARE,
    )


def random_tasks(rng):
    """Returns a number of tasks; small ones are more frequent."""
    least, most = TASKS
    return least + int((most - least + 1) * rng.random() ** 2)


class Callers:
    """Submits, repeats, cancels and reads jobs.

    Args:
        cell: Cell under test.
        seed: Seed of all random choices.

    Attributes:
        sent: Submitted jobs by identifier.
        accepted: Identifiers of the accepted jobs.
        refused: Identifiers of jobs of which no submission can have had an
            effect.
        cancelled_ms: Monotonic time in milliseconds at which a cancellation
            was answered with 200 or 410, by identifier of the job.
        cancel_answers: Number of these answers by status.
        repeats: Number of submissions that were repeated.
        calls: Tasks of the callers.
    """

    def __init__(self, *, cell, seed):
        self.cell = cell
        self.rng = random.Random(f"load of {seed}")
        self.sent = {}
        self.accepted = set()
        self.unconfirmed = set()
        self.cancelled_ms = {}
        self.cancel_answers = collections.Counter()
        self.repeats = 0
        self.calls = set()

    @property
    def refused(self):
        """Identifiers of jobs that must not run."""
        return set(self.sent) - self.accepted - self.unconfirmed

    async def run(self, seconds, jobs_per_s):
        """Submits jobs at a rate and waits until all calls have ended.

        Args:
            seconds: Duration of the load.
            jobs_per_s: Mean number of jobs a second.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        next_s = loop.time()
        while next_s < end_s:
            next_s += self.rng.expovariate(jobs_per_s)
            await asyncio.sleep(max(0.0, next_s - loop.time()))
            job_id = f"{len(self.sent) + 1:016x}"
            self.sent[job_id] = generate_job(self.rng)
            self.spawn(self.submit(job_id))
        while self.calls:
            await asyncio.gather(*self.calls)

    def spawn(self, coroutine):
        """Runs a call as a task."""
        task = asyncio.create_task(coroutine)
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)

    async def submit(self, job_id):
        """Submits a job until it is accepted, and may repeat or cancel it."""
        job = self.sent[job_id]
        body = job.body()
        if self.rng.random() < REPEAT_SHARE:
            delay_s = self.rng.uniform(0.0, LONGEST_REPEAT_DELAY_S)
            self.spawn(self.repeat(job_id, body, delay_s))
        for _ in range(MAX_CALLS):
            if await self.post(job_id, body) == 200:
                if job.cancels:
                    await self.cancel(job_id)
                return
            await asyncio.sleep(CALL_PAUSE_S)

    async def repeat(self, job_id, body, delay_s):
        """Submits a job again, as a caller that got no answer."""
        await asyncio.sleep(delay_s)
        self.repeats += 1
        await self.post(job_id, body)

    async def post(self, job_id, body):
        """Submits a job to a random host and returns the status."""
        status, _ = await self.call("POST", job_id, body)
        if status == 200:
            self.accepted.add(job_id)
        elif status not in NO_EFFECT:
            self.unconfirmed.add(job_id)
        return status

    async def cancel(self, job_id):
        """Cancels a job after a while, until that is acknowledged."""
        await asyncio.sleep(self.rng.uniform(0.0, LONGEST_CANCEL_DELAY_S))
        for _ in range(MAX_CALLS):
            status, _ = await self.call("DELETE", job_id)
            if status in (200, 410):
                self.cancelled_ms[job_id] = clock.monotonic_ms()
                self.cancel_answers[status] += 1
                return
            await asyncio.sleep(CALL_PAUSE_S)

    async def call(self, method, job_id, body=None):
        """Calls a random host.

        Returns:
            The HTTP status, or "unreached" if no connection was made and
            "unconfirmed" if the call may have had an effect; and the body.
        """
        members = list(self.cell.members.values())
        if not members:
            return "unreached", {}
        member = self.rng.choice(members)
        try:
            return await self.cell.call(member, method, job_id, body)
        except aiohttp.ClientConnectorError:
            return "unreached", {}
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            return "unconfirmed", {}

    async def state_of(self, job_id):
        """Returns the state of a job as a random host shows it, or None."""
        _, body = await self.call("GET", job_id)
        return body.get("state")
