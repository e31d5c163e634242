"""Tests of unexpected errors in the loops of a term."""

import asyncio
import types

import pytest

from cicadafold import clock
from cicadafold.dispatch import pacing
from cicadafold.dispatch import runs
from cicadafold.dispatch.tests import contained_errors
from cicadafold.dispatch import watching
from cicadafold.jobs import model
from cicadafold.jobs import runtime_state


def make_run(worker, job_id, **step):
    """Adds a run attempt of a new job to a worker, and returns it."""
    rule = model.QueueRule("q", "h", "/", "p")
    spec = model.JobSpec(job_id, rule, "", (model.StepSpec(1, **step),))
    job = runtime_state.Job(spec=spec, arrived_ms=0.0, wall_offset_ms=0.0)
    task = job.steps_of(0)[0].tasks[0]
    run = runs.RunAttempt(
        task=task,
        name=task.name,
        attempt=1,
        worker=worker,
        room=model.Resources(1000, 10, 0),
        state=runs.RunState.RUNNING,
        now_ms=clock.monotonic_ms(),
    )
    worker.add(run)
    return run


@pytest.fixture
def worker(report):
    """Returns a worker that answers."""
    made = runs.Worker(report=report, now_ms=clock.monotonic_ms())
    made.mark_answering()
    return made


@pytest.mark.parametrize("stalled", (True, False))
def test_run_that_cannot_be_watched_leaves_the_others(
    worker, contained, stalled
):
    """One of them ended the term, in each term again."""
    stopped = []
    for name in ("bad", "other"):
        make_run(worker, name)

    def stop_run(run):
        if run.name.job == "bad":
            raise KeyError("task")
        stopped.append(run.name.job)

    watcher = watching.Watcher(
        workers={"w": worker},
        job_table=None,
        events=types.SimpleNamespace(
            stop_run=stop_run, expected_ms=lambda run: 1e6
        ),
        containment=contained,
    )
    now_ms = clock.monotonic_ms() + 10_000.0
    if stalled:
        watcher.check_worker(worker, now_ms)
    else:
        worker.speed = 0.1
        for job in ("j1", "j2", "j3", "j4"):
            worker.speed_meter.record_rate(job, 0.1, now_ms)
        watcher.move_runs_from(worker, now_ms)
    assert stopped == ["other"]
    assert contained_errors.count(contained.metrics, "watching") == 1


def test_watching_goes_on_after_an_unexpected_error(worker, contained):
    """An error of the speeds or of the report ended the term."""
    checked = []

    def fail(*arguments):
        raise KeyError("worker")

    watcher = watching.Watcher(
        workers={"w": worker},
        job_table=None,
        events=types.SimpleNamespace(stop_unknown_runs=fail),
        containment=contained,
    )
    watcher.update_speeds = fail
    watcher.check_worker = lambda worker, now_ms: checked.append(now_ms)
    with pytest.raises(TimeoutError):
        asyncio.run(asyncio.wait_for(watcher.run(), 0.7))
    assert len(checked) == 2
    assert contained_errors.count(contained.metrics, "watching") >= 4


def test_worker_that_is_removed_while_others_are_paced(
    worker, report, contained, monkeypatch
):
    """Its missing link ended the term."""
    monkeypatch.setattr(pacing, "PERIOD_S", 0.01)
    other = runs.Worker(report=report, now_ms=clock.monotonic_ms())
    make_run(worker, "fills", fills=True).pace = 50
    workers = {"w": worker, "other": other}
    paced = []

    async def pace(name, attempt, percent, *, timeout_s):
        """Answers after the other worker was removed."""
        paced.append(percent)
        workers.pop("other", None)
        links.pop("other", None)

    link = types.SimpleNamespace(client=types.SimpleNamespace(pace=pace))
    links = {"w": link, "other": link}
    pacer = pacing.Pacer(workers=workers, links=links, containment=contained)
    with pytest.raises(TimeoutError):
        asyncio.run(asyncio.wait_for(pacer.run(), 0.2))
    assert len(paced) > 1
    assert contained_errors.count(contained.metrics, "pacing") == 0


def test_worker_that_cannot_be_paced_leaves_the_others(
    worker, report, contained, monkeypatch
):
    """An error about one worker ended the term."""
    monkeypatch.setattr(pacing, "PERIOD_S", 0.01)
    other = runs.Worker(report=report, now_ms=clock.monotonic_ms())
    paced = []

    async def pace_worker(link, worker):
        """Fails for one worker."""
        if worker is other:
            raise KeyError("run")
        paced.append(worker)

    pacer = pacing.Pacer(
        workers={"other": other, "w": worker},
        links={"other": None, "w": None},
        containment=contained,
    )
    pacer.pace_worker = pace_worker
    with pytest.raises(TimeoutError):
        asyncio.run(asyncio.wait_for(pacer.run(), 0.2))
    assert len(paced) > 1
    assert contained_errors.count(contained.metrics, "pacing") > 1
