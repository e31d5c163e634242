"""Monotonic time of this process and estimates of a worker's clock."""

import time

__all__ = ["MILLISECONDS", "WorkerClock", "monotonic_ms", "wall_ms"]

MILLISECONDS = 1000
MAX_DRIFT = 0.001


def monotonic_ms():
    """Returns the monotonic clock in milliseconds."""
    return time.monotonic() * MILLISECONDS


def wall_ms():
    """Returns Unix time in milliseconds."""
    return time.time() * MILLISECONDS


class WorkerClock:
    """Lower bound of a worker's clock, from its last answer.

    The answer left the worker before it arrived here, so that the worker's
    clock is at least what it said plus the time since the arrival, less
    the drift allowed between two clocks.

    Examples:
        >>> clock = WorkerClock()
        >>> clock.update(500, at_ms=1000.0)
        >>> clock.lower_bound_ms(at_ms=2000.0)
        1499.0
    """

    def __init__(self):
        self.worker_ms = 0
        self.updated_ms = None

    def update(self, worker_ms, *, at_ms=None):
        """Takes the clock value of an answer that has just arrived."""
        self.worker_ms = worker_ms
        self.updated_ms = monotonic_ms() if at_ms is None else at_ms

    def lower_bound_ms(self, *, at_ms=None):
        """Returns the lower bound in milliseconds."""
        now_ms = monotonic_ms() if at_ms is None else at_ms
        elapsed_ms = now_ms - self.updated_ms
        return self.worker_ms + elapsed_ms * (1 - MAX_DRIFT)
