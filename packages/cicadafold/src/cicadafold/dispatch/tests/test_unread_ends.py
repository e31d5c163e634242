"""Tests of workers that hold ends which have not been read yet."""

import types

import pytest

from cicadafold import clock
from cicadafold.dispatch import inherited_runs
from cicadafold.dispatch import leases
from cicadafold.dispatch import runs
from cicadafold.dispatch import worker_link
from cicadafold.jobs import model
from cicadafold.platform import worker_client
from cicadafold.telemetry import containment

SENT_MS = 1000.0
LIMIT = worker_client.MAX_LISTED_ENDS
LEASE_MS = 3600.0


def name_of(index):
    """Returns the name of a task."""
    return model.TaskName("ab", 0, 0, index)


def done(*numbers):
    """Returns the ends of tasks that are done, by number."""
    return [
        model.EndReport(number, name_of(number), 1, model.EndKind.DONE, "")
        for number in numbers
    ]


class Events:
    """Keeps what the link reports.

    Attributes:
        gone: Numbers of the tasks whose run attempts were taken as gone.
        applied: Function called after each inventory.
        deferred: Numbers of the ends that cannot be handled yet.
    """

    def __init__(self):
        self.gone = []
        self.applied = lambda worker: None
        self.deferred = set()

    def on_end(self, worker, end, run):
        """Applies an end, or defers it."""
        return None if end.number in self.deferred else 1

    def on_run_gone(self, worker, run, reason):
        """Keeps a run attempt that is gone, and removes it."""
        self.gone.append(run.name.index)
        worker.remove(run)

    def on_runs_lost(self, worker, lost, reason):
        """Keeps the run attempts that ended with their worker."""
        for run in lost:
            self.on_run_gone(worker, run, reason)

    def on_inventory_applied(self, worker):
        """Passes on that an inventory was applied."""
        self.applied(worker)

    def on_worker_lost(self, worker, lost):
        """Ignores that a worker was lost."""

    def on_answering(self, worker):
        """Ignores that a worker answers."""

    def on_capacity_changed(self):
        """Ignores that free capacity may have increased."""


@pytest.fixture
def link(report):
    """Returns the link of a worker that answers."""
    return worker_link.WorkerLink(
        worker=runs.Worker(report=report, now_ms=0.0),
        client=None,
        lease=leases.LeaseTimes(max_lease_ms=6000.0),
        events=Events(),
        journal=types.SimpleNamespace(durable_batch=0),
        containment=containment.Containment(),
    )


@pytest.fixture
def inherited(link, crashes):
    """Returns the inherited runs of a term with that worker alone."""
    found = inherited_runs.InheritedRuns(
        workers={"w": link.worker},
        store=types.SimpleNamespace(last_failed_ms=-1e12),
        term_started_ms=clock.monotonic_ms(),
        horizon_ms=LEASE_MS,
        crashes=crashes,
    )
    found.load(None, None)
    link.events.applied = found.on_inventory_applied
    return found


def add_run(link, index, state=runs.RunState.RUNNING):
    """Adds a run attempt that the worker has confirmed earlier."""
    run = runs.RunAttempt(
        task=None,
        name=name_of(index),
        attempt=1,
        worker=link.worker,
        room=model.Resources(20, 8, 0),
        state=state,
        now_ms=0.0,
        team="",
    )
    run.answered_ms = 0.0
    run.stop_answered_ms = 0.0 if state is runs.RunState.STOPPING else None
    link.worker.add(run)
    return run


def answer(link, ends, *, born_ms=1):
    """Applies an inventory without running tasks."""
    inventory = worker_client.Inventory(1000, born_ms, [], ends)
    link.on_inventory(inventory, SENT_MS)


@pytest.mark.parametrize(
    "state", [runs.RunState.RUNNING, runs.RunState.STOPPING]
)
def test_run_beyond_a_full_list_of_ends_is_kept(link, state):
    """It was taken as gone, and its task started again, after it was done."""
    add_run(link, LIMIT + 1, state)
    answer(link, done(*range(1, LIMIT + 1)))
    assert link.events.gone == []
    answer(link, done(LIMIT + 1))
    assert link.worker.runs == {}
    assert link.events.gone == []


