"""Order in which waiting steps are placed."""

import msgspec

__all__ = ["RANKINGS", "WaitingStep", "objective_ms", "ranking"]

RANKINGS = {}
# A job that is late by more than this many objectives earns nothing.
TOO_LATE_FACTOR = 3.0
LATE = 1
TOO_LATE = 2


class WaitingStep(msgspec.Struct, kw_only=True):
    """A step with tasks that wait, as the order of the queue sees it.

    Attributes:
        priority: Rank of the queue; 0 comes first.
        arrived_ms: Time at which the job arrived or was due.
        objective_ms: Latency objective of the job.
        remaining_ms: Expected time until the job's end once this starts.
    """

    priority: int
    arrived_ms: float
    objective_ms: float
    remaining_ms: float

    def slack_ms(self, now_ms):
        """Returns how long its start may wait without a late end."""
        due_ms = self.arrived_ms + self.objective_ms
        return due_ms - now_ms - self.remaining_ms

    def lateness(self, now_ms):
        """Returns 0 while it can be in time, then MISSED, then LOST."""
        slack_ms = self.slack_ms(now_ms)
        if slack_ms >= 0:
            return 0
        grace_ms = (TOO_LATE_FACTOR - 1) * self.objective_ms
        return LATE if slack_ms + grace_ms >= 0 else TOO_LATE


def ranking(name):
    """Registers a function that ranks a waiting step; lowest first."""

    def register(function):
        RANKINGS[name] = function
        return function

    return register


@ranking("arrival")
def by_arrival(waiting, now_ms):
    """First come, first served within each priority."""
    return (waiting.priority, waiting.arrived_ms)


@ranking("slack")
def by_slack(waiting, now_ms):
    """Urgent work first; then what can still be in time, by its slack."""
    lateness = waiting.lateness(now_ms)
    if waiting.priority == 0 and lateness < TOO_LATE:
        return (0, lateness, waiting.arrived_ms)
    return (1 + lateness, 0, waiting.slack_ms(now_ms))


def objective_ms(rule, critical_path_ms, advice_ms=0.0):
    """Returns the latency objective of a job.

    Args:
        rule: Rule of its queue.
        chain_ms: Longest chain of work.
        advice_ms: Calls for advice along the chain.
    """
    return rule.stretch * (critical_path_ms + advice_ms) + rule.target_ms
