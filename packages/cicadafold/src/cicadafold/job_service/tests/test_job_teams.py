"""Tests of calls about jobs of other teams, or jobs not read yet."""

import asyncio
import types

import pytest

from cicadafold import exception
from cicadafold.job_service import service as service_module
from cicadafold.jobs import model
from cicadafold.peers import messages
from cicadafold.peers import scheduler_client
from cicadafold.teams import model as team_model
from cicadafold.telemetry import metrics

RULE = model.QueueRule("q", "jobs.example", "/q/", "pool-a")
QUEUED, RUNNING = model.JobState.QUEUED, model.JobState.RUNNING
JOB, OTHER_JOB = "00000000000000aa", "00000000000000bb"
DEADLINE_S = 0.4


class Scheduler:
    """The scheduler, with the team and the state of each job.

    Attributes:
        jobs: Pairs of a team and a state by identifier of the job.
        answers: Whether it answers.
        has_read_records: Whether it has read the records of all jobs.
        cancelled: Identifiers of cancelled jobs.
    """

    is_local = remote_is_linked = False

    def __init__(self):
        self.jobs = {}
        self.answers = True
        self.has_read_records = False
        self.cancelled = []

    async def state(self, job, *, team, recorded_ms, timeout_s):
        """Returns the state of a job."""
        if not self.answers:
            raise exception.LinkLost(message="No answer.", remedy="Retry.")
        owner, state = self.jobs.get(job, (team, None))
        if owner != team:
            raise scheduler_client.foreign_error()
        if state is None and recorded_ms is not None:
            return None if self.has_read_records else QUEUED
        return state

    async def notify_accepted(self, spec):
        """Does nothing: the message is lost."""

    async def notify_cancelled(self, job):
        """Notes a cancellation."""
        self.cancelled.append(job)


class Writer:
    """Writer of journal records, which are durable at once.

    Attributes:
        keys: Keys of the records.
    """

    def __init__(self):
        self.keys = []

    async def write(self, key, value, *, deadline_s):
        """Writes a record."""
        self.keys.append(key)


@pytest.fixture
def scheduler():
    """Returns a scheduler that knows no jobs."""
    return Scheduler()


@pytest.fixture
def service(scheduler):
    """Returns the job service of an entry host."""
    return service_module.JobService(
        writer=Writer(),
        relay_writer=None,
        scheduler=scheduler,
        isolated=lambda: False,
        store=types.SimpleNamespace(slow=False, reachable=True),
        metrics=metrics.Metrics(),
    )


def spec(team, job=JOB):
    """Returns the specification of a job of a team, empty for none."""
    rule = team_model.TeamRule(team) if team else None
    return model.JobSpec(job, RULE, "", (model.StepSpec(1),), team=rule)


def run(call):
    """Runs a call with a deadline and returns its result."""

    async def run_call():
        loop = asyncio.get_running_loop()
        return await call(loop.time() + DEADLINE_S)

    return asyncio.run(run_call())


def submit(service, found):
    """Submits a job."""
    run(lambda at_s: service.submit(found, deadline_s=at_s))


def state(service, team, job=JOB):
    """Returns the state of a job that a team sees."""
    return run(lambda at_s: service.state(job, team=team, deadline_s=at_s))


def cancel(service, team, job=JOB, check_team=True):
    """Cancels a job and returns whether it is known to the team."""
    return run(
        lambda at_s: service.cancel(
            job, team=team, check_team=check_team, deadline_s=at_s
        )
    )


@pytest.mark.parametrize(
    ("owner", "team"), [("red", "blue"), ("red", ""), ("", "red")]
)
@pytest.mark.parametrize("known", [True, False])
def test_job_of_another_team_is_unknown(
    service, scheduler, owner, team, known
):
    """A team reads or cancels the job of another, or one without a team.

    The entry host that has accepted it knows it before the scheduler does.
    """
    submit(service, spec(owner))
    if known:
        scheduler.jobs[JOB] = (owner, RUNNING)
    assert state(service, team) is None
    assert cancel(service, team) is False
    assert scheduler.cancelled == []
    expected = RUNNING if known else model.JobState.QUEUED
    assert state(service, owner) is expected
    assert cancel(service, owner) is True
    assert scheduler.cancelled == [JOB]