def test_unlisted_run_is_gone_once_the_list_is_complete(link):
    """A worker that has lost a run attempt lists no end of it."""
    add_run(link, LIMIT + 5)
    answer(link, done(*range(1, LIMIT + 1)))
    answer(link, done(*range(2, LIMIT + 1)))
    assert link.events.gone == [LIMIT + 5]


def test_run_that_waits_for_its_end_does_not_count_as_stalled(link):
    """Its worker was quarantined, although it had ended the task in time."""
    run = add_run(link, LIMIT + 1)
    before_ms = clock.monotonic_ms()
    answer(link, done(*range(1, LIMIT + 1)))
    assert run.progress_changed_ms >= before_ms


def test_new_incarnation_with_a_full_list_keeps_its_runs(link):
    """A run attempt may have been started and ended there meanwhile."""
    answer(link, [])
    add_run(link, LIMIT + 1)
    answer(link, done(*range(1, LIMIT + 1)), born_ms=2)
    assert link.events.gone == []
    answer(link, [], born_ms=2)
    assert link.events.gone == [LIMIT + 1]


def test_inherited_tasks_wait_until_all_ends_are_read(
    link, inherited, monkeypatch
):
    """A new scheduler started tasks whose ends were beyond the first 500.

    That the leases of earlier terms have lapsed says nothing about ends.
    """
    answer(link, done(*range(1, LIMIT + 1)))
    assert not inherited.all_runs_known("p")
    now_ms = clock.monotonic_ms()
    monkeypatch.setattr(clock, "monotonic_ms", lambda: now_ms + 60_000.0)
    assert not inherited.all_runs_known("p")
    answer(link, done(LIMIT + 1))
    assert inherited.all_runs_known("p")


def test_recorded_tasks_wait_until_all_ends_are_read(
    link, inherited, monkeypatch
):
    """A worker returns, with many ends, that was silent at the change.

    Its pool does not wait for it, as the record names its tasks.
    """
    now_ms = clock.monotonic_ms()
    inherited.possible_runs["w"] = []
    assert inherited.all_runs_known("p")
    monkeypatch.setattr(clock, "monotonic_ms", lambda: now_ms + 60_000.0)
    answer(link, done(*range(1, LIMIT + 1)))
    assert not inherited.all_runs_known("p")
    assert inherited.worker_records()[0].tasks is None
    answer(link, done(LIMIT + 1))
    assert inherited.all_runs_known("p")


def test_inherited_tasks_wait_for_ends_behind_a_deferred_one(link, inherited):
    """A new scheduler started tasks again that a worker had listed as done.

    Their ends were behind that of a job whose record it had not read yet.
    """
    link.events.deferred = {1}
    answer(link, done(1, 2))
    assert not inherited.all_runs_known("p")
    link.events.deferred = set()
    answer(link, done(1, 2))
    assert inherited.all_runs_known("p")


def test_unread_ends_of_a_lapsed_worker_are_not_waited_for(link, inherited):
    """Ends that are acknowledged only after a lapse do not count."""
    answer(link, done(*range(1, LIMIT + 1)))
    link.worker.mark_silent(clock.monotonic_ms(), 0.0)
    link.worker.lapsed = True
    inherited.leases_lapsed_ms = 0.0
    assert inherited.all_runs_known("p")


def test_leases_are_counted_from_the_first_calls(link, crashes, monkeypatch):
    """The last scheduler may extend them while the journal is read.

    Tasks of a worker that this term does not reach were started elsewhere
    before they had ended there, if the recovery took long.
    """
    now_ms = clock.monotonic_ms()
    found = inherited_runs.InheritedRuns(
        workers={"w": link.worker},
        store=types.SimpleNamespace(last_failed_ms=-1e12),
        term_started_ms=now_ms,
        horizon_ms=LEASE_MS,
        crashes=crashes,
    )
    monkeypatch.setattr(clock, "monotonic_ms", lambda: now_ms + 2000.0)
    found.load(None, None)
    lapse_ms = 1.02 * LEASE_MS + 150.0
    monkeypatch.setattr(
        clock, "monotonic_ms", lambda: now_ms + lapse_ms + 1900.0
    )
    assert not found.all_runs_known("p")
    monkeypatch.setattr(
        clock, "monotonic_ms", lambda: now_ms + lapse_ms + 2100.0
    )
    assert found.all_runs_known("p")
