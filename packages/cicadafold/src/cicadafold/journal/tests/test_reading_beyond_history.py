"""Tests of reading a partition for longer than the store keeps its history."""

import asyncio
import math

from cicadafold import exception
from cicadafold.journal import reader
from cicadafold.journal import stored_records
from cicadafold.platform import newest_reading
from cicadafold.platform import store_answers

PAGES = 40
HISTORY_S = 20.0
PAGE_S = 1.0


class ForgettingStore:
    """A store to which a record is appended each second, and kept for 20 s.

    Attributes:
        now_s: Time in seconds, which passes as pages are read; also the
            offset at which the partition ends.
    """

    def __init__(self):
        self.now_s = 1000.0

    @property
    def end(self):
        """Offset of the next record."""
        return int(self.now_s)

    async def newest_page(self, topic, partition, after, *, on_progress):
        """Returns the next of ``PAGES`` pages."""
        end = self.end
        self.now_s += PAGE_S
        number = int(after or 0) + 1
        record = store_answers.NewestRecord(f"{number}", b"x", number)
        more = f"{number}" if number < PAGES else ""
        return store_answers.NewestPage(end, [record], more)

    async def read(self, topic, partition, start, *, on_progress=None):
        """Returns the records from an offset on, unless they are deleted."""
        if start < self.now_s - HISTORY_S:
            raise exception.LogTrimmed()
        return store_answers.Page(
            self.end,
            [(f"r{offset}", b"x") for offset in range(start, self.end)],
        )


def test_partition_is_followed_while_it_is_read(monkeypatch):
    """Its next records were deleted by then, and it was read anew for ever."""
    store = ForgettingStore()
    monkeypatch.setattr(newest_reading, "now_s", lambda: store.now_s)

    async def scenario():
        state = reader.JournalState(
            {},
            set(),
            {},
            {},
            stored_records.StoredRecords(),
            stored_records.StoredRecords(),
        )
        await reader.read_jobs(store, 0, state, None)
        return state

    state = asyncio.run(scenario())
    page = asyncio.run(store.read("t", 0, state.offsets[0]))
    assert page.end == store.end
    assert state.offsets[0] > 1000
    assert math.isclose(store.now_s, 1000.0 + PAGES * PAGE_S)
