"""Tests of which workers may be given tasks, according to their records."""

import asyncio
import types

import msgspec
import pytest

from cicadafold import clock
from cicadafold.dispatch import inherited_runs
from cicadafold.dispatch import leases
from cicadafold.dispatch import worker_table
from cicadafold.journal import records
from cicadafold.telemetry import containment


class FakeJournal:
    """A journal that counts its batches and makes them durable on request.

    Attributes:
        batch: Number of the newest batch.
        durable_batch: Number of the newest durable batch.
        listed: Newest records of the workers.
    """

    def __init__(self):
        self.batch = 0
        self.durable_batch = 0
        self.batch_written = asyncio.Event()
        self.listed = None

    def record_workers(self, listed):
        """Keeps the records and returns the number of their batch."""
        self.batch += 1
        self.listed = listed
        return self.batch

    def advance(self):
        """Makes all batches durable."""
        self.durable_batch = self.batch
        self.batch_written.set()
        self.batch_written.clear()


def make_table(crashes):
    """Returns a table without workers, and its journal."""
    journal = FakeJournal()
    now_ms = clock.monotonic_ms()
    table = worker_table.WorkerTable(
        term=2,
        registry=None,
        make_client=lambda report, term: None,
        lease=leases.LeaseTimes(max_lease_ms=6000.0),
        journal=journal,
        term_started_ms=now_ms,
        containment=containment.Containment(),
    )
    table.inherited_runs = inherited_runs.InheritedRuns(
        workers=table.workers,
        store=types.SimpleNamespace(last_failed_ms=-1e12),
        term_started_ms=now_ms,
        horizon_ms=3600.0,
        crashes=crashes,
    )
    table.events = types.SimpleNamespace(spawn=None)
    table.wake = lambda: None
    return table, journal


async def record_durably(table, journal):
    """Records the workers, makes the records durable and opens workers."""
    journal.batch_written = asyncio.Event()
    table.record_workers(table.inherited_runs.worker_records())
    opening = asyncio.create_task(table.open_when_recorded())
    await asyncio.sleep(0)
    journal.advance()
    await asyncio.sleep(0)
    opening.cancel()


def test_new_worker_gets_tasks_once_its_record_is_durable(report, crashes):
    """Otherwise the next scheduler would not know that it may run tasks."""
    table, journal = make_table(crashes)
    table.add(report)
    worker = table.workers["w"]
    worker.fenced = True
    now_ms = clock.monotonic_ms()
    assert not worker.usable(now_ms)
    asyncio.run(record_durably(table, journal))
    assert worker.usable(now_ms)


def test_silent_worker_is_closed_until_its_return_is_recorded(
    report, monkeypatch, crashes
):
    """It stays closed while the durable record names its tasks."""
    table, journal = make_table(crashes)
    table.add(report)
    worker = table.workers["w"]
    worker.fenced = worker.runs_known = True
    asyncio.run(record_durably(table, journal))
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
    asyncio.run(record_durably(table, journal))
    assert worker.usable(now_ms + 900.0)


def test_worker_that_was_open_in_the_last_term_is_opened_at_once(
    report, crashes
):
    """The record of the last term holds until this term writes one."""
    table, _ = make_table(crashes)
    known = records.KnownWorkers(1, 1, [records.KnownWorker(report)])
    table.add(report)
    table.inherited_runs.load(known, types.SimpleNamespace(find=None))
    table.open_inherited()
    assert not table.workers["w"].closed_to_starts


@pytest.mark.parametrize("entry_first", [True, False])
def test_worker_of_another_kind_is_used_once_entry_and_inventory_agree(
    report, crashes, entry_first
):
    """It got tasks of its former kind until its new entry was read."""
    table, journal = make_table(crashes)
    table.add(report)
    worker = table.workers["w"]
    worker.fenced = True
    worker.born_ms = report.born_ms
    asyncio.run(record_durably(table, journal))
    now_ms = clock.monotonic_ms()
    assert worker.usable(now_ms)
    reborn = msgspec.structs.replace(
        report, born_ms=report.born_ms + 1, labels=("b", "r1-1")
    )

    def read_entry():
        table.on_report(reborn)

    def read_inventory():
        worker.born_ms = reborn.born_ms

    first, second = read_entry, read_inventory
    if not entry_first:
        first, second = second, first
    first()
    assert not worker.usable(now_ms)
    second()
    assert worker.usable(now_ms)
    assert worker.labels == {"b", "r1-1"}


def test_worker_whose_entry_tells_no_start_is_used(report, crashes):
    """A platform on which workers never return under their names."""
    table, journal = make_table(crashes)
    table.add(msgspec.structs.replace(report, born_ms=0))
    worker = table.workers["w"]
    worker.fenced = True
    worker.born_ms = 7
    asyncio.run(record_durably(table, journal))
    assert worker.usable(clock.monotonic_ms())
