"""Tests of the entry host's side of admission."""

import asyncio
import types

import pytest

from cicadafold import clock
from cicadafold import exception
from cicadafold.job_service import admission
from cicadafold.job_service import service
from cicadafold.jobs import model
from cicadafold.peers import messages
from cicadafold.peers import scheduler_client
from cicadafold.platform import job_server
from cicadafold.teams import model as team_model
from cicadafold.telemetry import metrics

TEAM = team_model.TeamRule("a", weight=10.0)
RULE = model.QueueRule("q", "jobs.example", "/q/", "p")
SPEC = model.JobSpec("0123456789abcdef", RULE, "", (), team=TEAM)
NOTICE = messages.AdmissionNotice(3, {"p": ["a"]})


class Scheduler:
    """A scheduler client with an answer.

    Attributes:
        answer: Milliseconds until the turn, None, or an error to raise.
        asked: Number of questions.
        is_local: Whether the scheduler runs in this process.
        remote_is_linked: Whether there is a link to it.
    """

    def __init__(self):
        self.answer = None
        self.asked = 0
        self.is_local = False
        self.remote_is_linked = True

    async def admission_wait_ms(self, spec, *, timeout_s):
        """Returns the answer."""
        assert timeout_s <= 0.3
        self.asked += 1
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer

    async def notify_accepted(self, spec):
        """Takes a notification of an accepted job."""


class Writer:
    """Writer that lists the recorded keys."""

    def __init__(self):
        self.keys = []

    async def write(self, key, value, *, deadline_s):
        """Records a key."""
        self.keys.append(key)


@pytest.fixture
def time(monkeypatch):
    """Returns an object whose ``now_ms`` counts suspended time too."""
    fake = types.SimpleNamespace(now_ms=1000.0)
    monkeypatch.setattr(clock, "boot_ms", lambda: fake.now_ms)
    return fake


@pytest.fixture
def scheduler():
    """Returns a scheduler client that admits everything."""
    return Scheduler()


@pytest.fixture
def host(scheduler, time):
    """Returns the admission of a host that got no notice."""
    return admission.HostAdmission(
        scheduler=scheduler, metrics=metrics.Metrics()
    )


@pytest.fixture
def writer():
    """Returns a writer without records."""
    return Writer()


@pytest.fixture
def submit(host, scheduler, writer):
    """Returns a function that submits a job, and raises if it is refused."""
    jobs = service.JobService(
        writer=writer,
        relay_writer=None,
        scheduler=scheduler,
        isolated=lambda: False,
        store=types.SimpleNamespace(slow=False, reachable=True),
        metrics=metrics.Metrics(),
        admission=host,
    )

    async def call(spec):
        deadline_s = asyncio.get_running_loop().time() + 3.0
        await jobs.submit(spec, deadline_s=deadline_s)

    return lambda spec=SPEC: asyncio.run(call(spec))


def test_refused_job_is_not_recorded(submit, host, scheduler, writer):
    """Guards against a 429 for a job that runs."""
    host.on_notice(NOTICE)
    scheduler.answer = 1400.0
    with pytest.raises(exception.Overloaded) as refusal:
        submit()
    assert writer.keys == []
    response = job_server.error_response(refusal.value)
    assert response.status == 429
    assert "a" in refusal.value.message


@pytest.mark.parametrize(
    ("wait_ms", "seconds"), ((1.0, "1"), (1000.0, "1"), (1400.0, "2"))
)
def test_retry_after_is_rounded_up(wait_ms, seconds):
    """Guards against a caller that comes back before its turn."""
    error = exception.Overloaded(
        message="m.", remedy="r.", retry_after_ms=wait_ms
    )
    headers = job_server.error_response(error).headers
    assert headers["Retry-After"] == seconds


def test_job_is_recorded_when_its_team_may_send_it(
    submit, host, scheduler, writer
):
    """Guards against jobs that are lost after the question."""
    host.on_notice(NOTICE)
    submit()
    assert scheduler.asked == 1
    assert len(writer.keys) == 1


