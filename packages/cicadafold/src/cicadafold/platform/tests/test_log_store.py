"""Tests of the timeout and the health state of the store's client."""

import pytest

from cicadafold.platform import log_store
from cicadafold.telemetry import metrics


@pytest.fixture
def store():
    """Returns a client that makes no calls."""
    return log_store.LogStore(
        session=None, address="127.0.0.1:1", metrics=metrics.Metrics()
    )


def test_append_timeout_grows_with_mean_duration(store):
    """The timeout is a multiple of the mean duration, within its limits."""
    assert store.append_timeout_s == log_store.MIN_APPEND_TIMEOUT_S
    store.mean_append_ms = 400.0
    assert store.append_timeout_s == 1.6
    store.mean_append_ms = 9000.0
    assert store.append_timeout_s == log_store.MAX_APPEND_TIMEOUT_S


def test_store_is_unreachable_only_while_calls_fail(store):
    """A long time without any call does not make the store unreachable."""
    store.last_served_ms -= 60_000.0
    assert store.reachable
    store.record_failure("log-read", store.last_served_ms + 1.0)
    assert not store.reachable
    assert store.failing
