"""Tests of workers that several terms in a row have not heard."""

import asyncio
import types

import msgspec
import pytest

from cicadafold import clock
from cicadafold.dispatch import leases
from cicadafold.dispatch import runs
from cicadafold.dispatch.tests import test_worker_table
from cicadafold.dispatch import unheard_workers
from cicadafold.dispatch import worker_link
from cicadafold.election import claim_history
from cicadafold.election import terms
from cicadafold.journal import records
from cicadafold.telemetry import containment

NO_JOBS = types.SimpleNamespace(find=lambda name: None)


def make_history(*claimed, spares=True):
    """Returns a history of the claims of some terms."""
    history = claim_history.ClaimHistory()
    for term in claimed:
        history.add(
            terms.Claim("m", "10.0.0.1:1", term, spares_unheard=spares)
        )
    return history


def load(history, known):
    """Returns the unheard workers of term 9 after a record is loaded."""
    found = unheard_workers.UnheardWorkers(term=9, claims=history)
    found.load(known)
    return found


def record_of(report, term):
    """Returns the record of a term that has not heard one worker."""
    worker = records.KnownWorker(report, None, 1, 5, 700)
    return records.KnownWorkers(term, 1, [worker])


def test_lapse_counts_from_the_first_term_that_did_not_hear_a_worker(report):
    """Each change of the scheduler began the wait anew."""
    history = make_history(3, 5, 7, 9)
    history.learned_ms.update({5: 1000.0, 7: 5000.0, 9: 9000.0})
    found = load(history, record_of(report, 7))
    assert found.granted_until_ms("w") == 1000.0


def test_claim_read_at_the_start_of_a_process_does_not_count(report):
    """The scheduler before it may have asked this process for no proof."""
    found = load(make_history(5, 9), record_of(report, 5))
    assert found.granted_until_ms("w") >= clock.monotonic_ms() - 1000.0


@pytest.mark.parametrize(
    "history",
    [
        make_history(3, 5, 7, 9, spares=False),
        make_history(7, 9),
        make_history(9),
    ],
    ids=["earlier release", "unknown claims", "new process"],
)
def test_unknown_term_in_between_may_have_granted_leases(history, report):
    """It left no record, and the leases were taken as lapsed."""
    found = load(history, record_of(report, 5))
    assert found.granted_until_ms("w") is None
    assert found.lapsed_ms == {}
    assert found.since == {"w": 9}


def test_old_claim_announced_late_does_not_close_a_gap():
    """Claims between it and the first one read were taken as known."""
    history = make_history(7, 5, 9)
    assert not history.all_spare_unheard(after=5, before=9)


def test_claims_before_unread_records_do_not_count():
    """The store had deleted claims before they were read."""
    history = make_history(3, 5)
    history.restart()
    history.add(terms.Claim("m", "10.0.0.1:1", 9, spares_unheard=True))
    assert not history.all_spare_unheard(after=5, before=9)


def test_returned_worker_gets_leases_once_that_is_recorded(report, crashes):
    """The next term took the leases as lapsed that this one had extended."""
    table, journal = test_worker_table.make_table(crashes)
    table.inherited_runs.unheard.term = 2
    table.add(report)
    worker = table.workers["w"]
    worker.mark_silent(clock.monotonic_ms() - 1000.0, 6000.0)
    asyncio.run(test_worker_table.record_durably(table, journal))
    assert journal.listed[0].unheard_since
    assert worker.closed_to_leases and worker.closed_to_starts
    worker.mark_answering()
    worker.fenced = True
    table.on_answering_changed(worker, answers=True)
    assert worker.closed_to_leases
    asyncio.run(test_worker_table.record_durably(table, journal))
    assert not journal.listed[0].unheard_since
    assert not worker.closed_to_leases and not worker.closed_to_starts


def test_worker_that_was_recorded_as_unheard_starts_without_leases(
    report, crashes
):
    """A term that left no record had extended the leases of the worker."""
    table, _ = test_worker_table.make_table(crashes)
    table.add(report)
    table.inherited_runs.load(record_of(report, 1), NO_JOBS)
    table.open_inherited()
    worker = table.workers["w"]
    assert worker.closed_to_leases and worker.closed_to_starts


@pytest.mark.parametrize("closed", [False, True])
def test_no_lease_goes_to_a_worker_recorded_as_unheard(report, closed):
    """Its renewals only ask for the inventory."""
    sent = []

    async def renew(**options):
        sent.append(options["deadline_ms"])
        raise ConnectionError

    worker = runs.Worker(report=report, now_ms=clock.monotonic_ms())
    worker.clock.update(1000)
    worker.closed_to_leases = closed
    link = worker_link.WorkerLink(
        worker=worker,
        client=types.SimpleNamespace(renew=renew),
        lease=leases.LeaseTimes(max_lease_ms=6000.0),
        events=None,
        journal=None,
        containment=containment.Containment(),
    )
    with pytest.raises(ConnectionError):
        asyncio.run(link.renew(wait=True))
    assert (sent == [None]) == closed


@pytest.mark.parametrize(
    "fields", [(-1, 0), (1 << 40, 0), (5, -1), (5, 1 << 40)]
)
def test_record_with_odd_terms_or_times_is_refused(report, fields):
    """A lapse in the past, or a term beyond all others, was believed."""
    worker = records.KnownWorker(report, None, 1, *fields)
    body = records.encode(records.KnownWorkers(1, 1, [worker]))
    with pytest.raises(msgspec.MsgspecError):
        records.decode_workers(body)


def test_record_of_an_earlier_release_is_read(report):
    """A cell in which releases are mixed lost the record."""
    worker = msgspec.to_builtins(records.KnownWorker(report, None, 1))[:3]
    body = msgspec.msgpack.encode([1, 1, [worker], 0, 1])
    assert records.decode_workers(body).workers[0].unheard_since == 0


def test_wait_for_silent_workers_is_logged_once(report, crashes, caplog):
    """Nothing told operators why no job was started for seconds."""
    table, _ = test_worker_table.make_table(crashes)
    table.add(report)
    inherited = table.inherited_runs
    inherited.crashes.job_table = types.SimpleNamespace(active={})
    inherited.report_wait()
    assert inherited.awaited_workers() == {}
    table.workers["w"].mark_silent(clock.monotonic_ms() - 1000.0, 6000.0)
    with caplog.at_level("WARNING"):
        inherited.report_wait()
        inherited.report_wait()
    assert caplog.text.count("Some workers are silent") == 1
    assert list(inherited.awaited_workers()) == ["w"]