def test_submission_does_not_take_over_a_job(service, scheduler):
    """A team submits the identifier of a job of another one, and cancels it.

    The first submission may have been on another host.
    """
    scheduler.jobs[JOB] = ("red", RUNNING)
    submit(service, spec("blue"))
    assert state(service, "blue") is None
    assert cancel(service, "blue") is False
    submit(service, spec("red", OTHER_JOB))
    submit(service, spec("blue", OTHER_JOB))
    assert state(service, "blue", OTHER_JOB) is None
    assert cancel(service, "blue", OTHER_JOB) is False
    assert scheduler.cancelled == []


def test_cancellation_waits_for_the_team_of_the_job(service, scheduler):
    """Without the scheduler, every team may cancel every job."""
    scheduler.answers = False
    with pytest.raises(exception.Starting):
        cancel(service, "red")
    with pytest.raises(exception.Starting):
        cancel(service, "")
    assert service.writer.keys == []


def test_own_job_is_cancelled_without_the_scheduler(service, scheduler):
    """A team cannot cancel its job while a scheduler is replaced."""
    submit(service, spec("red"))
    scheduler.answers = False
    assert cancel(service, "red") is True
    assert scheduler.cancelled == [JOB]


def test_forgotten_job_is_unknown_where_it_was_accepted(service, scheduler):
    """It was shown as queued for good, after it had been completed."""
    submit(service, spec(""))
    assert state(service, "") is QUEUED
    scheduler.has_read_records = True
    assert state(service, "") is None
    assert cancel(service, "", check_team=False) is False
    assert service.accepted == {}
    assert scheduler.cancelled == []


def test_cell_without_teams_cancels_as_before(service, scheduler):
    """A cancellation fails in a cell where nothing has to be checked."""
    scheduler.answers = False
    assert cancel(service, "", check_team=False) is True
    assert scheduler.cancelled == [JOB]


class Jobs:
    """Jobs of a term, of which one is a job of the team red."""

    def state(self, job, team, recorded_ms):
        """Returns the state of a job."""
        if team != "red":
            raise scheduler_client.foreign_error()
        return RUNNING


@pytest.mark.parametrize("team", ["red", "blue", ""])
def test_team_is_checked_by_a_scheduler_in_another_process(team):
    """The team, or its refusal, is lost between two processes."""
    term = types.SimpleNamespace(jobs=Jobs())
    node = types.SimpleNamespace(serving_term=lambda: term)

    class Remote:
        """Link to the process of the scheduler."""

        async def call(self, make_query, *, timeout_s):
            """Sends a query as bytes and returns the decoded reply."""
            query = messages.decode(messages.encode(make_query(7)))
            reply = await scheduler_client.answer_state(node, query, None)
            return messages.decode(messages.encode(reply))

    client = scheduler_client.SchedulerClient(
        local=lambda: None, remote=Remote()
    )
    local = scheduler_client.SchedulerClient(local=lambda: term, remote=None)
    for each in (client, local):
        call = each.state(JOB, team=team, timeout_s=1.0)
        if team == "red":
            assert asyncio.run(call) is RUNNING
        else:
            with pytest.raises(exception.UnknownRequest):
                asyncio.run(call)


def test_query_of_an_older_release_has_no_team():
    """A host that was not upgraded yet cannot ask for states."""
    query = messages.decode(b'{"type":"state","number":1,"job":"a"}')
    assert query.team == ""


@pytest.mark.parametrize(("team", "check_team"), (("", False), ("red", True)))
def test_job_that_is_not_read_yet_is_cancelled(
    service, scheduler, team, check_team
):
    """It was accepted by another host, whose message was lost."""

    async def read_record():
        await asyncio.sleep(0.1)
        scheduler.jobs[JOB] = (team, QUEUED)

    async def call(at_s):
        reading = asyncio.create_task(read_record())
        known = await service.cancel(
            JOB, team=team, check_team=check_team, deadline_s=at_s
        )
        await reading
        return known

    assert run(call) is True
    assert scheduler.cancelled == [JOB]


def test_job_without_a_record_is_not_cancelled(service, scheduler):
    """All records from before the call have been read."""
    scheduler.has_read_records = True
    assert cancel(service, "", check_team=False) is False
    assert cancel(service, "red") is False
    assert service.writer.keys == []


def test_job_may_be_cancelled_while_records_cannot_be_read(service, scheduler):
    """Whose job it is cannot be told either, if there are teams."""
    assert cancel(service, "", check_team=False) is True
    assert scheduler.cancelled == [JOB]
    with pytest.raises(exception.Starting):
        cancel(service, "red", OTHER_JOB)
    assert scheduler.cancelled == [JOB]
