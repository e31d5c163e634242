"""Random jobs for the soak, and the results that are expected of them."""

import msgspec

from cicadafold import clock

__all__ = ["GeneratedJob", "GeneratedStep", "generate_job"]

CORES_MILLI = 2000
ESTIMATE_MS = 250
GANG_SHARE = 0.3
SECOND_STEP_SHARE = 0.3
FAILING_JOB_SHARE = 0.15
REPEATED_JOB_SHARE = 0.1
DEADLY_JOB_SHARE = 0.015
# Index of the task of each step that crashes its workers in a deadly job.
DEADLY_INDEX = 0
# Failed run attempts of a task after which its job fails, as the cell is
# configured (maxAttempts).
MAX_FAILURES = 2
REPEATS = 2
INTERVAL_MS = 400


class GeneratedStep(msgspec.Struct, frozen=True):
    """One step of a generated job.

    Attributes:
        tasks: Number of tasks.
        gang: Whether all tasks must run at the same time.
        after: Numbers of the steps that must be done before it starts.
    """

    tasks: int
    gang: bool
    after: tuple[int, ...]

    @property
    def min_done(self):
        """Least number of tasks that ended as done in a completed step.

        A gang is completed as soon as one of its tasks has ended as done.
        """
        return 1 if self.gang else self.tasks


class GeneratedJob(msgspec.Struct, frozen=True):
    """One generated job.

    Attributes:
        steps: Its steps.
        failures_per_task: Number of run attempts of each task that fail
            before one is done.
        repeats: Number of scheduled occurrences; 0 means that the job runs
            once and immediately.
        cancels: Whether its caller cancels it once it is accepted.
        deadly: Whether a task of it crashes the workers that start it.
        work_ms: Duration of its tasks in milliseconds, 0 for the default.
        checkpoints: Whether its tasks resume from checkpoints.
    """

    steps: tuple[GeneratedStep, ...]
    failures_per_task: int
    repeats: int
    cancels: bool
    deadly: bool = False
    work_ms: int = 0
    checkpoints: bool = False

    @property
    def possible_final_states(self):
        """Final states that it may reach if it is not cancelled.

        A worker that crashes before a failure is acknowledged loses that
        failure, so a job that should fail may also be completed. So may a
        deadly gang, as its other members end by themselves.
        """
        if self.deadly:
            gang = any(step.gang for step in self.steps)
            return {"completed", "failed"} if gang else {"failed"}
        if self.failures_per_task >= MAX_FAILURES:
            return {"completed", "failed"}
        return {"completed"}

    @property
    def min_done(self):
        """Least number of tasks that ended as done in a completed job."""
        per_occurrence = sum(step.min_done for step in self.steps)
        return per_occurrence * max(1, self.repeats)

    @property
    def spec(self):
        """Payload of its tasks."""
        if self.deadly:
            return f"{CORES_MILLI} crashes {DEADLY_INDEX}"
        lasts = f" lasts {self.work_ms}" if self.work_ms else ""
        return f"{CORES_MILLI}{lasts} fails {self.failures_per_task}"

    def body(self):
        """Returns the body of the caller's request."""
        steps = []
        for step in self.steps:
            encoded = {
                "count": step.tasks,
                "cpu": CORES_MILLI,
                "memMb": 64,
                "estimateMs": self.work_ms or ESTIMATE_MS,
                "gang": step.gang,
            }
            if self.checkpoints:
                encoded["checkpointEnabled"] = True
            if step.after:
                encoded["dependsOn"] = list(step.after)
            steps.append(encoded)
        body = {"spec": self.spec, "steps": steps}
        if self.repeats:
            body["repeats"] = self.repeats
            body["firstRunMs"] = int(clock.wall_ms())
            body["intervalMs"] = INTERVAL_MS
        return body


def generate_job(rng, *, cancel_share):
    """Returns a random job.

    Args:
        rng: Random number generator.
        cancel_share: Fraction of jobs that are cancelled.
    """
    steps = [GeneratedStep(rng.randint(1, 4), rng.random() < GANG_SHARE, ())]
    if rng.random() < SECOND_STEP_SHARE:
        gang = rng.random() < GANG_SHARE
        steps.append(GeneratedStep(rng.randint(1, 3), gang, (0,)))
    # The failure of one task ends the run attempts of its whole gang.
    has_gang = any(step.gang for step in steps)
    failing = not has_gang and rng.random() < FAILING_JOB_SHARE
    return GeneratedJob(
        steps=tuple(steps),
        failures_per_task=rng.randint(1, MAX_FAILURES) if failing else 0,
        repeats=REPEATS if rng.random() < REPEATED_JOB_SHARE else 0,
        cancels=rng.random() < cancel_share,
        deadly=rng.random() < DEADLY_JOB_SHARE,
    )
