"""Tests of reading the journal while the store fails now and then."""

import asyncio
import base64
import json
import types

import pytest

from cicadafold import exception
from cicadafold.journal import reader
from cicadafold.platform import log_store
from cicadafold.platform import registry
from cicadafold.telemetry import metrics

PAGES = 10
# Two pages are answered, then a call fails.
FAILS_EVERY = 3


@pytest.fixture
def failing_store(monkeypatch):
    """Returns a store of ``PAGES`` pages with failing calls."""
    monkeypatch.setattr(reader, "RETRY_PAUSE_S", 0.0)
    calls = []

    async def call(method, name, *, query, **_):
        await asyncio.sleep(0)
        calls.append(query)
        if len(calls) % FAILS_EVERY == 0:
            raise exception.LinkLost(message="No answer.", remedy="Repeat.")
        number = int(query.get("dependsOn", "0")) + 1
        item = {
            "key": f"{number}",
            "value": base64.b64encode(b"x").decode(),
            "offset": number,
        }
        body = {"items": [item], "hasMore": number < PAGES, "end": number}
        return 200, json.dumps(body).encode()

    store = log_store.LogStore(
        session=None, address="127.0.0.1:1", metrics=metrics.Metrics()
    )
    store.call = call
    return store


def test_reading_of_the_journal_goes_on_after_a_failed_call(failing_store):
    """It began anew, and a partition of many pages was never read."""

    async def scenario():
        async with asyncio.timeout(2.0):
            return await reader.read_newest(failing_store, "t", 0)

    found, resume = asyncio.run(scenario())
    assert [record.key for record in found] == [
        f"{number}" for number in range(1, PAGES + 1)
    ]
    assert resume == 1


def test_reading_of_the_registry_goes_on_after_a_failed_call(failing_store):
    """The first reading of a large registry began anew, like the journal's."""

    async def scenario():
        tail = registry.KeyedTopicTail(store=failing_store, topic="t")
        for _ in range(PAGES):
            try:
                return await tail.changes()
            except exception.LinkLost:
                continue

    changes, complete = asyncio.run(scenario())
    assert len(changes) == PAGES
    assert complete


@pytest.mark.parametrize(("status", "parts"), [(200, 2), (503, 0), (410, 0)])
def test_refusal_of_the_store_is_no_progress(status, parts):
    """A term that the store refused with a body seemed to recover for ever."""
    progress = []

    async def iter_any():
        yield b"{}"
        yield b" "

    answer = types.SimpleNamespace(
        status=status,
        content=types.SimpleNamespace(iter_any=iter_any),
    )
    asyncio.run(log_store.read_body(answer, lambda: progress.append(1)))
    assert len(progress) == parts
