"""Queue order: ranks the waiting steps that are placed next."""

import msgspec

__all__ = ["RANKINGS", "WaitingStep", "objective_ms", "ranking"]

RANKINGS = {}
# A job that takes longer than this many times its objective has no value any
# more.
TOO_LATE_FACTOR = 3.0
# Degrees of lateness; 0 is in time.
LATE = 1
TOO_LATE = 2


class WaitingStep(msgspec.Struct, kw_only=True):
    """What the queue order needs to know of a step with waiting tasks.

    Attributes:
        priority: Priority of the queue; 0 is the most urgent.
        arrived_ms: Monotonic time in milliseconds at which the job arrived
            or its occurrence was due.
        objective_ms: Latency objective of the job in milliseconds.
        remaining_ms: Expected time in milliseconds from the start of this
            step to the end of the job.
        beyond_rate: Whether the job is beyond the rate of its team.
    """

    priority: int
    arrived_ms: float
    objective_ms: float
    remaining_ms: float
    beyond_rate: bool = False

    def slack_ms(self, now_ms):
        """Returns how long the start may be delayed, in milliseconds.

        With a longer delay the job misses its objective; a negative slack
        means that it misses it anyway.
        """
        due_ms = self.arrived_ms + self.objective_ms
        return due_ms - now_ms - self.remaining_ms

    def lateness(self, now_ms):
        """Returns 0 if the objective can still be met, LATE or TOO_LATE."""
        slack_ms = self.slack_ms(now_ms)
        if slack_ms >= 0:
            return 0
        grace_ms = (TOO_LATE_FACTOR - 1) * self.objective_ms
        return LATE if slack_ms + grace_ms >= 0 else TOO_LATE


def ranking(name):
    """Registers a queue order under a name.

    It is a function of a ``WaitingStep`` and the monotonic time in
    milliseconds that returns a sortable rank; the lowest is placed first.
    """

    def register(function):
        RANKINGS[name] = function
        return function

    return register


@ranking("arrival")
def by_arrival(waiting, now_ms):
    """Ranks first come, first served within each priority."""
    return (waiting.priority, waiting.arrived_ms)


@ranking("slack")
def by_slack(waiting, now_ms):
    """Ranks priority 0 first, then by lateness and slack.

    Steps of priority 0 are first come, first served, unless they are too
    late. The rest is sorted into in time, late and too late, each by slack.
    """
    lateness = waiting.lateness(now_ms)
    if waiting.priority == 0 and lateness < TOO_LATE:
        return (0, lateness, waiting.arrived_ms)
    return (1 + lateness, 0, waiting.slack_ms(now_ms))


def objective_ms(rule, critical_path_ms, advice_ms=0.0):
    """Returns the latency objective of a job in milliseconds.

    Args:
        rule: Rule of the job's queue.
        critical_path_ms: Length of the critical path in milliseconds.
        advice_ms: Time for advice calls on the critical path, in
            milliseconds.
    """
    return rule.stretch * (critical_path_ms + advice_ms) + rule.target_ms
