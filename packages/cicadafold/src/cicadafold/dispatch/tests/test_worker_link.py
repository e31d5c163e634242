"""Tests of leases, ends and doubtful orders on one worker."""

import asyncio
import types

import msgspec
import pytest

from cicadafold import clock
from cicadafold.dispatch import inherited_runs
from cicadafold.dispatch import runs
from cicadafold.dispatch import watching
from cicadafold.dispatch import worker_link
from cicadafold import exception
from cicadafold.jobs import model
from cicadafold.jobs import runtime_state
from cicadafold.journal import records
from cicadafold.platform import worker_client

State = runs.RunState


class FakeCalls:
    """A worker that answers what the test says."""

    def __init__(self):
        self.inventory = worker_client.Inventory(1000, 1, [], [])
        self.deadlines = []
        self.acknowledged = []
        self.silent = False

    async def renew(self, *, acknowledged, deadline_ms, wait_ms, timeout_s):
        """Answers a renewal."""
        self.deadlines.append(deadline_ms)
        self.acknowledged.append(acknowledged)
        if self.silent:
            raise exception.TargetUnreachable(message="Silent.", sent=True)
        return self.inventory


class FakeEvents:
    """Notes what the link reports."""

    def __init__(self):
        self.gone = []
        self.ends = []
        self.tasks = []
        self.deferred = set()

    def on_end(self, worker, end, run):
        """Takes an end; batch 3 will record it."""
        if end.number in self.deferred:
            return None
        self.ends.append(end.number)
        return 3

    def on_run_gone(self, worker, run, reason):
        """Takes a run that is gone."""
        self.gone.append((run, reason))
        worker.remove(run)

    def on_unexpected_run(self, worker, row):
        """Ignores a run of an earlier term."""

    def expected_ms(self, run):
        """Returns the same duration for all runs."""
        return 1000.0

    def stop_run(self, run):
        """Notes that a run should be stopped."""
        self.gone.append((run, "stop"))

    def on_silent(self, worker):
        """Ignores that a worker is silent."""

    def on_answering(self, worker):
        """Ignores that a worker answers."""

    def on_capacity_changed(self):
        """Ignores that room may be free."""

    def spawn(self, work):
        """Keeps a coroutine, not run here."""
        work.close()
        self.tasks.append(work)


class FakeJournal:
    """A journal that has recorded some batches."""

    def __init__(self):
        self.durable_batch = 0
        self.batch_written = asyncio.Event()


@pytest.fixture
def job():
    """A job with one gang of two tasks."""
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
        lease=worker_link.LeaseTimes(max_lease_ms=6000.0),
        events=FakeEvents(),
        journal=FakeJournal(),
    )


def add_run(link, job, state, index=0):
    """Adds a run of a task to the link's worker."""
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
    """An end is handled once, and acknowledged after its batch."""
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


def test_doubtful_order_keeps_its_room_in_a_new_life(link, job):
    """A late order may reach the next life, so its room stays taken."""
    asyncio.run(link.renew(wait=True))
    doubtful = add_run(link, job, State.UNCONFIRMED)
    doubtful.start_unconfirmed = True
    running = add_run(link, job, State.RUNNING, 1)
    link.client.inventory = worker_client.Inventory(5, 2, [], [])
    asyncio.run(link.renew(wait=True))
    assert link.events.gone == [(running, "reborn")]
    assert doubtful.key in link.worker.runs
    assert link.worker.scheduling_view().cores_milli == 15000


def test_stop_of_an_old_life_settles_no_order_in_a_new_one(link, job):
    """An unanswered order that was stopped is doubtful again when reborn."""
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


def test_silent_worker_is_not_renewed_and_lapses(link, job, monkeypatch):
    """Probes of a silent worker do not extend its lease."""
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


def test_member_that_has_done_its_part_does_not_stand_still(link, job):
    """A gang's member at 100 percent waits for the slower ones."""
    run = add_run(link, job, State.RUNNING)
    watcher = watching.Watcher(workers={}, table=None, events=None)
    later_ms = run.progress_changed_ms + watching.STALL_MS + 1
    run.percent = 50.0
    assert watcher.is_stalled(run, later_ms)
    run.percent = 100.0
    assert not watcher.is_stalled(run, later_ms)


