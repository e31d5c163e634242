"""Tests of how records of ended jobs are dropped."""

import asyncio
import types

import pytest

from cicadafold import clock
from cicadafold.dispatch import record_cleanup


@pytest.fixture
def appended():
    """Appends that were made."""
    return []


def make_cleaner(appended, forgotten, dropped):
    """Returns a dropper on a store that notes its appends."""

    async def append(topic, partition, entries):
        appended.append((topic, partition, entries))

    return record_cleanup.RecordCleaner(
        store=types.SimpleNamespace(append=append),
        journal=types.SimpleNamespace(record_removal=dropped.append),
        status_s=120.0,
        on_end_dropped=forgotten.append,
    )


def test_description_is_dropped_and_the_end_is_kept(appended, monkeypatch):
    """Callers may ask for the end long after the description is gone."""
    forgotten, dropped = [], []
    cleaner = make_cleaner(appended, forgotten, dropped)
    cleaner.partitions = {"ab": {3}}
    cleaner.add("ab")
    asyncio.run(cleaner.drop(3, {"ab"}))
    assert appended[0][1:] == (3, [("a/ab", b""), ("x/ab", b"")])
    now_ms = clock.monotonic_ms()
    cleaner.drop_ends(now_ms + 121_000.0)
    assert forgotten == dropped == []
    cleaner.drop_ends(now_ms + 181_000.0)
    assert forgotten == dropped == ["ab"]
