"""Jobs of many shapes for the soak, and what must become of them."""

import msgspec

from cicadafold import clock

__all__ = ["MadeJob", "MadeStep", "make_job"]

CORES_MILLI = 2000
ESTIMATE_MS = 250
GANG_SHARE = 0.3
SECOND_STEP_SHARE = 0.3
FAILING_SHARE = 0.15
REPEATED_SHARE = 0.1
# Failed runs after which a job fails, as the cell is configured.
MAX_FAILURES = 2
REPEATS = 2
INTERVAL_MS = 400


class MadeStep(msgspec.Struct, frozen=True):
    """One step.

    Attributes:
        tasks: Number of tasks.
        gang: Whether they run all together.
        after: Numbers of the steps that must be done before.
    """

    tasks: int
    gang: bool
    after: tuple[int, ...]

    @property
    def least_done(self):
        """Tasks that are done at least; one stands for all of a gang."""
        return 1 if self.gang else self.tasks


class MadeJob(msgspec.Struct, frozen=True):
    """One job.

    Attributes:
        steps: Its steps.
        fails: How often each of its tasks fails before it is done.
        repeats: Number of occurrences; 0 means once, at once.
        cancels: Whether its caller cancels it.
    """

    steps: tuple[MadeStep, ...]
    fails: int
    repeats: int
    cancels: bool

    @property
    def states(self):
        """Final states that it may come to, if it is not cancelled.

        A failure is lost with a worker that crashes before it is noted.
        """
        if self.fails >= MAX_FAILURES:
            return {"completed", "failed"}
        return {"completed"}

    @property
    def least_done(self):
        """Tasks that are done at least when it is completed."""
        each = sum(step.least_done for step in self.steps)
        return each * max(1, self.repeats)

    def body(self):
        """Returns the body of the caller's request."""
        steps = []
        for step in self.steps:
            made = {
                "count": step.tasks,
                "cpu": CORES_MILLI,
                "memMb": 64,
                "estimateMs": ESTIMATE_MS,
                "gang": step.gang,
            }
            if step.after:
                made["dependsOn"] = list(step.after)
            steps.append(made)
        spec = f"{CORES_MILLI} fails {self.fails}"
        body = {"spec": spec, "steps": steps}
        if self.repeats:
            body["repeats"] = self.repeats
            body["firstRunMs"] = int(clock.wall_ms())
            body["intervalMs"] = INTERVAL_MS
        return body


def make_job(luck, *, cancel_share):
    """Returns a random job.

    Args:
        luck: Source of random choices.
        cancel_share: Share of jobs that are cancelled.
    """
    steps = [MadeStep(luck.randint(1, 4), luck.random() < GANG_SHARE, ())]
    if luck.random() < SECOND_STEP_SHARE:
        gang = luck.random() < GANG_SHARE
        steps.append(MadeStep(luck.randint(1, 3), gang, (0,)))
    # A failure of one member ends the whole run of a gang.
    gangs = any(step.gang for step in steps)
    failing = not gangs and luck.random() < FAILING_SHARE
    return MadeJob(
        steps=tuple(steps),
        fails=luck.randint(1, MAX_FAILURES) if failing else 0,
        repeats=REPEATS if luck.random() < REPEATED_SHARE else 0,
        cancels=luck.random() < cancel_share,
    )
