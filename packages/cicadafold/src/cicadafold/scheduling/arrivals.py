"""Tells which jobs a team sends beyond its rate.

Addresses a team that sends a multiple of its usual load.
"""

import msgspec

__all__ = ["ArrivalMeter"]

MS_PER_S = 1000.0
# Seconds of its rate that a team may send at once. Independent callers that
# together send 2.5 jobs a second exceed a weight of 3 by chance: 1.2 to 3.0%
# of their jobs were refused in a full cell with 2 s, 0.3 to 0.5% with 4 s
# (test_flooded_cell.py). A longer burst hurts no other team, as the shares
# hold for it too, but it delays the first refusal.
BURST_S = 4.0
# Fewest jobs of a burst, also for teams that send less than one a second: one
# that may be set aside for a job that was refused, and one for others.
MIN_BURST = 2.0
# Time for which a team counts as sending beyond its rate after the last job
# that was.
BEYOND_HOLD_MS = 10_000.0
# Part of a token that may be missing because of rounding, so that a job which
# comes exactly at the time that it was told gets its token.
ROUNDING = 1e-6
# Time after which the bucket of a removed team is dropped. Its jobs cannot be
# submitted any more, so only repeated records could still count.
IDLE_MS = 60_000.0


class Bucket(msgspec.Struct):
    """Token bucket of a team.

    Attributes:
        tokens: Jobs that the team may send now.
        updated_ms: Monotonic time in milliseconds of that number.
        beyond_ms: Monotonic time in milliseconds of the last job beyond the
            rate, or None.
    """

    tokens: float
    updated_ms: float
    beyond_ms: float | None = None


class ArrivalMeter:
    """Meters the jobs of each team against its rate of ``weight`` a second.

    Times are monotonic, in milliseconds. They may be out of order: a job that
    arrived before the last one takes a token that exists and adds none. So
    neither late messages nor a clock that goes back add tokens.

    Attributes:
        buckets: ``Bucket`` of each team by its name.

    Examples:
        >>> from cicadafold.teams import model
        >>> meter, rule = ArrivalMeter(), model.TeamRule("t", weight=1.0)
        >>> [meter.take(rule, 0.0) for _ in range(5)]
        [True, True, True, True, False]
        >>> meter.wait_ms(rule, 0.0)
        1000.0
    """

    def __init__(self):
        self.buckets = {}

    def take(self, rule, at_ms, *, held=0):
        """Takes a token for a job, if there is one.

        Args:
            rule: Rule of its team.
            at_ms: Time at which the job arrived at the cell.
            held: Tokens that are set aside for other jobs.

        Returns:
            Whether the job is within the rate.
        """
        bucket = self.refill(rule, at_ms)
        if bucket.tokens - held >= 1.0 - ROUNDING:
            bucket.tokens -= 1.0
            return True
        self.mark_beyond(rule, at_ms)
        return False

    def mark_beyond(self, rule, at_ms):
        """Records that the team has sent a job beyond its rate."""
        bucket = self.refill(rule, at_ms)
        bucket.beyond_ms = max(bucket.updated_ms, bucket.beyond_ms or at_ms)

    def wait_ms(self, rule, at_ms, tokens=1):
        """Returns the milliseconds until a number of tokens will exist.

        Returns:
            Infinity if the team's weight is 0.
        """
        missing = tokens - self.refill(rule, at_ms).tokens
        if missing <= 0:
            return 0.0
        if rule.weight <= 0:
            return float("inf")
        return missing / rule.weight * MS_PER_S

    def refill(self, rule, at_ms):
        """Returns the bucket of a team with the tokens of a time."""
        limit = burst(rule)
        bucket = self.buckets.get(rule.name)
        if bucket is None:
            bucket = self.buckets[rule.name] = Bucket(limit, at_ms)
        elapsed_ms = max(0.0, at_ms - bucket.updated_ms)
        gained = elapsed_ms / MS_PER_S * rule.weight
        bucket.tokens = min(limit, bucket.tokens + gained)
        bucket.updated_ms += elapsed_ms
        return bucket

    def teams_beyond(self, now_ms):
        """Returns the names of teams that have lately exceeded their rate."""
        return {
            name
            for name, bucket in self.buckets.items()
            if bucket.beyond_ms is not None
            and now_ms - bucket.beyond_ms <= BEYOND_HOLD_MS
        }

    def drop_idle(self, rules, now_ms):
        """Drops buckets of teams that are not configured and long idle.

        Args:
            rules: Configured rules by name of the team.
            now_ms: Time.
        """
        self.buckets = {
            name: bucket
            for name, bucket in self.buckets.items()
            if name in rules or now_ms - bucket.updated_ms < IDLE_MS
        }


def burst(rule):
    """Returns how many jobs a team may send at once."""
    if rule.weight <= 0:
        return 0.0
    return max(MIN_BURST, BURST_S * rule.weight)
