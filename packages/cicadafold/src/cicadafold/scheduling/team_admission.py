"""Decides when a pool is full, and when the turn of a refused job comes.

Addresses a team that sends a multiple of its usual load into a full cell.
"""

import math

from cicadafold.scheduling import ranking

__all__ = ["PoolPressure", "TeamTurns", "is_threatened"]

# A waiting step is threatened once its slack is below this share of its
# objective: waiting on would make it late, whatever the pool's utilisation.
THREATENED_SHARE = 0.25
# A pool is full once steps have been threatened for this long, and until none
# has been for the second time. A pass takes place at least every 100 ms, so
# that a single wait for the end of a task does not count.
FULL_AFTER_MS = 200.0
CLEAR_AFTER_MS = 1000.0
# Time for which hosts go on asking about jobs after a pool was full. Teams
# that are announced anew are not refused for some seconds, so a pool that is
# full every few seconds would otherwise refuse nothing.
LATELY_FULL_MS = 10_000.0
# Seconds of a team's rate for which turns are promised. It is far less than
# a burst, so that a bucket with tokens that are set aside for callers who do
# not return never overflows.
PROMISED_S = 1.0
# Time for which a turn is kept: a caller is told whole seconds, rounded up,
# and its call takes a while.
KEEP_TURN_MS = 2500.0
# Longest wait that is stated. A team of weight 0 has no turn while the pool
# is full.
MAX_WAIT_MS = 60_000.0


def is_threatened(waiting, now_ms):
    """Whether waiting any longer is likely to make a step late.

    Steps that are too late do not count: refusing others cannot help them,
    and one that never fits would keep the pool full for ever.

    Args:
        waiting: ``ranking.WaitingStep``.
        now_ms: Monotonic time in milliseconds.
    """
    if waiting.lateness(now_ms) >= ranking.TOO_LATE:
        return False
    threshold_ms = THREATENED_SHARE * waiting.objective_ms
    return waiting.slack_ms(now_ms) < threshold_ms


class PoolPressure:
    """Whether a pool is full, with hysteresis.

    Times are monotonic, in milliseconds.

    Attributes:
        since_ms: Time since which steps within their team's rate have been
            threatened, without a pause of ``CLEAR_AFTER_MS``; or None.
        last_ms: Time at which one was last threatened, or None.
        full_ms: Time at which the pool was last found full, or None.
    """

    def __init__(self):
        self.since_ms = None
        self.last_ms = None
        self.full_ms = None

    def note(self, now_ms):
        """Records a threatened step that could not be placed."""
        if not self.recent(now_ms):
            self.since_ms = now_ms
        self.last_ms = now_ms
        if self.full(now_ms):
            self.full_ms = now_ms

    def recent(self, now_ms):
        """Whether a step was threatened within ``CLEAR_AFTER_MS``."""
        return (
            self.last_ms is not None
            and now_ms - self.last_ms <= CLEAR_AFTER_MS
        )

    def full(self, now_ms):
        """Whether the pool is full."""
        return (
            self.recent(now_ms)
            and self.last_ms - self.since_ms >= FULL_AFTER_MS
        )

    def lately_full(self, now_ms):
        """Whether the pool was full within ``LATELY_FULL_MS``."""
        return (
            self.full_ms is not None
            and now_ms - self.full_ms <= LATELY_FULL_MS
        )


class TeamTurns:
    """Turns that were promised to refused jobs of one team.

    The token of a turn is kept for its job, so that the time which a caller
    was told is true even if the team goes on sending too much.

    Args:
        meter: ``ArrivalMeter``.

    Attributes:
        promised: Monotonic time in milliseconds of the turn of each refused
            job, by its identifier.
    """

    def __init__(self, *, meter):
        self.meter = meter
        self.promised = {}

    def ask(self, job, rule, now_ms):
        """Takes a token for a job, or returns when its turn comes.

        Args:
            job: Identifier of the job.
            rule: Rule of its team.
            now_ms: Monotonic time in milliseconds.

        Returns:
            None if a token was taken, otherwise the milliseconds until the
            job's turn. Until then there is no token for it.
        """
        self.drop_missed(now_ms)
        turn_ms = self.promised.get(job)
        if turn_ms is not None and turn_ms > now_ms:
            self.meter.mark_beyond(rule, now_ms)
            return turn_ms - now_ms
        if self.take(job, rule, now_ms):
            return None
        self.promised.pop(job, None)
        ahead = len(self.promised)
        wait_ms = self.meter.wait_ms(rule, now_ms, ahead + 1)
        limit = max(1, math.floor(PROMISED_S * rule.weight))
        if ahead < limit and wait_ms < MAX_WAIT_MS:
            self.promised[job] = now_ms + wait_ms
        return min(wait_ms, MAX_WAIT_MS)

    def take(self, job, rule, at_ms):
        """Takes a token for a job that is not kept for another one.

        Args:
            job: Identifier of the job.
            rule: Rule of its team.
            at_ms: Monotonic time in milliseconds at which it arrived.

        Returns:
            Whether there was one.
        """
        due = sum(
            turn_ms <= at_ms and other != job
            for other, turn_ms in self.promised.items()
        )
        if not self.meter.take(rule, at_ms, held=due):
            return False
        self.promised.pop(job, None)
        return True

    def drop_missed(self, now_ms):
        """Drops turns whose callers have not come back in time."""
        missed = [
            job
            for job, turn_ms in self.promised.items()
            if now_ms - turn_ms > KEEP_TURN_MS
        ]
        for job in missed:
            del self.promised[job]
