"""Tests of when the leases of a silent worker are taken as lapsed."""

import types

import pytest

from cicadafold import clock
from cicadafold.dispatch import leases
from cicadafold.dispatch import runs
from cicadafold.dispatch import worker_link
from cicadafold.platform import worker_client
from cicadafold.telemetry import containment

# Reading of the worker's clock in its answers.
CLOCK_MS = 1000


@pytest.fixture
def link(report):
    """A link of a new term to a worker that has not answered yet."""
    ignore = types.SimpleNamespace(
        on_answering=lambda worker: None,
        on_capacity_changed=lambda: None,
        on_inventory_applied=lambda worker: None,
        on_runs_lost=lambda worker, lost, reason: None,
        on_worker_lost=lambda worker, lost: None,
    )
    return worker_link.WorkerLink(
        worker=runs.Worker(report=report, now_ms=clock.monotonic_ms()),
        client=None,
        lease=leases.LeaseTimes(max_lease_ms=6000.0),
        events=ignore,
        journal=types.SimpleNamespace(durable_batch=0),
        containment=containment.Containment(),
    )


def answer(link, *, born_ms):
    """Applies an inventory without runs, and returns its time."""
    now_ms = clock.monotonic_ms()
    link.on_inventory(
        worker_client.Inventory(CLOCK_MS, born_ms, [], []), now_ms
    )
    return now_ms


def test_leases_of_the_last_term_outlast_the_first_answer_to_the_next(link):
    """They counted as lapsed at once if the worker then fell silent.

    They may be the longest ones: the worker may have restarted, and taken a
    deadline by the clock of its last incarnation.
    """
    now_ms = answer(link, born_ms=1)
    link.worker.mark_silent(now_ms, link.lease.max_lease_ms)
    assert link.worker.lapse_at_ms >= now_ms + link.lease.max_lease_ms


def test_new_incarnation_may_hold_the_longest_lease(link):
    """A late call had a deadline by the clock of the last incarnation.

    The tasks counted as lapsed after a lease of the usual length.
    """
    answer(link, born_ms=1)
    now_ms = answer(link, born_ms=2)
    link.worker.mark_silent(now_ms, link.lease.max_lease_ms)
    assert link.worker.lapse_at_ms >= now_ms + link.lease.max_lease_ms
