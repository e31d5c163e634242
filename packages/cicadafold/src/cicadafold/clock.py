"""Clocks of this process, and a lower bound of a worker's clock."""

import time

__all__ = [
    "MS_PER_S",
    "US_PER_MS",
    "WorkerClock",
    "boot_ms",
    "monotonic_ms",
    "wall_ms",
]

MS_PER_S = 1000
US_PER_MS = 1000
# Largest relative difference between the rates of two clocks.
MAX_DRIFT = 0.001


def monotonic_ms():
    """Returns the reading of the monotonic clock in milliseconds."""
    return time.monotonic() * MS_PER_S


def boot_ms():
    """Returns the milliseconds since the host has booted.

    Unlike the monotonic clock, it counts the time for which the host was
    suspended; the age of knowledge has to be measured by it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_S


def wall_ms():
    """Returns Unix time in milliseconds."""
    return time.time() * MS_PER_S


class WorkerClock:
    """Lower bound of a worker's clock, computed from its last answer.

    The worker sent the answer before it arrived here. So its clock now shows
    at least the value in the answer plus the time since the arrival, less
    the largest drift between two clocks.

    Attributes:
        worker_ms: Reading of the worker's clock in its last answer, in
            milliseconds.
        updated_ms: Monotonic time in milliseconds at which that answer
            arrived, or None before the first answer.

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
        """Records the clock reading of an answer that has just arrived.

        Args:
            worker_ms: Reading of the worker's clock in milliseconds.
            at_ms: Monotonic time of the arrival in milliseconds; None means
                now.
        """
        self.worker_ms = worker_ms
        self.updated_ms = monotonic_ms() if at_ms is None else at_ms

    def lower_bound_ms(self, *, at_ms=None):
        """Returns the lower bound of the worker's clock in milliseconds.

        Args:
            at_ms: Monotonic time in milliseconds for which the bound holds;
                None means now.
        """
        now_ms = monotonic_ms() if at_ms is None else at_ms
        elapsed_ms = now_ms - self.updated_ms
        return self.worker_ms + elapsed_ms * (1 - MAX_DRIFT)
