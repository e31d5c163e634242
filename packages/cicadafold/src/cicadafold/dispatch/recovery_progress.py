"""Progress of the recovery of a term.

A recovery is judged by its progress and not by its duration: that depends on
the size of the journal, and the next scheduler would begin anew.
"""

from cicadafold import clock

__all__ = ["RecoveryProgress"]

# A recovery without a step for this time reports itself as degraded, so that
# another process takes over. It covers two calls that are not answered.
MAX_STEP_MS = 3500.0


class RecoveryProgress:
    """Counts the steps of a recovery, such as parts of the journal.

    Args:
        started_ms: Monotonic time of the start of the term, in milliseconds.
        patience: Factor on the longest time without a step.

    Attributes:
        advanced_ms: Monotonic time of the last step, in milliseconds.
        steps: Number of steps so far.
        completed_ms: Monotonic time of its completion in milliseconds, or
            None.
    """

    def __init__(self, *, started_ms, patience):
        self.started_ms = started_ms
        self.patience = patience
        self.advanced_ms = started_ms
        self.steps = 0
        self.completed_ms = None

    def advance(self):
        """Records a step."""
        self.advanced_ms = clock.monotonic_ms()
        self.steps += 1

    def complete(self):
        """Records that the recovery is complete."""
        self.completed_ms = clock.monotonic_ms()

    def advancing(self):
        """Whether the last step is not long ago."""
        idle_ms = clock.monotonic_ms() - self.advanced_ms
        return idle_ms < MAX_STEP_MS * self.patience

    @property
    def took_ms(self):
        """Duration of the recovery in whole milliseconds, None before."""
        if self.completed_ms is None:
            return None
        return round(self.completed_ms - self.started_ms)

    def log_fields(self):
        """Returns the fields that describe the recovery of an ended term."""
        now_ms = clock.monotonic_ms()
        return {
            "age_ms": round(now_ms - self.started_ms),
            "recovered_after_ms": self.took_ms,
            "recovery_steps": self.steps,
            "last_step_ms_ago": round(now_ms - self.advanced_ms),
        }
