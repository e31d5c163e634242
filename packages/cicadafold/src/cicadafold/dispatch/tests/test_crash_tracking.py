"""Tests of the losses of tasks with their workers, in one term."""

import types

import msgspec
import pytest

from cicadafold import clock
from cicadafold.dispatch import crash_tracking
from cicadafold.dispatch import inherited_runs
from cicadafold.dispatch import isolation
from cicadafold.dispatch import job_table
from cicadafold.dispatch import runs
from cicadafold.jobs import model
from cicadafold.journal import records
from cicadafold.scheduling import blame
from cicadafold.scheduling import estimates
from cicadafold.scheduling import placement
from cicadafold.scheduling import views
from cicadafold.telemetry import metrics

State = model.JobState


class FakeJournal:
    """Journal writer whose newest durable batch the test sets.

    Attributes:
        batch: Number of the newest batch.
        durable_batch: Number of the newest durable batch.
    """

    def __init__(self):
        self.batch = 0
        self.durable_batch = 0

    def record_job(self, job):
        """Returns the number of a new batch with the job."""
        self.batch += 1
        return self.batch


@pytest.fixture
def journal():
    """Returns a journal in which nothing is durable."""
    return FakeJournal()


@pytest.fixture
def table(journal):
    """Returns a job table without jobs."""
    return job_table.JobTable(
        journal=journal,
        estimates=estimates.DurationEstimates(),
        stop_run=lambda run: None,
        metrics=metrics.Metrics(),
    )


@pytest.fixture
def tracker(table, journal):
    """Returns a crash tracker of the second term."""
    found = crash_tracking.CrashTracker(
        job_table=table,
        journal=journal,
        first_attempt=1_000_000,
        metrics=metrics.Metrics(),
    )
    found.inherited_runs = types.SimpleNamespace(
        is_lost=lambda worker: worker == "lost",
        has_crashed=lambda worker: worker == "lost",
    )
    return found


def make_job(table, name, **step):
    """Adds a job with one step of two tasks and returns it."""
    rule = model.QueueRule(name="q", authority="a", prefix="/q/", pool="p")
    spec = model.JobSpec(
        id=name,
        rule=rule,
        payload="",
        steps=(
            model.StepSpec(tasks=2, need=model.Resources(2000, 64, 0), **step),
        ),
    )
    job = table.add(spec)
    job.steps_of(0)
    return job


def add_run(worker, task, attempt=1):
    """Adds a run attempt of a task to a worker."""
    run = runs.RunAttempt(
        task=task,
        name=task.name,
        attempt=attempt,
        worker=worker,
        room=task.step.spec.need,
        state=runs.RunState.RUNNING,
        now_ms=clock.monotonic_ms(),
    )
    worker.add(run)
    return run


def make_worker(report, name="w"):
    """Returns a worker that has closed its connection."""
    worker = runs.Worker(
        report=msgspec.structs.replace(report, id=name), now_ms=0.0
    )
    worker.born_ms = 1
    worker.silent_since_ms = clock.monotonic_ms()
    worker.silence_closed = True
    return worker


def lose(tracker, worker, *, proved=True):
    """Loses a worker with its run attempts, which are removed if proved."""
    lost = list(worker.runs.values())
    tracker.on_silent(worker)
    tracker.on_worker_lost(worker, lost, proved=proved)
    if proved:
        for run in lost:
            worker.remove(run)


def test_job_fails_when_its_task_crashes_a_third_worker_alone(
    tracker, table, report
):
    """The tasks that ran beside it in the first two crashes go on."""
    deadly = make_job(table, "deadly")
    other = make_job(table, "other")
    task = deadly.steps[0][0].tasks[0]
    for attempt in (1, 2, 3):
        worker = make_worker(report, f"w{attempt}")
        add_run(worker, task, attempt)
        if attempt < 3:
            add_run(worker, other.steps[0][0].tasks[0], attempt)
        else:
            tracker.closed_at.clear()
        lose(tracker, worker)
    assert deadly.state is State.FAILED
    assert other.state is State.QUEUED
    assert other.steps[0][0].tasks[0].crashes.verdict is blame.Verdict.ISOLATED


