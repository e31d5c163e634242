"""Speeds of workers, measured by the progress of their tasks.

A worker may become several times slower while it still appears healthy. Such
a worker gets new tasks last or not at all, and tasks that it would complete
too late are started again on another worker.
"""

import math
import statistics

__all__ = ["SLOW_SPEED", "VERY_SLOW_SPEED", "SpeedMeter", "relative_speeds"]

# Weight of the newest rate in the moving average of a job's rates.
LEARNING_RATE = 0.4
# Speeds relative to the median of the pool, below which a worker is used last
# (slow) or not at all (very slow). They leave room for healthy workers, which
# differ by a third, and for duration estimates, which differ by more.
SLOW_SPEED = 0.5
VERY_SLOW_SPEED = 0.3
# Number of jobs with known rates that a speed needs. A single job says little
# of the worker, as its duration estimate may be far off.
MIN_JOBS = 4
# Older rates are dropped. A worker that gets no new tasks has no rates after
# this time, counts as usual again and is given tasks again.
MAX_RATE_AGE_MS = 4000.0
# Least and greatest rate that is recorded; others are clamped to these.
RATE_RANGE = (0.03, 8.0)


class SpeedMeter:
    """Speed of one worker relative to the duration estimates.

    Attributes:
        rates: By job, the moving average of the logarithm of its rates and
            the monotonic time in milliseconds of the newest rate.

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
        """Records how fast a task of a job progresses on this worker.

        Args:
            job: Identifier of the job.
            rate: Progress made divided by the progress expected.
            now_ms: Monotonic time in milliseconds.
        """
        low, high = RATE_RANGE
        value = math.log(min(high, max(low, rate)))
        known = self.rates.get(job)
        if known is not None:
            value = known[0] + LEARNING_RATE * (value - known[0])
        self.rates[job] = (value, now_ms)

    def speed(self, now_ms, *, excluded_job=None):
        """Returns the median rate of the jobs, 1 if too few are known.

        Args:
            now_ms: Monotonic time in milliseconds.
            excluded_job: Identifier of a job whose rate is left out, or
                None.
        """
        expired = [
            job
            for job, (_, at_ms) in self.rates.items()
            if now_ms - at_ms > MAX_RATE_AGE_MS
        ]
        for job in expired:
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
    """Returns the speeds divided by their median.

    Estimates that are wrong for all workers by the same factor cancel out.

    Args:
        speeds: Speed by name of the worker.

    Examples:
        >>> relative_speeds({"a": 2.0, "b": 2.0, "c": 0.4})["c"]
        0.2
    """
    if not speeds:
        return {}
    median = statistics.median(speeds.values())
    return {name: speed / median for name, speed in speeds.items()}