def test_gang_resumes_from_one_checkpoint(job):
    """All members resume from the checkpoint of the one furthest on."""
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
def test_runs_leave_slow_and_leaving_workers(
    link, job, speed, draining, percent, moved
):
    """Only what would end too late is stopped and started elsewhere."""
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
    watcher = watching.Watcher(workers={}, table=None, events=link.events)
    watcher.move_runs_from(worker, now_ms)
    assert bool(link.events.gone) is moved


def test_long_job_does_not_make_its_worker_slow(link, job):
    """A job that is slow everywhere is not moved for its own rate."""
    run = add_run(link, job, State.RUNNING)
    now_ms = run.started_ms + 1000.0
    meter = link.worker.speed_meter
    for other in ("j1", "j2", "j3", "j4"):
        meter.record_rate(other, 1.0, now_ms)
    meter.record_rate(run.name.job, 0.05, now_ms)
    link.worker.speed = 0.2
    run.percent = 10.0
    watcher = watching.Watcher(workers={}, table=None, events=link.events)
    watcher.move_runs_from(link.worker, now_ms)
    assert link.events.gone == []


def test_only_suspect_tasks_wait_for_a_silent_worker(link, job, monkeypatch):
    """A worker that was silent before the term holds up its tasks only."""
    now_ms = clock.monotonic_ms()
    first, second = job.steps[0][0].tasks
    held = inherited_runs.InheritedRuns(
        workers={"w": link.worker},
        store=types.SimpleNamespace(last_failed_ms=-1e12),
        term_started_ms=now_ms,
        lease_ms=6000.0,
    )
    assert not held.all_runs_known("p")
    add_run(link, job, State.UNCONFIRMED)
    link.worker.mark_silent(now_ms, 6000.0)
    link.worker.fenced = True
    known = records.KnownWorkers(1, 1, held.worker_records())
    link.worker.fenced = False
    table = types.SimpleNamespace(find=job.find_task)
    held.load(known, table)
    assert held.all_runs_known("p")
    assert first.not_before_ms > now_ms + 6000.0
    assert second.not_before_ms == 0.0
    # Silent since before this term: the last list is handed on.
    assert held.worker_records()[0].tasks == [first.name]
    held.on_worker_answered("w")
    assert first.not_before_ms == 0.0


def test_unknown_worker_holds_up_its_pool_until_leases_end(link, monkeypatch):
    """A worker that answers nobody may run any inherited task."""
    now_ms = clock.monotonic_ms()
    held = inherited_runs.InheritedRuns(
        workers={"w": link.worker},
        store=types.SimpleNamespace(last_failed_ms=-1e12),
        term_started_ms=now_ms,
        lease_ms=6000.0,
    )
    held.load(None, None)
    assert not held.all_runs_known("p")
    monkeypatch.setattr(clock, "monotonic_ms", lambda: now_ms + 6300.0)
    assert held.all_runs_known("p")


def test_silent_worker_without_a_list_is_recorded_as_unknown(link):
    """A worker that never answered this term has no list of its own."""
    held = inherited_runs.InheritedRuns(
        workers={"w": link.worker},
        store=types.SimpleNamespace(last_failed_ms=-1e12),
        term_started_ms=clock.monotonic_ms(),
        lease_ms=6000.0,
    )
    link.worker.mark_silent(clock.monotonic_ms(), 6000.0)
    assert held.worker_records()[0].tasks is None


def test_end_that_cannot_be_handled_holds_back_later_ones(link):
    """Its number and those behind it come again, and none is lost."""
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


def test_number_is_acknowledged_until_it_is_answered(link):
    """A renewal that a later life takes acknowledges nothing there."""
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


def test_number_is_not_sent_long_after_the_last_answer(link):
    """Its worker may have started anew and ended other tasks meanwhile."""
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
def test_run_of_the_new_life_is_not_taken_for_lost(
    link, job, answered_ms, listed, kept
):
    """An order may reach the new life before its first inventory is seen."""
    link.worker.born_ms = 1
    run = add_run(link, job, State.RUNNING)
    sent_ms = clock.monotonic_ms()
    run.answered_ms = sent_ms + answered_ms
    rows = [model.RunReport(run.name, 1, "", 10.0, 0.0)] if listed else []
    link.on_inventory(worker_client.Inventory(1000, 2, rows, []), sent_ms)
    assert (run.key in link.worker.runs) is kept
    assert link.events.gone == ([] if kept else [(run, "reborn")])
