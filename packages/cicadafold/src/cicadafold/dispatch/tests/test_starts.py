"""Tests of the start commands that follow a placement."""

import asyncio
import types

import pytest

from cicadafold import clock
from cicadafold.dispatch import leases
from cicadafold.dispatch import placing
from cicadafold.dispatch import runs
from cicadafold.dispatch.tests import room
from cicadafold.jobs import model
from cicadafold.jobs import runtime_state
from cicadafold.platform import worker_client
from cicadafold.telemetry import metrics

Result = worker_client.CommandResult


class Start:
    """A task that is placed on a worker and not started yet.

    Attributes:
        worker: The worker.
        job: Job of the task.
        result: Result of the start command.
        started: Ends of the leases of the commands that were sent.
        gone: Reasons for which the run attempt was dropped.
        doubtful: Whether commands without an answer may have been sent.
        allowed: Whether commands may be sent.
    """

    def __init__(self, *, report, result):
        self.result = result
        self.started = []
        self.gone = []
        self.spawned = []
        self.doubtful = []
        self.allowed = True
        self.worker = runs.Worker(report=report, now_ms=0.0)
        self.worker.clock.update(1000, at_ms=clock.monotonic_ms())
        rule = model.QueueRule("q", "h", "/", "p")
        spec = model.JobSpec("ab", rule, "", (model.StepSpec(1),))
        self.job = runtime_state.Job(
            spec=spec, arrived_ms=0.0, wall_offset_ms=0.0
        )
        step = self.job.steps_of(0)[0]
        step.ready_ms = 0.0
        self.make_placer().start_tasks(step, step.tasks, ["w"], None, 0.0)

    def make_placer(self):
        """Returns a placer with the link of the worker."""
        events = types.SimpleNamespace(
            stop_attempt=lambda *arguments: None,
            on_run_gone=lambda *arguments: self.gone.append(arguments[2]),
        )
        link = types.SimpleNamespace(
            start=self.start,
            events=events,
            on_unconfirmed_start=lambda run, error: self.doubtful.append(
                error.sent
            ),
        )
        self.links = {"w": link}
        return placing.Placer(
            term=1,
            job_table=None,
            estimates=None,
            workers={"w": self.worker},
            links=self.links,
            all_runs_known=None,
            commands_allowed=lambda: self.allowed,
            spawn=self.spawned.append,
            lease=leases.LeaseTimes(max_lease_ms=6000.0),
            crashes=None,
            teams=None,
            metrics=metrics.Metrics(),
        )

    async def start(self, run, command):
        """Keeps a start command and returns its result, or raises it."""
        self.started.append(command.deadline_ms)
        if isinstance(self.result, Exception):
            raise self.result
        return self.result

    def send(self):
        """Sends the start command, unless it is dropped."""
        asyncio.run(self.spawned[0])


@pytest.fixture
def make_start(report):
    """Returns a function that places a task, given the result of its start."""
    return lambda result=None: Start(report=report, result=result)


@pytest.mark.parametrize(
    ("result", "started"), ((Result.ACCEPTED, True), (None, False))
)
def test_job_counts_as_started_only_when_a_worker_says_so(
    make_start, result, started
):
    """Its caller may ask how many jobs wait while a worker is cut off."""
    start = make_start(result)
    assert not start.job.started
    start.send()
    assert start.job.started is started


def test_start_that_fails_unexpectedly_counts_as_unanswered(make_start):
    """It ended the term, and the task was left as one that is starting."""
    start = make_start(KeyError("worker"))
    start.send()
    assert start.doubtful == [True]
    assert not start.job.started


def test_start_on_a_worker_that_was_removed_is_dropped(make_start):
    """The missing link ended the term."""
    start = make_start()
    start.links.clear()
    start.send()
    assert start.worker.runs == {}


@pytest.mark.parametrize("silent", [False, True])
def test_worker_that_became_silent_gets_no_start(make_start, silent):
    """The start extended the leases beyond the time of their lapse.

    The tasks of the worker were then started elsewhere while they still ran
    there.
    """
    start = make_start()
    if silent:
        start.worker.mark_silent(clock.monotonic_ms(), 6000.0)
    deadline_ms = start.worker.deadline_ms
    start.send()
    assert start.gone == (["silent"] if silent else [])
    assert bool(start.started) is not silent
    assert (start.worker.deadline_ms == deadline_ms) is silent


@pytest.mark.parametrize(("born_ms", "dropped"), [(1, False), (2, True)])
def test_worker_that_has_restarted_gets_no_start_meant_for_another_kind(
    make_start, born_ms, dropped
):
    """Its entry has not been read again, so its labels are not known."""
    start = make_start()
    start.worker.born_ms = born_ms
    start.send()
    assert start.gone == (["worker restarted"] if dropped else [])
    assert bool(start.started) is not dropped


def test_one_pass_sends_a_bounded_number_of_starts(monkeypatch):
    """Thousands at once stalled the process, which then dropped them."""
    cell = room.Room(monkeypatch, workers=60, preempts=False)
    sent = []
    cell.placer.spawn = sent.append
    for number in range(100):
        cell.submit(
            f"{number:016x}",
            room.WIDE,
            tasks=20,
            need=model.Resources(1000, 10, 0),
            estimate_ms=1000.0,
        ).steps_of(0)[0].ready_ms = cell.now_ms
    passes = []
    while sum(passes) < 960 and len(passes) < 100:
        cell.play(room.STEP_MS)
        passes.append(len(sent))
        for coroutine in sent:
            coroutine.close()
        sent.clear()
    assert sum(passes) == 960
    assert max(passes) <= 120


@pytest.mark.parametrize("stopped", [False, True])
def test_start_after_a_stall_is_sent_once_the_claim_was_read(
    make_start, stopped
):
    """Each pass that took longer than a stall lost all of its starts."""
    start = make_start(Result.ACCEPTED)
    start.allowed = False

    async def scenario():
        sending = asyncio.create_task(start.spawned[0])
        await asyncio.sleep(0.05)
        assert start.started == []
        for run in start.worker.runs.values():
            run.stop_requested = stopped
        start.allowed = True
        await sending

    asyncio.run(scenario())
    assert len(start.started) == (0 if stopped else 1)
    assert start.gone == (["stopped"] if stopped else [])
