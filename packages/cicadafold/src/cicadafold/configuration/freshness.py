"""When the configuration was last known to be the newest one."""

from cicadafold import clock

__all__ = ["UNCONFIRMED_AGE_MS", "Freshness"]

# Share of the time in which a configuration must be in force after which a
# host no longer answers by a configuration that may be older.
OUTDATED_SHARE = 0.85
# Share of the time in which a withdrawn key must be refused after which a
# host without news of the configuration accepts no key. The rest covers the
# rate of the clocks, and the time for which the store may have answered a
# waiting read before this host took note of it.
KEYS_SHARE = 0.8
# Age of a configuration that was never confirmed. It is finite, as it is
# sent to peers and shown in the metrics.
UNCONFIRMED_AGE_MS = 1e12


class Freshness:
    """Owner of the time at which the configuration was known to be newest.

    Times are those of ``clock.boot_ms``, which counts suspensions of the
    host. A new process has confirmed nothing: what it reads from a peer is
    as old as the peer's own knowledge.

    Args:
        bound_ms: Time in which a confirmed configuration must be in force.
        revoke_ms: Time in which a withdrawn key must be refused by every
            host, also by a partitioned one; None if keys do not expire.
        is_behind: Function that returns whether a newer configuration is
            known to exist.

    Attributes:
        confirmed_ms: Last time at which the configuration in force is known
            to have been the newest one; None if that is not known.
    """

    def __init__(self, *, bound_ms, revoke_ms=None, is_behind=lambda: False):
        self.bound_ms = bound_ms
        self.revoke_ms = revoke_ms
        self.is_behind = is_behind
        self.confirmed_ms = None

    def confirm(self, at_ms):
        """Records a time at which the configuration was the newest one.

        Args:
            at_ms: The time, not that at which the news of it came.
        """
        if self.confirmed_ms is None or at_ms > self.confirmed_ms:
            self.confirmed_ms = at_ms

    @property
    def age_ms(self):
        """Time since the configuration was known to be the newest one."""
        if self.confirmed_ms is None:
            return UNCONFIRMED_AGE_MS
        return min(UNCONFIRMED_AGE_MS, clock.boot_ms() - self.confirmed_ms)

    @property
    def pace_ms(self):
        """Bound that the pauses between two confirmations follow from."""
        if self.revoke_ms is None:
            return self.bound_ms
        return min(self.bound_ms, self.revoke_ms)

    @property
    def overdue(self):
        """Whether a newer configuration would have to be in force by now."""
        return self.age_ms > OUTDATED_SHARE * self.bound_ms

    @property
    def may_be_outdated(self):
        """Whether a newer configuration may be in force elsewhere."""
        return self.is_behind() or self.overdue

    @property
    def outdated(self):
        """Whether a newer configuration is known and should be in force."""
        return self.is_behind() and self.overdue

    @property
    def keys_expired(self):
        """Whether a key may have been withdrawn too long ago to accept it."""
        if self.revoke_ms is None:
            return False
        return self.age_ms > KEYS_SHARE * self.revoke_ms