def test_crash_beside_others_at_the_same_time_is_not_conclusive(
    tracker, table, report
):
    """A rack that loses its power is not the fault of a task."""
    job = make_job(table, "j")
    task = job.steps[0][0].tasks[0]
    for attempt in (1, 2, 3):
        tracker.on_silent(make_worker(report, f"other{attempt}"))
        worker = make_worker(report, f"w{attempt}")
        add_run(worker, task, attempt)
        lose(tracker, worker)
    assert job.state is State.QUEUED
    assert not any(loss.conclusive for loss in task.crashes.losses)


def test_isolated_tasks_that_crash_at_the_same_time_are_conclusive(
    tracker, table, report
):
    """Two deadly tasks are no common cause for each other."""
    workers = []
    for name in ("a", "b"):
        task = make_job(table, name).steps[0][0].tasks[0]
        task.crashes = blame.CrashHistory()
        task.crashes.losses = [blame.Loss(n, "w", True) for n in (1, 2)]
        workers.append(make_worker(report, name))
        add_run(workers[-1], task, attempt=3)
        tracker.on_silent(workers[-1])
    for worker in workers:
        tracker.on_worker_lost(worker, list(worker.runs.values()), proved=True)
    assert {job.state for job in table.jobs.values()} == {State.FAILED}


def test_suspected_crash_gives_nothing_up(tracker, table, report):
    """It may be a lost connection; the proof follows, or the answer."""
    job = make_job(table, "j")
    task = job.steps[0][0].tasks[0]
    task.crashes = blame.CrashHistory()
    task.crashes.losses = [blame.Loss(n, "w", True) for n in (1, 2, 3)]
    worker = make_worker(report)
    add_run(worker, task, attempt=4)
    lose(tracker, worker, proved=False)
    assert job.state is State.QUEUED
    lose(tracker, worker)
    assert job.state is State.FAILED


@pytest.mark.parametrize(("born_ms", "losses"), ((1, 0), (2, 1)))
def test_worker_that_crashed_between_two_terms_counts(
    tracker, table, report, born_ms, losses
):
    """The record of the workers names its incarnation and its tasks."""
    job = make_job(table, "j")
    task = job.steps[0][0].tasks[0]
    worker = make_worker(report)
    inherited = inherited_runs.InheritedRuns(
        workers={"w": worker},
        store=None,
        term_started_ms=0.0,
        horizon_ms=3600.0,
        crashes=tracker,
    )
    known = records.KnownWorker(worker.report, [task.name], 1)
    inherited.load(records.KnownWorkers(1, 1, [known]), table)
    worker.born_ms = born_ms
    worker.runs_known = True
    inherited.on_worker_answered(worker)
    inherited.on_inventory_applied(worker)
    tracker.settle_doubtful([task])
    assert (0 if task.crashes is None else 1) == losses


def test_silent_worker_that_answers_again_withdraws_the_loss(
    tracker, table, report
):
    """Its leases have lapsed, but it has not crashed."""
    job = make_job(table, "j")
    task = job.steps[0][0].tasks[0]
    worker = make_worker(report)
    add_run(worker, task)
    lose(tracker, worker)
    assert task.crashes.verdict is blame.Verdict.SUSPECT
    tracker.on_returned(worker)
    assert task.crashes is None


def test_task_behind_repeated_cuts_is_not_given_up(tracker, table, report):
    """Its workers are silent, and their leases lapse, but none crashes."""
    job = make_job(table, "j")
    task = job.steps[0][0].tasks[0]
    for attempt in range(1, 7):
        worker = make_worker(report, f"w{attempt}")
        worker.silence_closed = False
        add_run(worker, task, attempt)
        lose(tracker, worker)
    assert task.crashes.verdict is blame.Verdict.ISOLATED
    assert job.state is State.QUEUED


def test_loss_stands_if_the_worker_returns_in_another_incarnation(
    tracker, table, report
):
    """Only the same incarnation shows that there was no crash."""
    job = make_job(table, "j")
    task = job.steps[0][0].tasks[0]
    worker = make_worker(report)
    add_run(worker, task)
    lose(tracker, worker)
    worker.born_ms = 2
    tracker.on_returned(worker)
    assert len(task.crashes.losses) == 1


