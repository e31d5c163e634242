"""Tests of the refusal of gangs that never fit under their team's cap."""

import asyncio
import types

import pytest

from cicadafold import exception
from cicadafold.job_service import service
from cicadafold.jobs import model
from cicadafold.platform import job_server
from cicadafold.teams import model as team_model
from cicadafold.telemetry import metrics

RULE = model.QueueRule(name="q", authority="a", prefix="/q/", pool="p")
TEAM = team_model.TeamRule(name="acme", cap=model.Resources(10_000))


class FakeScheduler:
    """Scheduler's client that knows at most one state.

    Attributes:
        known: State that it answers, or None.
        queries: Number of queries.
        team: Team that the last query named.
    """

    def __init__(self):
        self.known = None
        self.queries = 0
        self.team = None
        self.is_local = False
        self.remote_is_linked = False

    async def state(self, job, **arguments):
        """Answers with the state of a job."""
        self.queries += 1
        self.team = arguments.get("team")
        return self.known

    async def notify_accepted(self, spec):
        """Ignores that a job was accepted."""


class FakeWriter:
    """Writer that keeps the keys of the records.

    Attributes:
        keys: Keys in order.
    """

    def __init__(self):
        self.keys = []

    async def write(self, key, value, *, deadline_s):
        """Keeps the key of a record."""
        self.keys.append(key)


@pytest.fixture
def jobs():
    """Returns a service of jobs with a cap overage of a tenth."""
    return service.JobService(
        writer=FakeWriter(),
        relay_writer=None,
        scheduler=FakeScheduler(),
        isolated=lambda: False,
        store=types.SimpleNamespace(reachable=True, slow=False),
        metrics=metrics.Metrics(),
        cap_overage=0.1,
    )


def submit(jobs, *, tasks, gang=True, team=TEAM):
    """Submits a job of tasks with one core each."""

    async def call():
        step = model.StepSpec(
            tasks=tasks, need=model.Resources(1000), gang=gang
        )
        spec = model.JobSpec(
            id="ab", rule=RULE, payload="", steps=(step,), team=team
        )
        deadline_s = asyncio.get_running_loop().time() + 1.0
        await jobs.submit(spec, deadline_s=deadline_s)

    asyncio.run(call())


@pytest.mark.parametrize(
    "job",
    (
        {"tasks": 11},
        {"tasks": 99, "gang": False},
        {"tasks": 99, "team": None},
        {"tasks": 99, "team": team_model.TeamRule(name="free")},
    ),
)
def test_job_that_can_run_is_accepted(jobs, job):
    """Guards against a refusal of work that merely waits or runs in waves.

    Nothing is asked of the scheduler, so an accepted job costs as before.
    """
    submit(jobs, **job)
    assert jobs.writer.keys == ["a/ab"]
    assert jobs.scheduler.queries == 0


def test_gang_that_never_fits_is_refused(jobs):
    """Guards against a gang that waits for ever (C4).

    The answer has status 422 and names team, bound and remedy; nothing is
    recorded.
    """
    with pytest.raises(exception.NeverFits) as caught:
        submit(jobs, tasks=12)
    answer = job_server.error_response(caught.value)
    assert answer.status == 422
    for part in ("acme", "12000", "11000", "Submit a smaller gang"):
        assert part in answer.text
    assert jobs.writer.keys == []
    assert jobs.metrics.counters["gangs_refused", ()] == 1


def test_repeated_submission_of_an_accepted_gang_succeeds(jobs):
    """Guards against a refusal of a job that exists.

    It was accepted under a larger cap, and its caller did not get the answer.
    """
    jobs.scheduler.known = model.JobState.QUEUED
    submit(jobs, tasks=12)
    assert jobs.writer.keys == ["a/ab"]
    # The scheduler shows a job to its own team only.
    assert jobs.scheduler.team == TEAM.name
