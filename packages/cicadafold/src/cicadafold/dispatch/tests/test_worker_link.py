"""Tests of leases, ends and unconfirmed start commands on one worker."""

import asyncio
import types

import msgspec
import pytest

from cicadafold import clock
from cicadafold.dispatch import inherited_runs
from cicadafold.dispatch import leases
from cicadafold.dispatch import runs
from cicadafold.dispatch import watching
from cicadafold.dispatch import worker_link
from cicadafold import exception
from cicadafold.jobs import model
from cicadafold.jobs import runtime_state
from cicadafold.journal import records
from cicadafold.platform import worker_client
from cicadafold.telemetry import containment

State = runs.RunState


class FakeCalls:
    """A client of a worker that answers with the test's inventory.

    Attributes:
        inventory: Inventory of the next answer.
        deadlines: Lease ends of the renewals, None for no extension.
        acknowledged: Acknowledged numbers of the renewals.
        silent: Whether renewals get no answer.
    """

    def __init__(self):
        self.inventory = worker_client.Inventory(1000, 1, [], [])
        self.deadlines = []
        self.acknowledged = []
        self.silent = False

    async def renew(self, *, acknowledged, deadline_ms, wait_ms, timeout_s):
        """Answers a renewal, unless the worker is silent."""
        self.deadlines.append(deadline_ms)
        self.acknowledged.append(acknowledged)
        if self.silent:
            raise exception.TargetUnreachable(message="Silent.", sent=True)
        return self.inventory


class FakeEvents:
    """Keeps what the link reports.

    Attributes:
        gone: Run attempts that are gone or to be stopped, with the reason.
        ends: Numbers of the ends that were applied.
        tasks: Coroutines that were to be run.
        deferred: Numbers of the ends that cannot be handled yet.
    """

    def __init__(self):
        self.gone = []
        self.ends = []
        self.tasks = []
        self.deferred = set()

    def on_end(self, worker, end, run):
        """Applies an end, to be recorded by batch 3, or defers it."""
        if end.number in self.deferred:
            return None
        self.ends.append(end.number)
        return 3

    def on_run_gone(self, worker, run, reason):
        """Keeps a run attempt that is gone, and removes it."""
        self.gone.append((run, reason))
        worker.remove(run)

    def on_worker_lost(self, worker, lost):
        """Ignores that a worker was lost."""

    def on_runs_lost(self, worker, lost, reason):
        """Keeps the run attempts that ended with their worker."""
        for run in lost:
            self.on_run_gone(worker, run, reason)

    def on_unexpected_run(self, worker, row):
        """Ignores a run attempt of an earlier term."""

    def expected_ms(self, run):
        """Returns the same duration for all run attempts."""
        return 1000.0

    def stop_run(self, run):
        """Keeps a run attempt that is to be stopped."""
        self.gone.append((run, "stop"))

    def on_start_unanswered(self, run):
        """Ignores that a start was not answered."""

    def on_silent(self, worker):
        """Ignores that a worker is silent."""

    def on_answering(self, worker):
        """Ignores that a worker answers."""

    def on_inventory_applied(self, worker):
        """Ignores that an inventory was applied."""

    def on_capacity_changed(self):
        """Ignores that free capacity may have increased."""

    def spawn(self, coroutine):
        """Keeps a coroutine without running it."""
        coroutine.close()
        self.tasks.append(coroutine)


class FakeJournal:
    """A journal whose newest durable batch the test sets."""

    def __init__(self):
        self.durable_batch = 0
        self.batch_written = asyncio.Event()


@pytest.fixture
def job():
    """A job with one step, a gang of two tasks."""
    rule = model.QueueRule(
        name="q", authority="h", prefix="/", pool="p", priority=0
    )
    spec = model.JobSpec(
        id="ab",
        rule=rule,
        payload="",
        steps=(model.StepSpec(tasks=2, gang=True),),
    )
    made = runtime_state.Job(spec=spec, arrived_ms=0.0, wall_offset_ms=0.0)
    made.steps_of(0)
    return made


@pytest.fixture
def link(report):
    """A link to a worker of sixteen cores."""
    worker = runs.Worker(report=report, now_ms=clock.monotonic_ms())
    return worker_link.WorkerLink(
        worker=worker,
        client=FakeCalls(),
        lease=leases.LeaseTimes(max_lease_ms=6000.0),
        events=FakeEvents(),
        journal=FakeJournal(),
        containment=containment.Containment(),
    )


