"""Learned speeds of workers, from the progress of what runs on them.

Answers workers that turn several times slower while they look healthy: they
get no new work while others have room, and what they would end too late is
started again elsewhere.
"""

import math
import statistics

__all__ = ["SLOW_SPEED", "VERY_SLOW_SPEED", "SpeedMeter", "relative_speeds"]

# Weight of the newest rate of a job.
LEARNING_RATE = 0.4
# Shares of the pool's median speed. Sound workers differ by a third, and
# estimates by more: a slow worker is used last, a very slow one not at all.
SLOW_SPEED = 0.5
VERY_SLOW_SPEED = 0.3
# Jobs whose rates must be known before a worker is judged. A single job may
# be slow by itself, as its estimate may be far off.
MIN_JOBS = 4
# Rates older than this say nothing of the worker now; a worker without new
# work is tried again after it.
MAX_RATE_AGE_MS = 4000.0
RATE_RANGE = (0.03, 8.0)


class SpeedMeter:
    """Speed of one worker against what estimates expect.

    Examples:
        >>> meter = SpeedMeter()
        >>> for job in ("a", "b", "c", "d"):
        ...     meter.record_rate(job, 0.25, 0.0)
        >>> meter.speed(0.0), meter.speed(60000.0)
        (0.25, 1.0)
    """

    def __init__(self):
        self.rates = {}

    def record_rate(self, job, rate, now_ms):
        """Takes a rate of progress of a job; 1 is what was expected."""
        low, high = RATE_RANGE
        value = math.log(min(high, max(low, rate)))
        known = self.rates.get(job)
        if known is not None:
            value = known[0] + LEARNING_RATE * (value - known[0])
        self.rates[job] = (value, now_ms)

    def speed(self, now_ms, *, excluded_job=None):
        """Returns the speed, 1 if too little is known.

        Args:
            now_ms: Monotonic time.
            without: Job whose own rate is left out.
        """
        old = [
            job
            for job, (_, at_ms) in self.rates.items()
            if now_ms - at_ms > MAX_RATE_AGE_MS
        ]
        for job in old:
            del self.rates[job]
        values = [
            value
            for job, (value, _) in self.rates.items()
            if job != excluded_job
        ]
        if len(values) < MIN_JOBS:
            return 1.0
        return round(math.exp(statistics.median(values)), 6)


def relative_speeds(speeds):
    """Returns the speeds against their median.

    Args:
        speeds: Speed by worker; estimates that are off for all of them
            cancel out.

    Examples:
        >>> relative_speeds({"a": 2.0, "b": 2.0, "c": 0.4})["c"]
        0.2
    """
    if not speeds:
        return {}
    middle = statistics.median(speeds.values())
    return {name: speed / middle for name, speed in speeds.items()}
