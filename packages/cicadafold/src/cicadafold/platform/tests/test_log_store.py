"""Tests of the timeout and the health state of the store's client."""

import asyncio
import unittest.mock

import aiohttp
import pytest

from cicadafold import exception
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


async def answer_call(store, monkeypatch, *, started_ms, ended_ms, waits):
    """Lets a call that started at one time be served at a later one."""
    times = iter((started_ms, ended_ms))
    monkeypatch.setattr(log_store.clock, "monotonic_ms", lambda: next(times))
    store.session = unittest.mock.MagicMock()
    answer = store.session.request.return_value.__aenter__.return_value
    answer.status = 200
    answer.read = unittest.mock.AsyncMock(return_value=b"")
    await store.call("GET", "log-read", waits=waits)
    monkeypatch.undo()


@pytest.mark.parametrize(("waits", "served_ms"), [(True, 0), (False, 2000)])
def test_answer_to_a_waiting_read_shows_when_it_was_accepted(
    store, monkeypatch, waits, served_ms
):
    """Only calls that are answered at once show that the store serves."""
    store.last_served_ms = -10.0
    asyncio.run(
        answer_call(
            store, monkeypatch, started_ms=0, ended_ms=2000, waits=waits
        )
    )
    assert store.last_served_ms == served_ms


@pytest.mark.parametrize(("waits", "failing_ms"), [(True, 2000), (False, 0)])
def test_waiting_read_that_is_reset_shows_no_earlier_failure(
    store, monkeypatch, waits, failing_ms
):
    """A term was handed to a peer in an outage of the store for all.

    The read had waited since long before the outage, so a peer that was
    served just before it seemed to be served while this process was not.
    """
    store.last_served_ms = -10.0
    store.session = unittest.mock.MagicMock()
    store.session.request.side_effect = aiohttp.ClientOSError(104, "Reset")
    started = iter((0,))
    monkeypatch.setattr(
        log_store.clock, "monotonic_ms", lambda: next(started, 2000)
    )
    with pytest.raises(exception.LinkLost):
        asyncio.run(store.call("GET", "log-read", waits=waits))
    assert store.failing_since_ms == failing_ms


def answering(store, body):
    """Lets a store answer all calls with status 200 and a body."""
    store.session = unittest.mock.MagicMock()
    answer = store.session.request.return_value.__aenter__.return_value
    answer.status = 200
    answer.read = unittest.mock.AsyncMock(return_value=body)
    return store


@pytest.mark.parametrize(
    ("call", "error"),
    [
        (lambda store: store.newest("t", 0), exception.LogUnavailable),
        (
            lambda store: store.join("g", "m", "t", ttl_ms=1000, generation=0),
            exception.LogUnavailable,
        ),
        (lambda store: store.append("t", 0, []), exception.LinkLost),
    ],
)
@pytest.mark.parametrize(
    "body", [b"", b'{"items": [{"key": "a", "val', b"[]", b"null"]
)
def test_answer_that_was_cut_is_not_an_empty_one(store, call, error, body):
    """A term started without a partition of its journal, as if it was empty.

    Jobs were then unknown, or started again from their beginning.
    """
    with pytest.raises(error):
        asyncio.run(call(answering(store, body)))


def test_empty_partition_is_read(store):
    """Fields that are zero, false or empty may be left out."""
    assert asyncio.run(answering(store, b"{}").newest("t", 0)) == ([], 0)