def add_run(link, job, state, index=0):
    """Adds a run attempt of the task at an index to the link's worker."""
    task = job.steps[0][0].tasks[index]
    made = runs.RunAttempt(
        task=task,
        name=task.name,
        attempt=1,
        worker=link.worker,
        room=model.Resources(1000, 10, 0),
        state=state,
        now_ms=clock.monotonic_ms(),
    )
    link.worker.add(made)
    return made


def test_end_is_acknowledged_only_when_recorded(link, job):
    """An end is applied once, and acknowledged when its batch is durable."""
    add_run(link, job, State.RUNNING)
    end = model.EndReport(
        1, job.steps[0][0].tasks[0].name, 1, model.EndKind.DONE, ""
    )
    link.client.inventory = worker_client.Inventory(1000, 1, [], [end])
    asyncio.run(link.renew(wait=True))
    asyncio.run(link.renew(wait=True))
    assert link.events.ends == [1]
    assert not link.acknowledge_recorded()
    assert link.worker.acknowledged == 0
    link.journal.durable_batch = 3
    assert link.acknowledge_recorded()
    assert link.worker.acknowledged == 1


def test_unconfirmed_start_stays_reserved_after_a_restart(link, job):
    """A late start command may reach the new incarnation of the worker."""
    asyncio.run(link.renew(wait=True))
    unconfirmed = add_run(link, job, State.UNCONFIRMED)
    unconfirmed.start_unconfirmed = True
    running = add_run(link, job, State.RUNNING, 1)
    link.client.inventory = worker_client.Inventory(5, 2, [], [])
    asyncio.run(link.renew(wait=True))
    assert link.events.gone == [(running, "worker restarted")]
    assert unconfirmed.key in link.worker.runs
    assert link.worker.scheduling_view().cores_milli == 15000


def test_stop_of_an_unconfirmed_start_is_void_after_a_restart(link, job):
    """The new incarnation does not know that the run attempt was stopped.

    So a stopped or removed run attempt whose start command was not answered
    becomes unconfirmed again, and its resources are reserved.
    """
    asyncio.run(link.renew(wait=True))
    stopped = add_run(link, job, State.STOPPING)
    stopped.start_unconfirmed = True
    stopped.stop_answered_ms = clock.monotonic_ms()
    gone = add_run(link, job, State.STOPPING, 1)
    gone.start_unconfirmed = True
    link.worker.remove(gone)
    link.client.inventory = worker_client.Inventory(5, 2, [], [])
    asyncio.run(link.renew(wait=True))
    assert link.events.gone == []
    states = {run.state for run in link.worker.runs.values()}
    assert set(link.worker.runs) == {stopped.key, gone.key}
    assert states == {State.UNCONFIRMED}
    assert link.worker.scheduling_view().cores_milli == 14000


def test_lease_of_a_silent_worker_is_not_extended(link, job, monkeypatch):
    """Its run attempts are gone once the lease has lapsed."""
    asyncio.run(link.renew(wait=True))
    asyncio.run(link.renew(wait=True))
    run = add_run(link, job, State.RUNNING)
    error = exception.TargetUnreachable(message="Silent.", sent=True)
    link.on_no_answer(error)
    assert link.events.gone == []
    assert not link.worker.usable(clock.monotonic_ms())
    link.client.silent = True
    with pytest.raises(exception.TargetUnreachable):
        asyncio.run(link.renew(wait=False))
    assert link.client.deadlines[-1] is None
    lapse_ms = link.worker.lapse_at_ms
    assert lapse_ms - clock.monotonic_ms() > link.lease.lease_ms
    monkeypatch.setattr(clock, "monotonic_ms", lambda: lapse_ms + 1)
    link.on_no_answer(error)
    assert link.events.gone == [(run, "lapsed")]


def make_watcher(events):
    """Returns a watcher that reports to the given events."""
    return watching.Watcher(
        workers={},
        job_table=None,
        events=events,
        containment=containment.Containment(),
    )


