"""Tests of the time at which the configuration was known to be newest."""

import msgspec
import pytest

from cicadafold import clock
from cicadafold.configuration import freshness

BOUND_MS = 4000.0
REVOKE_MS = 5000.0
# Stated target: keyed calls are refused after this share of the bound.
EXPIRY_MS = 0.8 * REVOKE_MS


@pytest.fixture
def now(monkeypatch):
    """Returns a list with the time in milliseconds, which tests change."""
    found = [1e6]
    monkeypatch.setattr(clock, "boot_ms", lambda: found[0])
    return found


@pytest.fixture
def strict(now):
    """Returns the freshness of a host with expiring keys, confirmed now."""
    found = freshness.Freshness(bound_ms=BOUND_MS, revoke_ms=REVOKE_MS)
    found.confirm(now[0])
    return found


def test_new_host_has_confirmed_nothing(now):
    """A restarted host takes its start for news of the configuration."""
    found = freshness.Freshness(bound_ms=BOUND_MS, revoke_ms=REVOKE_MS)
    assert found.keys_expired
    assert found.may_be_outdated
    found.confirm(now[0])
    assert not found.keys_expired
    assert not found.may_be_outdated


def test_age_without_confirmation_can_be_sent_and_shown(now):
    """An infinite age cannot be rounded, and is encoded as null."""
    found = freshness.Freshness(bound_ms=BOUND_MS)
    assert round(found.age_ms) > 1e11
    encoded = msgspec.json.encode(found.age_ms)
    assert msgspec.json.decode(encoded, type=float) == found.age_ms


def test_keys_expire_before_the_bound(strict, now):
    """A host without news accepts keys until the bound or longer."""
    now[0] += EXPIRY_MS
    assert not strict.keys_expired
    now[0] += 1
    assert strict.keys_expired


def test_news_makes_keys_valid_again(strict, now):
    """A host that was cut off refuses keys until somebody restarts it."""
    now[0] += 10 * REVOKE_MS
    strict.confirm(now[0] - EXPIRY_MS + 1)
    assert not strict.keys_expired


def test_confirmation_never_goes_back(strict, now):
    """A late answer makes the configuration look older than it is."""
    strict.confirm(now[0] - REVOKE_MS)
    assert strict.age_ms == 0


def test_old_confirmation_does_not_make_keys_valid(now):
    """Information from a peer counts from its arrival."""
    found = freshness.Freshness(bound_ms=BOUND_MS, revoke_ms=REVOKE_MS)
    found.confirm(now[0] - EXPIRY_MS - 1)
    assert found.keys_expired


def test_keys_do_not_expire_without_the_setting(now):
    """A deployment that has not asked for it loses calls in an outage."""
    found = freshness.Freshness(bound_ms=BOUND_MS)
    assert not found.keys_expired
    found.confirm(now[0])
    now[0] += 100 * REVOKE_MS
    assert not found.keys_expired


def test_known_newer_version_makes_it_outdated_in_time(now):
    """A host goes on with a version that it knows to be replaced."""
    behind = []
    found = freshness.Freshness(
        bound_ms=BOUND_MS, is_behind=lambda: bool(behind)
    )
    found.confirm(now[0])
    behind.append(True)
    assert found.may_be_outdated
    assert not found.outdated
    now[0] += BOUND_MS
    assert found.outdated


def test_confirmations_keep_pace_with_the_shorter_bound():
    """Keys expire between two regular confirmations."""
    make = freshness.Freshness
    assert make(bound_ms=4000.0).pace_ms == 4000.0
    assert make(bound_ms=4000.0, revoke_ms=1000.0).pace_ms == 1000.0
    assert make(bound_ms=4000.0, revoke_ms=9000.0).pace_ms == 4000.0
