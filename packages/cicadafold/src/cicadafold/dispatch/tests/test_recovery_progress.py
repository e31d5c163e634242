"""Tests of how the recovery of a term is judged."""

import pytest

from cicadafold.dispatch import recovery_progress


@pytest.fixture
def now(monkeypatch):
    """Returns a list with the monotonic time in milliseconds."""
    time_ms = [0.0]
    monkeypatch.setattr(
        recovery_progress.clock, "monotonic_ms", lambda: time_ms[0]
    )
    return time_ms


def test_long_recovery_that_advances_is_not_degraded(now):
    """It was replaced after a fixed time, again and again."""
    recovery = recovery_progress.RecoveryProgress(started_ms=0.0, patience=1)
    for _ in range(40):
        now[0] += 1000.0
        assert recovery.advancing()
        recovery.advance()


def test_recovery_without_a_step_is_degraded(now):
    """Its host may not reach the store, while others do."""
    recovery = recovery_progress.RecoveryProgress(started_ms=0.0, patience=1)
    now[0] = 1000.0
    recovery.advance()
    now[0] += recovery_progress.MAX_STEP_MS
    assert not recovery.advancing()