def test_finished_gang_member_is_not_stalled(link, job):
    """A gang member at 100 percent waits for the slower members."""
    run = add_run(link, job, State.RUNNING)
    watcher = make_watcher(None)
    later_ms = run.progress_changed_ms + watching.STALL_MS + 1
    run.percent = 50.0
    assert watcher.is_stalled(run, later_ms)
    run.percent = 100.0
    assert not watcher.is_stalled(run, later_ms)


def test_gang_resumes_from_one_checkpoint(job):
    """All members resume from the checkpoint with the most progress."""
    step = job.steps[0][0]
    step.tasks[0].save_checkpoint("early", 20.0)
    step.tasks[1].save_checkpoint("late", 60.0)
    assert {step.checkpoint_for(task) for task in step.tasks} == {"late"}


@pytest.mark.parametrize(
    ("speed", "draining", "percent", "moved"),
    [
        (1.0, False, 10.0, False),
        (0.2, False, 10.0, True),
        (0.2, False, 80.0, False),
        (1.0, True, 10.0, True),
        (1.0, True, 80.0, False),
    ],
)
def test_late_runs_are_moved_from_slow_or_draining_workers(
    link, job, speed, draining, percent, moved
):
    """Only run attempts that would end too late are stopped."""
    run = add_run(link, job, State.RUNNING)
    worker = link.worker
    now_ms = run.started_ms + 1000.0
    worker.reported_ms = now_ms
    worker.speed = speed
    for other in ("j1", "j2", "j3", "j4"):
        worker.speed_meter.record_rate(other, speed, now_ms)
    run.percent = percent
    if draining:
        worker.report = msgspec.structs.replace(
            worker.report, draining=True, remaining_ms=2000
        )
    watcher = make_watcher(link.events)
    watcher.move_runs_from(worker, now_ms)
    assert bool(link.events.gone) is moved


def test_long_job_does_not_make_its_worker_slow(link, job):
    """A job that is slow on every worker is not moved because of that."""
    run = add_run(link, job, State.RUNNING)
    now_ms = run.started_ms + 1000.0
    meter = link.worker.speed_meter
    for other in ("j1", "j2", "j3", "j4"):
        meter.record_rate(other, 1.0, now_ms)
    meter.record_rate(run.name.job, 0.05, now_ms)
    link.worker.speed = 0.2
    run.percent = 10.0
    watcher = make_watcher(link.events)
    watcher.move_runs_from(link.worker, now_ms)
    assert link.events.gone == []


def test_only_recorded_tasks_wait_for_a_silent_worker(link, job, crashes):
    """A worker that was silent before the term delays only its own tasks."""
    now_ms = clock.monotonic_ms()
    first, second = job.steps[0][0].tasks
    inherited = inherited_runs.InheritedRuns(
        workers={"w": link.worker},
        store=types.SimpleNamespace(last_failed_ms=-1e12),
        term_started_ms=now_ms,
        horizon_ms=6000.0,
        crashes=crashes,
    )
    assert not inherited.all_runs_known("p")
    add_run(link, job, State.UNCONFIRMED)
    link.worker.mark_silent(now_ms, 6000.0)
    link.worker.runs_known = True
    known = records.KnownWorkers(1, 1, inherited.worker_records())
    link.worker.runs_known = False
    table = types.SimpleNamespace(find=job.find_task)
    inherited.load(known, table)
    assert inherited.all_runs_known("p")
    assert first.not_before_ms > now_ms + 6000.0
    assert second.not_before_ms == 0.0
    # The worker has been silent since before this term, so the tasks of the
    # last record are recorded again.
    assert inherited.worker_records()[0].tasks == [first.name]
    link.worker.runs_known = True
    inherited.on_inventory_applied(link.worker)
    assert first.not_before_ms == 0.0


def test_unanswering_worker_delays_its_pool_until_leases_lapse(
    link, crashes, monkeypatch
):
    """Without a record, it may run any inherited task of its pool."""
    now_ms = clock.monotonic_ms()
    inherited = inherited_runs.InheritedRuns(
        workers={"w": link.worker},
        store=types.SimpleNamespace(last_failed_ms=-1e12),
        term_started_ms=now_ms,
        horizon_ms=6000.0,
        crashes=crashes,
    )
    inherited.load(None, None)
    assert not inherited.all_runs_known("p")
    monkeypatch.setattr(clock, "monotonic_ms", lambda: now_ms + 6300.0)
    assert inherited.all_runs_known("p")


