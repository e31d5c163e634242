"""Counts and logs the calls that are refused for their key."""

import collections

from cicadafold import clock
from cicadafold.teams import model
from cicadafold.telemetry import logs

__all__ = ["RefusalLog"]

# Pause between two log lines with the same reason.
LOG_PAUSE_MS = 1000.0
DIGEST_PREFIX = 8

LOG = logs.get_logger("keys")


class RefusalLog:
    """Counts refused calls by reason, and logs one line a second for each.

    Args:
        metrics: Metrics of the process.

    Attributes:
        calls: Number of refused calls since the last line, by reason.
        logged_ms: Monotonic time of the last line in milliseconds, by reason.
    """

    def __init__(self, *, metrics):
        self.metrics = metrics
        self.calls = collections.Counter()
        self.logged_ms = {}

    def record(self, error, key):
        """Records a refused call.

        Args:
            error: The refusal, one of ``access.REFUSALS``.
            key: Key that the caller sent, empty for none.
        """
        reason = error.reason
        self.metrics.count("key_refusals", reason=reason)
        self.calls[reason] += 1
        now_ms = clock.monotonic_ms()
        last_ms = self.logged_ms.get(reason)
        if last_ms is not None and now_ms - last_ms < LOG_PAUSE_MS:
            return
        self.logged_ms[reason] = now_ms
        LOG.info(
            "Calls were refused for their key; callers were answered with"
            " status %s.",
            error.status,
            fields={
                "reason": reason,
                "calls": self.calls.pop(reason),
                "digest": digest_prefix(key),
            },
        )


def digest_prefix(key):
    """Returns the start of a key's digest, by which operators can find it."""
    if not key:
        return "no key"
    if not model.can_be_key(key):
        return "not a key"
    return model.key_digest(key)[:DIGEST_PREFIX]
