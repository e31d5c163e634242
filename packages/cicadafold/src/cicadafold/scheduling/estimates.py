"""Expected durations: declared, learned by queue, seen in progress."""

import math

__all__ = ["DurationEstimates", "critical_path_ms"]

# Weight of the newest duration of a queue; a mean over about 50 tasks.
LEARNING_RATE = 0.02
# Declared estimates are off by factors; they count as much as the mean.
DECLARED_WEIGHT = 0.5
MIN_DURATION_MS = 20.0
# Progress says more than estimates once this share is done.
MIN_PROGRESS_PERCENT = 10.0
FULL_PERCENT = 100.0


class DurationEstimates:
    """Mean durations by queue.

    Examples:
        >>> estimates = DurationEstimates()
        >>> estimates.task_duration_ms("q", 400)
        400.0
    """

    def __init__(self):
        self.log_means = {}

    def record_duration(self, queue, duration_ms):
        """Takes the duration of a task that has ended as done."""
        value = math.log(max(MIN_DURATION_MS, duration_ms))
        known = self.log_means.get(queue, value)
        self.log_means[queue] = known + LEARNING_RATE * (value - known)

    def task_duration_ms(self, queue, declared_ms):
        """Returns the expected duration of a task."""
        declared = math.log(max(MIN_DURATION_MS, declared_ms))
        known = self.log_means.get(queue)
        if known is None:
            return round(math.exp(declared), 6)
        mixed = DECLARED_WEIGHT * declared + (1 - DECLARED_WEIGHT) * known
        return math.exp(mixed)

    def step_task_duration_ms(self, step):
        """Returns the expected duration of a task of a step."""
        return self.task_duration_ms(step.job.rule.name, step.spec.estimate_ms)


def remaining_ms(expected_ms, ran_ms, percent):
    """Returns how long a running task still takes.

    Args:
        expected_ms: Expected duration.
        ran_ms: Time since its start.
        percent: Its progress.
    """
    if percent >= MIN_PROGRESS_PERCENT:
        return ran_ms * (FULL_PERCENT - percent) / percent
    return max(MIN_DURATION_MS, expected_ms - ran_ms)


def critical_path_ms(steps, duration_ms_of):
    """Returns the longest chain of work through the steps.

    Args:
        steps: Steps with their ``after``.
        duration_of: Function from a step to its duration.
    """
    ends = []
    for step in steps:
        begin = max((ends[number] for number in step.after), default=0.0)
        ends.append(begin + duration_ms_of(step))
    return max(ends, default=0.0)