def test_tasks_of_a_never_answering_worker_are_recorded_as_unknown(
    link, crashes
):
    """Neither this term nor the last record knows its tasks."""
    inherited = inherited_runs.InheritedRuns(
        workers={"w": link.worker},
        store=types.SimpleNamespace(last_failed_ms=-1e12),
        term_started_ms=clock.monotonic_ms(),
        horizon_ms=6000.0,
        crashes=crashes,
    )
    link.worker.mark_silent(clock.monotonic_ms(), 6000.0)
    assert inherited.worker_records()[0].tasks is None


def test_deferred_end_defers_later_ends(link):
    """The deferred end and all later ones are applied afterwards, in order."""
    name = model.TaskName("ab", 0, 0, 0)
    found = [
        model.EndReport(number, name, number, model.EndKind.DONE, "")
        for number in (1, 2, 3)
    ]
    link.client.inventory = worker_client.Inventory(1000, 1, [], found)
    link.events.deferred = {2}
    asyncio.run(link.renew(wait=False))
    assert link.events.ends == [1]
    assert link.ends_deferred
    link.events.deferred = set()
    asyncio.run(link.renew(wait=False))
    assert link.events.ends == [1, 2, 3]
    assert not link.ends_deferred


def test_unexpected_error_of_one_worker_does_not_end_the_term(link):
    """It left the link, and with it the term of all workers ended."""

    async def scenario():
        answer = link.client.renew
        failing = True

        async def renew(**arguments):
            await asyncio.sleep(0.01)
            if failing:
                raise UnicodeError("label too long")
            return await answer(**arguments)

        link.client.renew = renew
        running = asyncio.create_task(link.run())
        while link.worker.silent_since_ms is None:
            await asyncio.sleep(0.01)
        assert not running.done()
        assert not link.worker.usable(clock.monotonic_ms())
        failing = False
        while link.worker.silent_since_ms is not None:
            await asyncio.sleep(0.01)
        running.cancel()

    asyncio.run(asyncio.wait_for(scenario(), 5.0))


def test_acknowledgement_is_sent_until_it_is_answered(link):
    """A number is not sent again after an answer.

    Ends are numbered anew after a restart. A renewal that reaches the new
    incarnation must not acknowledge its ends.
    """
    asyncio.run(link.renew(wait=True))
    link.worker.acknowledged = 5
    link.client.silent = True
    for wait in (True, False):
        with pytest.raises(exception.TargetUnreachable):
            asyncio.run(link.renew(wait=wait))
    link.client.silent = False
    for wait in (False, True, True):
        asyncio.run(link.renew(wait=wait))
    assert link.client.acknowledged == [0, 5, 0, 0, 5, 0]


def test_acknowledgement_is_not_sent_long_after_the_last_answer(link):
    """The worker may have restarted and ended other tasks in between."""
    asyncio.run(link.renew(wait=True))
    link.worker.acknowledged = 5
    link.worker.clock.updated_ms -= 1000.0
    for _ in range(2):
        asyncio.run(link.renew(wait=True))
    assert link.client.acknowledged == [0, 0, 5]


@pytest.mark.parametrize(
    ("answered_ms", "listed", "kept"),
    [(-50.0, False, False), (50.0, False, True), (-50.0, True, True)],
)
def test_run_of_the_new_incarnation_is_not_removed(
    link, job, answered_ms, listed, kept
):
    """A start command may arrive between the restart and the inventory."""
    link.worker.born_ms = 1
    run = add_run(link, job, State.RUNNING)
    sent_ms = clock.monotonic_ms()
    run.answered_ms = sent_ms + answered_ms
    rows = [model.RunReport(run.name, 1, "", 10.0, 0.0)] if listed else []
    link.on_inventory(worker_client.Inventory(1000, 2, rows, []), sent_ms)
    assert (run.key in link.worker.runs) is kept
    assert link.events.gone == ([] if kept else [(run, "worker restarted")])


def test_job_counts_as_started_once_its_task_is_listed(link, job):
    """A start that was not answered may have been carried out."""
    run = add_run(link, job, State.UNCONFIRMED)
    row = model.RunReport(run.name, run.attempt, "", 10.0, 0.0)
    link.apply_progress([row], clock.monotonic_ms())
    assert job.started
