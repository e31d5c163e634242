"""Tests of dropping the journal records of ended jobs."""

import asyncio
import types

import pytest

from cicadafold import clock
from cicadafold.dispatch import record_cleanup
from cicadafold import exception
from cicadafold.journal import stored_records
from cicadafold.telemetry import containment

DROPPED = [("a/ab", b"")]


class Cleaner(record_cleanup.RecordCleaner):
    """A record cleaner on fakes that list what it does.

    Attributes:
        appended: Partition and entries of each append to the store.
        failing: Partitions whose appends get no answer.
        forgotten: Jobs whose end was dropped.
        removed: Jobs whose removal was recorded.
    """

    def __init__(self):
        self.appended = []
        self.failing = set()
        self.forgotten = []
        self.removed = []
        super().__init__(
            store=types.SimpleNamespace(append=self.append),
            journal=types.SimpleNamespace(record_removal=self.removed.append),
            status_s=120.0,
            on_end_dropped=self.forgotten.append,
            containment=containment.Containment(),
        )
        self.stored = stored_records.StoredRecords()
        self.has_read_up_to = lambda time_ms: True

    async def append(self, topic, partition, entries):
        """Lists an append, or raises the error of a lost answer."""
        if partition in self.failing:
            raise exception.LinkLost(message="Lost.", remedy="")
        self.appended.append((partition, entries))

    def read(self, partition, key="a/ab"):
        """Reads a record of the job from a partition, as the tail does."""
        self.stored.add("ab", partition, key)
        self.on_stored("ab", partition, key)

    def read_drops(self):
        """Reads the records that were appended, as the tail does."""
        for partition, entries in self.appended:
            for key, _ in entries:
                self.stored.discard("ab", partition, key)

    def drop_all(self):
        """Drops the pending records once, in all partitions."""

        async def drop():
            for partition in list(self.pending):
                await self.drop(partition)

        asyncio.run(drop())


@pytest.fixture
def cleaner():
    """Returns a cleaner of a job that has ended, stored in partition 3."""
    found = Cleaner()
    found.read(3)
    found.add("ab")
    return found


def test_specification_is_dropped_and_the_end_is_kept(cleaner):
    """The end is kept for 1.5 times the 120 s in which callers may ask."""
    cleaner.read(3, "x/ab")
    cleaner.drop_all()
    assert cleaner.appended == [(3, [*DROPPED, ("x/ab", b"")])]
    cleaner.read_drops()
    now_ms = clock.monotonic_ms()
    cleaner.drop_ends(now_ms + 121_000.0)
    assert cleaner.forgotten == cleaner.removed == []
    cleaner.drop_ends(now_ms + 181_000.0)
    assert cleaner.forgotten == cleaner.removed == ["ab"]


def test_record_of_a_late_submission_is_dropped_before_the_end(cleaner):
    """The record stayed, and without the end the job read as new."""
    cleaner.drop_all()
    cleaner.read_drops()
    cleaner.read(1)
    cleaner.drop_ends(clock.monotonic_ms() + 181_000.0)
    assert cleaner.forgotten == []
    cleaner.drop_all()
    assert cleaner.appended[1:] == [(1, DROPPED)]
    cleaner.read_drops()
    cleaner.drop_ends(clock.monotonic_ms() + 181_000.0)
    assert cleaner.forgotten == ["ab"]


def test_end_that_cannot_be_dropped_leaves_the_others(cleaner):
    """The records of all jobs that ended later stayed in the journal."""
    cleaner.read(3)
    cleaner.add("cd")
    cleaner.drop_all()
    cleaner.read_drops()

    def forget(job):
        if job == "ab":
            raise KeyError(job)
        cleaner.forgotten.append(job)

    cleaner.on_end_dropped = forget
    cleaner.drop_ends(clock.monotonic_ms() + 181_000.0)
    cleaner.drop_ends(clock.monotonic_ms() + 182_000.0)
    assert cleaner.forgotten == ["cd"]


def test_late_submission_prolongs_the_time_of_the_end(cleaner, monkeypatch):
    """A second repetition may follow as late after the first one."""
    cleaner.drop_all()
    now_ms = clock.monotonic_ms()
    monkeypatch.setattr(clock, "monotonic_ms", lambda: now_ms + 100_000.0)
    cleaner.read(1)
    cleaner.drop_all()
    cleaner.read_drops()
    cleaner.drop_ends(now_ms + 279_000.0)
    assert cleaner.forgotten == []
    cleaner.drop_ends(now_ms + 281_000.0)
    assert cleaner.forgotten == ["ab"]


def test_record_stays_scheduled_where_dropping_it_failed(cleaner):
    """A job with records in two partitions counted as dropped after one."""
    cleaner.read(1)
    cleaner.failing.add(1)
    cleaner.drop_all()
    cleaner.read_drops()
    cleaner.drop_ends(clock.monotonic_ms() + 181_000.0)
    assert cleaner.forgotten == []
    cleaner.failing.clear()
    cleaner.drop_all()
    assert cleaner.appended == [(3, DROPPED), (1, DROPPED)]


def test_end_is_kept_while_the_journal_cannot_be_read(cleaner):
    """A late submission may be stored that has not been read yet."""
    cleaner.drop_all()
    cleaner.read_drops()
    now_ms = clock.monotonic_ms()
    read_up_to_ms = now_ms + 179_000.0
    cleaner.has_read_up_to = lambda time_ms: time_ms < read_up_to_ms
    cleaner.drop_ends(now_ms + 300_000.0)
    assert cleaner.forgotten == []
    read_up_to_ms = now_ms + 182_000.0
    cleaner.drop_ends(now_ms + 300_000.0)
    assert cleaner.forgotten == ["ab"]


def test_cancellation_of_an_unknown_job_is_kept_and_dropped(cleaner):
    """The record of its job may come late; the cancellation stayed forever."""
    cleaner.ends.clear()
    cleaner.pending.clear()
    cleaner.stored.discard("ab", 3, "a/ab")
    cleaner.read(2, "x/ab")
    cleaner.add_stray("ab")
    now_ms = clock.monotonic_ms()
    cleaner.drop_strays(now_ms + 179_000.0)
    assert cleaner.pending == {}
    cleaner.drop_strays(now_ms + 181_000.0)
    assert cleaner.forgotten == ["ab"]
    cleaner.drop_all()
    assert cleaner.appended == [(2, [("x/ab", b"")])]


def test_cancellation_of_a_job_that_becomes_known_is_kept(cleaner):
    """Without it, the next term would run the cancelled job."""
    cleaner.ends.clear()
    cleaner.add_stray("ab")
    cleaner.on_known("ab")
    cleaner.drop_strays(clock.monotonic_ms() + 181_000.0)
    assert cleaner.forgotten == []