def test_worker_that_leaves_as_announced_is_not_a_crash(
    tracker, table, report
):
    """A task that it did not finish is not blamed."""
    job = make_job(table, "j")
    worker = make_worker(msgspec.structs.replace(report, draining=True))
    add_run(worker, job.steps[0][0].tasks[0])
    lose(tracker, worker)
    assert job.steps[0][0].tasks[0].crashes is None


def test_service_that_ran_for_long_is_not_blamed(tracker, table, report):
    """It outlives many workers before its caller cancels it."""
    job = make_job(table, "j", lasting=True)
    worker = make_worker(report)
    run = add_run(worker, job.steps[0][0].tasks[0])
    run.started_ms -= crash_tracking.PROVEN_MS + 1000.0
    lose(tracker, worker)
    assert job.steps[0][0].tasks[0].crashes is None


def test_lost_gang_counts_once_for_each_attempt(tracker, table, report):
    """Its members may be lost with several workers."""
    job = make_job(table, "j", gang=True)
    step = job.steps[0][0]
    for task, name in zip(step.tasks, ("w1", "w2")):
        worker = make_worker(report, name)
        add_run(worker, task)
        lose(tracker, worker)
    assert len(step.crashes.losses) == 1


def test_suspect_is_not_started_before_its_losses_are_durable(
    tracker, table, report, journal
):
    """A new term would not know of them, nor of the start."""
    job = make_job(table, "j")
    task = job.steps[0][0].tasks[0]
    worker = make_worker(report)
    add_run(worker, task)
    lose(tracker, worker)
    assert tracker.may_be_placed(task)
    assert not tracker.may_start(task, ["w2"])
    journal.durable_batch = journal.batch
    assert tracker.may_start(task, ["w2"])
    assert not tracker.may_start(task, ["w3"])


@pytest.mark.parametrize(("worker", "losses"), (("lost", 2), ("answers", 1)))
def test_recorded_start_of_an_earlier_term_counts_if_its_worker_was_lost(
    tracker, table, report, worker, losses
):
    """Its end was never seen; the journal tells where it was started."""
    job = make_job(table, "j")
    task = job.steps[0][0].tasks[0]
    first = make_worker(report)
    add_run(first, task)
    lose(tracker, first)
    tracker.may_start(task, [worker])
    progress = records.progress_record(job, term=1, version=1)
    restored = make_job(table, "j")
    records.apply_progress(
        restored, records.decode_progress(records.encode(progress))
    )
    found = restored.steps[0][0].tasks[0]
    assert not restored.started
    assert tracker.may_be_placed(found)
    assert len(found.crashes.losses) == losses


@pytest.fixture
def isolate(table, report):
    """Returns workers, and a function that places a suspect on them."""
    job = make_job(table, "j")
    task = job.steps[0][0].tasks[0]
    task.crashes = blame.CrashHistory()
    task.crashes.losses = [blame.Loss(n, "w", True) for n in (1, 2)]
    workers = {}
    for name in ("a", "b"):
        worker = workers[name] = make_worker(report, name)
        worker.mark_answering()
        worker.fenced, worker.closed_to_starts = True, False
    holder = isolation.Isolation(
        workers=workers,
        expected_ends=lambda worker, now_ms: [
            (100.0 if worker.report.id == "b" else 900.0, run.room)
            for run in worker.runs.values()
            if run.task is not None
        ],
    )
    now_ms = clock.monotonic_ms()

    def place(planned_by_others=None):
        """Makes a pass in which others have planned to use a worker."""
        holder.begin_pass(now_ms)
        demand = views.Demand(tasks=1, need=task.step.spec.need)
        pool = {k: v.scheduling_view() for k, v in workers.items()}
        if planned_by_others is not None:
            pool[planned_by_others].reserve(demand.need)
        return holder.place(task, demand, pool, placement.best_fit, now_ms)

    return types.SimpleNamespace(
        task=task, workers=workers, holder=holder, place=place, now_ms=now_ms
    )


