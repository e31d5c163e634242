"""Expected task durations.

They are estimated from the duration that the caller declares, the mean of
the queue's completed tasks and the progress of a running task.
"""

import math

from cicadafold.scheduling import locality

__all__ = ["DurationEstimates", "critical_path_ms"]

# Weight of the newest duration in a queue's exponential moving average, which
# thus covers about 50 tasks.
LEARNING_RATE = 0.02
# Weight of the declared duration against the queue's mean. Declared durations
# are often wrong by a multiple, so they weigh no more than the mean.
DECLARED_WEIGHT = 0.5
MIN_DURATION_MS = 20.0
# From this progress on, the remaining time is extrapolated from the progress
# instead of from the estimate.
MIN_PROGRESS_PERCENT = 10.0
FULL_PERCENT = 100.0


class DurationEstimates:
    """Mean task durations by queue.

    The means are geometric, as durations vary by multiples.

    Attributes:
        log_means: Moving average of the natural logarithm of the durations
            in milliseconds, by name of the queue.
        far_factor: Factor on the duration of a task that runs far from its
            data or its gang.

    Examples:
        >>> estimates = DurationEstimates()
        >>> estimates.task_duration_ms("q", 400)
        400.0
    """

    def __init__(self):
        self.log_means = {}
        self.far_factor = 1.0

    def record_duration(self, queue, duration_ms):
        """Adds the duration of a completed task to the mean of its queue.

        Args:
            queue: Name of the queue.
            duration_ms: Duration of the task in milliseconds.
        """
        value = math.log(max(MIN_DURATION_MS, duration_ms))
        known = self.log_means.get(queue, value)
        self.log_means[queue] = known + LEARNING_RATE * (value - known)

    def task_duration_ms(self, queue, declared_ms):
        """Returns the expected duration of a task in milliseconds.

        Args:
            queue: Name of the queue.
            declared_ms: Duration in milliseconds that the caller declared.
        """
        declared = math.log(max(MIN_DURATION_MS, declared_ms))
        known = self.log_means.get(queue)
        if known is None:
            return round(math.exp(declared), 6)
        mixed = DECLARED_WEIGHT * declared + (1 - DECLARED_WEIGHT) * known
        return math.exp(mixed)

    def step_task_duration_ms(self, step):
        """Returns the expected duration of one task of a step, in ms."""
        return self.task_duration_ms(step.job.rule.name, step.spec.estimate_ms)

    def run_duration_ms(self, run):
        """Returns the expected duration of a run attempt, in ms.

        Args:
            run: Run attempt whose task is known.
        """
        expected_ms = self.step_task_duration_ms(run.task.step)
        return expected_ms * self.run_factor(run)

    def run_factor(self, run):
        """Returns the factor on the duration due to where a task runs."""
        spec = run.task.step.spec
        if self.far_factor == 1.0 or not (spec.data_rack or spec.one_rack):
            return 1.0
        racks = ()
        if spec.gang and spec.one_rack:
            racks = {
                other.worker.rack
                for task in run.task.step.tasks
                for other in task.runs
                if other.attempt == run.attempt
            }
        far = locality.is_far(spec, run.worker.rack, racks)
        return self.far_factor if far else 1.0


def remaining_ms(expected_ms, ran_ms, percent):
    """Returns the expected remaining time of a running task in milliseconds.

    Args:
        expected_ms: Expected duration of the whole task in milliseconds.
        ran_ms: Time since the start of the task in milliseconds.
        percent: Progress of the task, 0 to 100.
    """
    if percent >= MIN_PROGRESS_PERCENT:
        return ran_ms * (FULL_PERCENT - percent) / percent
    return max(MIN_DURATION_MS, expected_ms - ran_ms)


def critical_path_ms(steps, duration_ms_of):
    """Returns the length of the critical path through the steps, in ms.

    Args:
        steps: Steps in order; ``after`` of each names the numbers of the
            earlier steps that it depends on.
        duration_ms_of: Function that returns the duration of a step in
            milliseconds.
    """
    ends = []
    for step in steps:
        start_ms = max((ends[number] for number in step.after), default=0.0)
        ends.append(start_ms + duration_ms_of(step))
    return max(ends, default=0.0)