@pytest.mark.parametrize(
    "error",
    (
        exception.LinkLost(message="No reply came.", remedy="Try again."),
        exception.LinkNotOpen(message="No link.", remedy="Try again."),
    ),
)
def test_job_is_accepted_without_an_answer(
    submit, host, scheduler, writer, error
):
    """Guards against a dead scheduler that closes the cell to a team."""
    host.on_notice(NOTICE)
    scheduler.answer = error
    submit()
    assert len(writer.keys) == 1


@pytest.mark.parametrize(
    "notice",
    (
        None,
        messages.AdmissionNotice(3, {}),
        messages.AdmissionNotice(3, {"p": ["other"], "q": ["a"]}),
    ),
)
def test_scheduler_is_not_asked_about_other_teams(
    submit, host, scheduler, notice
):
    """Guards against a round trip for jobs that are never refused."""
    if notice is not None:
        host.on_notice(notice)
    submit()
    assert scheduler.asked == 0


def test_job_without_a_team_is_not_asked_about(submit, host, scheduler):
    """Guards against extra work in deployments without teams."""
    host.on_notice(NOTICE)
    scheduler.is_local = True
    submit(model.JobSpec("0123456789abcdef", RULE, "", ()))
    assert scheduler.asked == 0


def test_notice_expires(submit, host, scheduler, time):
    """Guards against hosts that ask for ever when notices are lost."""
    host.on_notice(NOTICE)
    time.now_ms += admission.NOTICE_TTL_MS
    submit()
    assert scheduler.asked == 1
    time.now_ms += 1.0
    submit(model.JobSpec("1" * 16, RULE, "", (), team=TEAM))
    assert scheduler.asked == 1


def test_notice_has_expired_after_a_pause_of_the_host(
    submit, host, scheduler, time
):
    """Guards against a notice from before the host was suspended."""
    host.on_notice(NOTICE)
    time.now_ms += 3_600_000.0
    submit()
    assert scheduler.asked == 0


def test_notice_of_a_replaced_scheduler_is_ignored(submit, host, scheduler):
    """Guards against the old scheduler's notice after the new one's."""
    host.on_notice(messages.AdmissionNotice(4, {}))
    host.on_notice(NOTICE)
    submit()
    assert scheduler.asked == 0


def test_job_accepted_here_is_not_asked_about_again(submit, host, scheduler):
    """Guards against a 429 for the repeated call of an accepted job."""
    submit()
    host.on_notice(NOTICE)
    scheduler.answer = 500.0
    submit()
    assert scheduler.asked == 0


def test_process_of_the_scheduler_needs_no_notice(submit, scheduler):
    """Guards against one host through which a team gets everything."""
    scheduler.is_local = True
    scheduler.answer = 500.0
    with pytest.raises(exception.Overloaded):
        submit()


def test_host_without_a_term_admits_the_job_of_a_peer():
    """Guards against refusals by a process that is no scheduler any more."""
    query = messages.AdmissionQuery(7, "x", TEAM, "p")
    node = types.SimpleNamespace(term=None)
    reply = asyncio.run(scheduler_client.answer_admission(node, query, None))
    assert reply == messages.AdmissionReply(7, None)


@pytest.mark.parametrize(("newest", "taken"), ((3, [NOTICE]), (4, [])))
def test_notice_counts_only_from_the_newest_term(newest, taken):
    """Guards against a notice of a scheduler that lost its term."""
    found = []
    node = types.SimpleNamespace(
        scheduler_link=types.SimpleNamespace(
            claim=types.SimpleNamespace(term=newest)
        ),
        host_admission=types.SimpleNamespace(on_notice=found.append),
    )
    asyncio.run(scheduler_client.handle_admission_notice(node, NOTICE, None))
    assert found == taken


@pytest.mark.parametrize(
    "message",
    (
        NOTICE,
        messages.AdmissionQuery(7, "x", TEAM, "p"),
        messages.AdmissionReply(7, 12.5),
        messages.AdmissionReply(7),
    ),
)
def test_messages_survive_the_wire(message):
    """Guards against a message that no peer can decode."""
    assert messages.decode(messages.encode(message)) == message
