"""Expected durations: declared, learned by queue, seen in progress."""

import math

__all__ = ["Estimates", "chain_ms"]

# Weight of the newest duration of a queue; a mean over about 50 tasks.
LEARNING_RATE = 0.02
# Declared estimates are off by factors; they count as much as the mean.
DECLARED_WEIGHT = 0.5
LEAST_MS = 20.0
# Progress says more than estimates once this share is done.
SEEN_PERCENT = 10.0
WHOLE_PERCENT = 100.0


class Estimates:
    """Mean durations by queue.

    Examples:
        >>> estimates = Estimates()
        >>> estimates.task_ms("q", 400)
        400.0
    """

    def __init__(self):
        self.log_means = {}

    def learn(self, queue, duration_ms):
        """Takes the duration of a task that has ended as done."""
        value = math.log(max(LEAST_MS, duration_ms))
        known = self.log_means.get(queue, value)
        self.log_means[queue] = known + LEARNING_RATE * (value - known)

    def task_ms(self, queue, declared_ms):
        """Returns the expected duration of a task."""
        declared = math.log(max(LEAST_MS, declared_ms))
        known = self.log_means.get(queue)
        if known is None:
            return round(math.exp(declared), 6)
        mixed = DECLARED_WEIGHT * declared + (1 - DECLARED_WEIGHT) * known
        return math.exp(mixed)

    def step_ms(self, step):
        """Returns the expected duration of a task of a step."""
        return self.task_ms(step.job.rule.name, step.spec.estimate_ms)


def remaining_ms(expected_ms, ran_ms, percent):
    """Returns how long a running task still takes.

    Args:
        expected_ms: Expected duration.
        ran_ms: Time since its start.
        percent: Its progress.
    """
    if percent >= SEEN_PERCENT:
        return ran_ms * (WHOLE_PERCENT - percent) / percent
    return max(LEAST_MS, expected_ms - ran_ms)


def chain_ms(steps, duration_of):
    """Returns the longest chain of work through the steps.

    Args:
        steps: Steps with their ``after``.
        duration_of: Function from a step to its duration.
    """
    ends = []
    for step in steps:
        begin = max((ends[number] for number in step.after), default=0.0)
        ends.append(begin + duration_of(step))
    return max(ends, default=0.0)
