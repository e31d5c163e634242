"""Run attempts on the stand-in worker."""

from cicadafold import clock
from cicadafold_standins.fleet import payloads

__all__ = ["RunAttempt"]

CHECKPOINT_STEP_PERCENT = 20


class RunAttempt:
    """One run attempt of a task on the worker.

    Args:
        task: Name of the task.
        attempt: Number of the attempt.
        payload: Payload of the task, which names its cores and failures, and
            its duration if it is not that of the worker's tasks.
        work_ms: Duration of the worker's tasks.
        checkpoint: Checkpoint from which it resumes, or empty.

    Attributes:
        checkpoint: Newest checkpoint: task, attempt and percent.
    """

    def __init__(self, *, task, attempt, payload, work_ms, checkpoint=""):
        self.task = task
        self.attempt = attempt
        self.checkpoint = checkpoint
        self.cores_milli = payloads.cores_milli_of(payload)
        self.deadly = payloads.is_deadly(task, payload)
        self.failures = payloads.failures_of(payload)
        self.work_ms = payloads.work_ms_of(payload) or work_ms
        self.started_ms = clock.monotonic_ms()
        self.first_percent = percent_of(checkpoint)

    @property
    def percent(self):
        """Progress in percent."""
        ran_ms = clock.monotonic_ms() - self.started_ms
        return min(100, self.first_percent + int(100 * ran_ms / self.work_ms))

    def reach_checkpoint(self):
        """Moves to the newest checkpoint; returns whether it is a new one."""
        percent = self.percent
        percent -= percent % CHECKPOINT_STEP_PERCENT
        if percent <= percent_of(self.checkpoint) or percent >= 100:
            return False
        self.checkpoint = f"{self.task}/{self.attempt}/{percent}"
        return True


def percent_of(checkpoint):
    """Returns the progress at a checkpoint, 0 for none."""
    percent = checkpoint.rpartition("/")[2]
    return int(percent) if percent.isdigit() else 0
