"""Tests of the log lines and metrics about refused calls."""

import logging

import pytest

from cicadafold import clock
from cicadafold.teams import access
from cicadafold.teams import refusals
from cicadafold.telemetry import metrics

KEY = "a-secret-key"
UNKNOWN = access.KeyUnknown(message="No.", remedy="Send another.")
EXPIRED = access.KeysUncertain("keys_expired", "Old.")


@pytest.fixture
def now(monkeypatch):
    """Returns a list with the time in milliseconds, which tests change."""
    found = [1e6]
    monkeypatch.setattr(clock, "monotonic_ms", lambda: found[0])
    return found


def test_flood_of_bad_keys_costs_one_line_a_second_for_each_reason(
    now, caplog
):
    """The flood displaces all other lines."""
    counts = metrics.Metrics()
    log = refusals.RefusalLog(metrics=counts)
    with caplog.at_level(logging.INFO):
        for number in range(3000):
            now[0] += 1
            log.record(UNKNOWN, f"{KEY}-{number}")
            log.record(EXPIRED, KEY)
    assert len(caplog.records) <= 2 * 4
    assert KEY not in caplog.text
    shown = [row for row in caplog.records if row.reason == "unknown_key"]
    assert sum(row.calls for row in shown) >= 2000
    text = counts.render()
    assert 'cicadafold_key_refusals{reason="unknown_key"} 3000' in text
    assert 'cicadafold_key_refusals{reason="keys_expired"} 3000' in text
    assert KEY not in text


@pytest.mark.parametrize("key", ["", "ü", "\udcff", "x" * 100_000])
def test_text_that_cannot_be_a_key_has_no_digest(key):
    """It causes an error in the code that logs it."""
    assert "key" in refusals.digest_prefix(key)


def test_digest_prefix_is_that_of_the_configured_key():
    """Operators cannot find out which key a caller sent."""
    prefix = refusals.digest_prefix(KEY)
    assert refusals.model.key_digest(KEY).startswith(prefix)
    assert len(prefix) == 8
