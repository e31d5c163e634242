"""Time limit for the answers of one worker, from those that were measured."""

__all__ = ["AnswerTimes"]

# Weights of the newest answer in the mean and in the mean deviation, and the
# number of deviations allowed, as for the retransmission timeout of TCP.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
ALLOWED_DEVIATIONS = 4
# Least allowance above the mean, as a share of the usual limit. Answers that
# took equally long for a while have no deviation.
LEAST_ALLOWANCE = 0.5


class AnswerTimes:
    """Limits the wait for a worker's answer by its earlier ones.

    A worker that answers fast is noticed as silent after the usual limit.
    Every second call of a silent worker waits longer, so that a slow one is
    told from one that does not answer; its limit follows its answers then.

    Args:
        usual_ms: Least limit in milliseconds.
        longest_ms: Largest limit in milliseconds. Two calls with this limit,
            one after the other, must fit into a lease.

    Attributes:
        mean_ms: Moving average of the answer times in milliseconds, or None
            before the first answer.
        deviation_ms: Moving average of their deviation in milliseconds.
        unanswered: Number of calls without an answer since the last answer.
    """

    def __init__(self, *, usual_ms, longest_ms):
        self.usual_ms = usual_ms
        self.longest_ms = longest_ms
        self.mean_ms = None
        self.deviation_ms = 0.0
        self.unanswered = 0

    def record_answer(self, took_ms):
        """Records an answer.

        Args:
            took_ms: Milliseconds that it took, without the time for which
                the worker was asked to hold it. Negative if the worker has
                not held it so long; the time is not known then. Nor is it
                above the largest limit, where this process was stalled.
        """
        self.unanswered = 0
        if not 0 <= took_ms <= self.longest_ms:
            return
        if self.mean_ms is None:
            self.mean_ms = took_ms
            self.deviation_ms = took_ms / 2
            return
        difference = took_ms - self.mean_ms
        self.deviation_ms += DEVIATION_WEIGHT * (
            abs(difference) - self.deviation_ms
        )
        self.mean_ms += MEAN_WEIGHT * difference

    def record_no_answer(self):
        """Records that a call was given up."""
        self.unanswered += 1

    @property
    def measured_limit_ms(self):
        """Limit that follows from the answers, in milliseconds."""
        allowance_ms = max(
            LEAST_ALLOWANCE * self.usual_ms,
            ALLOWED_DEVIATIONS * self.deviation_ms,
        )
        limit_ms = (self.mean_ms or 0.0) + allowance_ms
        return min(self.longest_ms, max(self.usual_ms, limit_ms))

    def limit_ms(self, lapse_in_ms=None):
        """Returns the limit of the next call in milliseconds.

        Args:
            lapse_in_ms: Milliseconds until the leases of a silent worker
                have lapsed, or None. A longer wait must not hide that.
        """
        limit_ms = self.measured_limit_ms
        if self.unanswered % 2:
            grown_ms = limit_ms * 2 ** ((self.unanswered + 1) // 2)
            if lapse_in_ms is not None:
                grown_ms = min(grown_ms, lapse_in_ms)
            limit_ms = min(self.longest_ms, max(limit_ms, grown_ms))
        return limit_ms

    def hold_ms(self, usual_hold_ms):
        """Returns for how long a worker may hold a call, in milliseconds.

        A slow worker holds it shorter, so that its lease is renewed in time.

        Args:
            usual_hold_ms: Milliseconds for a worker that answers fast.
        """
        slow_ms = self.measured_limit_ms - self.usual_ms
        return max(0, round(usual_hold_ms - slow_ms))
