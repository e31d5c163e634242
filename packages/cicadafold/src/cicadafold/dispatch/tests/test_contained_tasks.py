"""Tests of unexpected errors in the single tasks of a term."""

import asyncio
import types

import pytest

from cicadafold.dispatch import advising
from cicadafold.dispatch import job_intake
from cicadafold.dispatch.tests import contained_errors
from cicadafold.jobs import model
from cicadafold.telemetry import metrics

RULE = model.QueueRule(
    "q", "h", "/", "p", advice=model.AdviceCost(20.0, 1.0, 5000.0)
)


def make_request(name):
    """Returns an advice request of a job."""
    step = types.SimpleNamespace(
        job=types.SimpleNamespace(spec=types.SimpleNamespace(id=name)),
        occurrence=0,
        number=0,
        advice_pending=False,
        advice_requested_ms=0.0,
        allowed_by_worker=None,
        tickets={},
    )
    step.job.rule = RULE
    return advising.AdviceRequest((name,), step, ["w"], 20.0)


@pytest.mark.parametrize("odd", (None, ["w"], KeyError("peer")))
def test_odd_advice_for_one_job_leaves_the_others(contained, odd):
    """An answer that is no table of tickets ended the term."""
    answers = {"bad": odd, "other": {"w": "ticket"}}

    async def advise(job, *arguments, timeout_s):
        """Returns the answer for a job, or raises it."""
        if isinstance(answers[job], Exception):
            raise answers[job]
        return answers[job]

    peer = advising.PeerHandle(
        member="n0", advise=advise, election_priority=1.0
    )
    requests = [make_request("bad"), make_request("other")]
    woken = []

    async def scenario():
        async with asyncio.TaskGroup() as group:
            dispatcher = advising.AdviceDispatcher(
                list_peers=lambda: [peer],
                spawn=group.create_task,
                wake=lambda: woken.append(1),
                record_permitted_share=lambda *arguments: None,
                metrics=metrics.Metrics(),
                containment=contained,
            )
            dispatcher.replace_queue(requests)
            await asyncio.sleep(0.2)
            dispatcher.dispatch_queued()

    asyncio.run(scenario())
    assert requests[1].step.tickets.keys() == {"w"}
    assert not requests[0].step.advice_pending
    assert len(woken) == 2
    assert contained_errors.count(contained.metrics, "advice") == 1


@pytest.fixture
def arriving(contained):
    """Returns an intake that reads jobs, and those that were added."""
    added = []

    def add(spec, *, inherited, max_age_ms):
        if spec.id in broken:
            raise KeyError("queue")
        added.append(spec.id)
        job = types.SimpleNamespace(
            spec=spec, objective_ms=0.0, arrived_ms=0.0
        )
        table.jobs[spec.id] = job
        return job

    broken = set()
    table = types.SimpleNamespace(jobs={}, ended={}, rules={}, add=add)
    intake = job_intake.JobIntake(
        job_table=table,
        record_cleaner=types.SimpleNamespace(on_known=lambda job: None),
        started_ms=-60_000.0,
        on_known=lambda job: None,
        wake=lambda: None,
        all_runs_known=lambda pool: True,
        containment=contained,
    )
    intake.ready = True
    intake.broken = broken
    intake.spawned = []
    intake.spawn = intake.spawned.append
    intake.journal_state = types.SimpleNamespace(
        specs={
            name: model.JobSpec(name, RULE, "", (model.StepSpec(1),))
            for name in ("bad", "other")
        },
        cancelled=set(),
    )
    return intake, added


def test_job_that_cannot_be_added_is_added_later(
    arriving, contained, monkeypatch
):
    """The jobs behind it in the journal were never added."""
    monkeypatch.setattr(job_intake, "RETRY_S", 0.0)
    intake, added = arriving
    intake.broken.add("bad")
    for name in ("bad", "other"):
        intake.on_read(name)
    assert added == ["other"]
    assert contained_errors.count(contained.metrics, "intake") == 1
    asyncio.run(intake.spawned.pop())
    assert len(intake.spawned) == 1
    assert intake.state("bad") is model.JobState.QUEUED
    intake.broken.clear()
    asyncio.run(intake.spawned.pop())
    assert added == ["other", "bad"]
    assert intake.spawned == []


@pytest.mark.parametrize("from_host", (True, False))
def test_job_whose_arrival_cannot_be_noted_is_served(arriving, from_host):
    """Its host saw an error, and the journal's reader passed it over."""
    intake, added = arriving

    def fail(job_id):
        raise KeyError("team")

    intake.on_known = fail
    if from_host:
        spec = intake.journal_state.specs.pop("other")
        intake.on_accepted(spec)
    else:
        intake.on_read("other")
    assert added == ["other"]
