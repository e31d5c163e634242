"""Tests of dropping the journal records of ended jobs."""

import asyncio
import types

import pytest

from cicadafold import clock
from cicadafold.dispatch import record_cleanup


@pytest.fixture
def appended():
    """Returns the list of appends to the store."""
    return []


def make_cleaner(appended, forgotten, dropped):
    """Returns a record cleaner on fakes that list what it does.

    Args:
        appended: List for topic, partition and entries of each append.
        forgotten: List for the jobs whose end is dropped.
        dropped: List for the jobs whose removal is recorded.
    """

    async def append(topic, partition, entries):
        appended.append((topic, partition, entries))

    return record_cleanup.RecordCleaner(
        store=types.SimpleNamespace(append=append),
        journal=types.SimpleNamespace(record_removal=dropped.append),
        status_s=120.0,
        on_end_dropped=forgotten.append,
    )


def test_specification_is_dropped_and_the_end_is_kept(appended, monkeypatch):
    """The end is kept for 1.5 times the 120 s in which callers may ask."""
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