def test_isolated_task_gets_an_idle_worker_or_waits_for_one(isolate, table):
    """A busy worker is kept free of new tasks until it is idle."""
    other = make_job(table, "other")
    for worker, task in zip(isolate.workers.values(), other.steps[0][0].tasks):
        run = add_run(worker, task)
    assert isolate.place() == []
    assert isolate.holder.units == {"b": isolate.task}
    run.worker.remove(run)
    assert isolate.place() == ["b"]
    pool = {k: v.scheduling_view() for k, v in isolate.workers.items()}
    assert set(isolate.holder.pool_for(run.task.step, pool)) == {"a"}
    assert set(isolate.holder.pool_for(isolate.task.step, pool)) == {"a", "b"}
    assert set(isolate.holder.unassigned(pool)) == {"a"}
    isolate.task.done = True
    isolate.holder.begin_pass(isolate.now_ms)
    assert isolate.holder.units == {}


def test_run_of_an_unknown_job_does_not_end_isolation(isolate, table):
    """It is stopped soon, while a service would stay on its worker."""
    lasting = make_job(table, "lasting", lasting=True)
    add_run(isolate.workers["a"], lasting.steps[0][0].tasks[0])
    run = add_run(isolate.workers["b"], lasting.steps[0][0].tasks[1])
    run.task = None
    assert isolate.place() == []
    assert isolate.holder.units == {"b": isolate.task}


def test_isolated_task_does_not_chase_the_workers_that_others_plan(isolate):
    """Each change would be recorded first, so that neither ever starts."""
    first = isolate.place(planned_by_others="b")
    assert first == ["b"]
    assert isolate.place(planned_by_others="a") == first


def test_gang_is_not_given_up_for_crashes_that_meet_other_members(
    tracker, table, report
):
    """A wide gang was shown as failed after a few random crashes."""
    job = make_job(table, "wide", gang=True)
    step = job.steps[0][0]
    for attempt in range(1, 7):
        worker = make_worker(report, f"w{attempt}")
        add_run(worker, step.tasks[attempt % 2], attempt)
        lose(tracker, worker)
        assert step.crashes.losses[-1].members == (attempt % 2,)
    assert job.state is State.QUEUED
    for attempt in (7, 8):
        worker = make_worker(report, f"w{attempt}")
        add_run(worker, step.tasks[0], attempt)
        lose(tracker, worker)
    assert job.state is State.FAILED


@pytest.mark.parametrize("crashes", [2, 3])
def test_unanswered_starts_count_after_three_crashes(
    tracker, table, report, crashes
):
    """Each of them may have been carried out; a third one is not allowed."""
    job = make_job(table, "deadly")
    task = job.steps[0][0].tasks[0]
    task.crashes = blame.CrashHistory()
    for attempt in range(crashes):
        task.crashes.add(blame.Loss(attempt, "v", True))
    worker = make_worker(report)
    for attempt in (11, 12):
        assert job.state is State.QUEUED
        tracker.on_start_unanswered(add_run(worker, task, attempt))
    assert job.state is (State.FAILED if crashes == 3 else State.QUEUED)


def test_unanswered_starts_of_a_gang_count_for_all_its_members(
    tracker, table, report
):
    """A gang was started a third time if other members were unanswered."""
    job = make_job(table, "deadly", gang=True)
    step = job.steps[0][0]
    step.crashes = blame.CrashHistory()
    for attempt, members in enumerate([(0,), (0, 1), (0, 1)]):
        step.crashes.add(blame.Loss(attempt, "v", True, members=members))
    worker = make_worker(report)
    for attempt, task in ((11, step.tasks[0]), (12, step.tasks[1])):
        assert job.state is State.QUEUED
        tracker.on_start_unanswered(add_run(worker, task, attempt))
    assert job.state is State.FAILED


def test_unanswered_start_of_a_clear_task_is_no_loss(tracker, table, report):
    """Its worker may have been cut off."""
    job = make_job(table, "clear")
    task = job.steps[0][0].tasks[0]
    tracker.on_start_unanswered(add_run(make_worker(report), task))
    assert task.crashes is None
