"""Tests of the store's client against the stand-in's protocol."""

import pytest

from cicadafold.platform import log_store
from cicadafold.telemetry import metrics


@pytest.fixture
def store():
    """A client that is not connected."""
    return log_store.LogStore(
        session=None, address="127.0.0.1:1", metrics=metrics.Metrics()
    )


def test_slow_store_is_waited_for(store):
    """The wait grows with the appends seen, within its bounds."""
    assert store.append_timeout_s == log_store.MIN_APPEND_TIMEOUT_S
    store.mean_append_ms = 400.0
    assert store.append_timeout_s == 1.6
    store.mean_append_ms = 9000.0
    assert store.append_timeout_s == log_store.MAX_APPEND_TIMEOUT_S


def test_store_is_out_of_reach_only_while_calls_fail(store):
    """A long quiet time without failures is no outage."""
    store.last_served_ms -= 60_000.0
    assert store.reachable
    store.record_failure("log-read", store.last_served_ms + 1.0)
    assert not store.reachable
    assert store.failing
