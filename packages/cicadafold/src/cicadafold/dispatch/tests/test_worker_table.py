"""Tests of which workers may be given runs, by what is recorded."""

import asyncio
import types

from cicadafold import clock
from cicadafold.dispatch import inherited_runs
from cicadafold.dispatch import worker_link
from cicadafold.dispatch import worker_table
from cicadafold.journal import records


class FakeJournal:
    """Counts the records of workers.

    Attributes:
        listed: Newest record.
    """

    def __init__(self):
        self.batch = 0
        self.durable_batch = 0
        self.batch_written = asyncio.Event()
        self.listed = None

    def record_workers(self, listed):
        """Takes a record and returns its batch."""
        self.batch += 1
        self.listed = listed
        return self.batch

    def advance(self):
        """Makes all records durable."""
        self.durable_batch = self.batch
        self.batch_written.set()
        self.batch_written.clear()


def make_table():
    """Returns an empty table of workers and its journal."""
    journal = FakeJournal()
    now_ms = clock.monotonic_ms()
    table = worker_table.WorkerTable(
        term=2,
        registry=None,
        make_client=lambda report, term: None,
        lease=worker_link.LeaseTimes(max_lease_ms=6000.0),
        journal=journal,
        term_started_ms=now_ms,
    )
    table.inherited_runs = inherited_runs.InheritedRuns(
        workers=table.workers,
        store=types.SimpleNamespace(last_failed_ms=-1e12),
        term_started_ms=now_ms,
        lease_ms=3600.0,
    )
    table.events = types.SimpleNamespace(spawn=None)
    table.wake = lambda: None
    return table, journal


async def settle(table, journal):
    """Records the workers and makes the record durable."""
    journal.batch_written = asyncio.Event()
    table.record_workers(table.inherited_runs.worker_records())
    opening = asyncio.create_task(table.open_when_recorded())
    await asyncio.sleep(0)
    journal.advance()
    await asyncio.sleep(0)
    opening.cancel()


def test_worker_is_used_once_that_is_recorded(report):
    """The next scheduler must not take it for one that runs nothing new."""
    table, journal = make_table()
    table.add(report)
    worker = table.workers["w"]
    worker.fenced = True
    now_ms = clock.monotonic_ms()
    assert not worker.usable(now_ms)
    asyncio.run(settle(table, journal))
    assert worker.usable(now_ms)


def test_silent_worker_is_closed_until_its_return_is_recorded(
    report, monkeypatch
):
    """A record that names its tasks holds until a newer one is durable."""
    table, journal = make_table()
    table.add(report)
    worker = table.workers["w"]
    worker.fenced = True
    asyncio.run(settle(table, journal))
    now_ms = clock.monotonic_ms()
    worker.mark_silent(now_ms, 6000.0)
    table.record_workers(table.inherited_runs.worker_records())
    assert not worker.closed_to_starts
    monkeypatch.setattr(clock, "monotonic_ms", lambda: now_ms + 900.0)
    table.record_workers(table.inherited_runs.worker_records())
    assert worker.closed_to_starts
    assert journal.listed[0].tasks == []
    worker.mark_answering()
    assert not worker.usable(now_ms + 900.0)
    asyncio.run(settle(table, journal))
    assert worker.usable(now_ms + 900.0)


def test_worker_that_the_last_term_used_is_used_at_once(report):
    """The record of the last term holds until this one has its own."""
    table, _ = make_table()
    known = records.KnownWorkers(1, 1, [records.KnownWorker(report)])
    table.add(report)
    table.inherited_runs.load(known, types.SimpleNamespace(find=None))
    table.open_inherited()
    assert not table.workers["w"].closed_to_starts
