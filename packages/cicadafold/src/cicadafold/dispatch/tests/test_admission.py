"""Tests of the scheduler's side of shares and admission."""

import types

import pytest

from cicadafold import clock
from cicadafold.dispatch import admission
from cicadafold.dispatch.tests import accounting
from cicadafold.jobs import model
from cicadafold.peers import messages
from cicadafold.scheduling import arrivals
from cicadafold.scheduling import ranking
from cicadafold.scheduling import team_admission
from cicadafold.teams import model as team_model
from cicadafold.telemetry import metrics

TEAM = team_model.TeamRule("a", weight=10.0)
POOL = "p"
OTHER_POOL = "q"
BURST = 40


class Intake:
    """Knows the jobs that were accepted."""

    def __init__(self):
        self.accepted = set()
        self.up_to_date = True

    def may_be_accepted(self, job):
        """Whether a job may have been accepted."""
        return job in self.accepted or not self.up_to_date


@pytest.fixture
def time(monkeypatch):
    """Returns an object whose ``now_ms`` is the monotonic time."""
    fake = types.SimpleNamespace(now_ms=1000.0)
    monkeypatch.setattr(clock, "monotonic_ms", lambda: fake.now_ms)
    return fake


@pytest.fixture
def teams():
    """Returns the accounting of a cell with one team."""
    found = accounting.settled_accounting()
    found.rules = {"a": TEAM}
    return found


@pytest.fixture
def sent():
    """Returns the list of the messages that were sent to all peers."""
    return []


@pytest.fixture
def scheduler(teams, sent):
    """Returns the admission of a term."""
    return admission.Admission(
        term=3,
        teams=teams,
        intake=Intake(),
        broadcast=sent.append,
        metrics=metrics.Metrics(),
    )


def make_job(name, *, at_ms=1000.0, team=TEAM, waited_ms=0, pool=POOL):
    """Returns a job that arrived at some time."""
    rule = model.QueueRule("queue", "a", "/q/", pool)
    spec = model.JobSpec(name, rule, "", (), team=team, waited_ms=waited_ms)
    return types.SimpleNamespace(
        spec=spec,
        rule=rule,
        arrived_ms=at_ms - waited_ms,
        beyond_rate=False,
    )


def send(scheduler, count, at_ms=1000.0):
    """Lets jobs of the team arrive; returns how many are within its rate."""
    jobs = [make_job(f"{at_ms}-{n}", at_ms=at_ms) for n in range(count)]
    for job in jobs:
        scheduler.on_arrival(job)
    return sum(not job.beyond_rate for job in jobs)


def threaten(scheduler, now_ms, pool=POOL):
    """Lets a step that cannot be placed be threatened at some time."""
    step = types.SimpleNamespace(
        job=types.SimpleNamespace(rule=types.SimpleNamespace(pool=pool))
    )
    waiting = ranking.WaitingStep(
        priority=0,
        arrived_ms=now_ms,
        objective_ms=1000.0,
        remaining_ms=900.0,
    )
    scheduler.on_unplaced(step, lambda _: waiting, now_ms)


def fill(scheduler, time, duration_ms=0.0):
    """Fills the pool and lets the team be announced until it is refused."""
    send(scheduler, BURST + 1, at_ms=time.now_ms)
    end_ms = time.now_ms + admission.SETTLE_MS + 300.0 + duration_ms
    while time.now_ms < end_ms:
        threaten(scheduler, time.now_ms)
        scheduler.announce(time.now_ms)
        time.now_ms += 100.0


def ask(scheduler, job, pool=POOL):
    """Asks about a job; returns None or the wait in milliseconds."""
    return scheduler.wait_ms(job, TEAM, pool)


def drain_tokens(scheduler):
    """Asks about new jobs until one is refused."""
    number = 0
    while ask(scheduler, f"drain-{number}") is None:
        number += 1


def test_job_of_a_full_pool_is_refused_until_its_turn(scheduler, time):
    """Guards against a stated time at which the job is refused again."""
    fill(scheduler, time)
    drain_tokens(scheduler)
    wait_ms = ask(scheduler, "x")
    assert wait_ms >= 1000.0 / TEAM.weight
    time.now_ms += wait_ms - 1.0
    threaten(scheduler, time.now_ms)
    assert ask(scheduler, "x") is not None
    time.now_ms += 1.0
    assert ask(scheduler, "x") is None


def test_nothing_is_refused_while_the_pool_has_room(scheduler, time):
    """Guards against refusals from a rate alone."""
    send(scheduler, 10 * BURST)
    scheduler.announce(time.now_ms)
    time.now_ms += admission.SETTLE_MS
    assert ask(scheduler, "x") is None


def test_full_pool_does_not_close_another_one(scheduler, time):
    """Guards against refusals of jobs that other workers would run."""
    fill(scheduler, time)
    drain_tokens(scheduler)
    assert ask(scheduler, "x", OTHER_POOL) is None


def test_team_within_its_rate_is_not_refused(scheduler, time):
    """Guards against refusals of a small team because of a large one."""
    small = team_model.TeamRule("small", weight=10.0)
    scheduler.teams.rules["small"] = small
    fill(scheduler, time)
    assert scheduler.wait_ms("x", small, POOL) is None


def test_accepted_job_is_never_refused(scheduler, time):
    """Guards against a 429 for a repeated call whose job runs."""
    fill(scheduler, time)
    drain_tokens(scheduler)
    scheduler.intake.accepted.add("x")
    assert ask(scheduler, "x") is None
    assert ask(scheduler, "y") is not None


def test_nothing_is_refused_while_the_journal_is_behind(scheduler, time):
    """Guards against a 429 for a job whose record is not read yet."""
    fill(scheduler, time)
    drain_tokens(scheduler)
    scheduler.intake.up_to_date = False
    assert ask(scheduler, "x") is None


def test_job_that_was_admitted_is_not_refused_when_repeated(scheduler, time):
    """Guards against a 429 while another host still records the job."""
    fill(scheduler, time)
    assert ask(scheduler, "x") is None
    drain_tokens(scheduler)
    assert ask(scheduler, "x") is None


def test_job_admitted_before_the_pool_filled_up_is_not_refused(
    scheduler, time
):
    """Guards against a 429 for a call that was let through without a token."""
    fill(scheduler, time)
    time.now_ms += team_admission.CLEAR_AFTER_MS + 100.0
    assert ask(scheduler, "x") is None
    for _ in range(4):
        threaten(scheduler, time.now_ms)
        time.now_ms += 100.0
    drain_tokens(scheduler)
    assert ask(scheduler, "x") is None


def test_nothing_is_refused_until_all_hosts_have_long_been_told(
    scheduler, time
):
    """Guards against a 429 for a job that a host accepted without asking."""
    send(scheduler, BURST + 1, at_ms=time.now_ms)
    started_ms = time.now_ms
    while time.now_ms < started_ms + 200.0 + admission.SETTLE_MS:
        threaten(scheduler, time.now_ms)
        scheduler.announce(time.now_ms)
        drain = [ask(scheduler, f"{time.now_ms} {n}") for n in range(20)]
        assert drain == [None] * 20
        time.now_ms += 100.0


def test_job_is_charged_once(scheduler, time):
    """Guards against a job that takes a token when asked and on arrival."""
    fill(scheduler, time)
    time.now_ms += 60_000.0
    fill(scheduler, time)
    before = scheduler.meter.refill(TEAM, time.now_ms).tokens
    assert ask(scheduler, "x") is None
    job = make_job("x", at_ms=time.now_ms)
    scheduler.on_arrival(job)
    assert not job.beyond_rate
    after = scheduler.meter.refill(TEAM, time.now_ms).tokens
    assert before - after == pytest.approx(1.0)


def test_notice_is_repeated_within_a_second(scheduler, sent, time):
    """Guards against a host that misses one notice for good."""
    fill(scheduler, time, duration_ms=2000.0)
    assert sent[0] == messages.AdmissionNotice(3, {POOL: ["a"]})
    assert len(sent) >= (admission.SETTLE_MS + 2000.0) / 1000.0


def test_end_of_the_pressure_is_announced(scheduler, sent, time):
    """Guards against hosts that go on asking for nothing."""
    fill(scheduler, time)
    time.now_ms += team_admission.LATELY_FULL_MS + 1.0
    scheduler.announce(time.now_ms)
    assert sent[-1] == messages.AdmissionNotice(3, {})
    count = len(sent)
    time.now_ms += 5000.0
    scheduler.announce(time.now_ms)
    assert len(sent) == count


def test_pool_that_is_full_now_and_then_refuses_at_once(scheduler, time):
    """Guards against flapping: each time, seconds without a refusal."""
    fill(scheduler, time)
    time.now_ms += team_admission.CLEAR_AFTER_MS + 100.0
    scheduler.announce(time.now_ms)
    assert ask(scheduler, "x") is None
    for _ in range(4):
        threaten(scheduler, time.now_ms)
        time.now_ms += 100.0
    drain_tokens(scheduler)
    assert ask(scheduler, "y") is not None


def test_new_term_starts_with_full_buckets(teams, sent, time, scheduler):
    """Guards against a takeover that refuses what was within the rate."""
    send(scheduler, 10 * BURST)
    successor = admission.Admission(
        term=4,
        teams=teams,
        intake=Intake(),
        broadcast=sent.append,
        metrics=metrics.Metrics(),
    )
    assert send(successor, BURST + 5) == BURST


def test_jobs_of_earlier_terms_keep_their_place_by_arrival(scheduler, time):
    """Guards against excess jobs that a takeover puts before the others."""
    jobs = [make_job(str(n), at_ms=1000.0 + n * 12.5) for n in range(800)]
    scheduler.on_restored(reversed(jobs))
    within = [job for job in jobs if not job.beyond_rate]
    assert len(within) == pytest.approx(BURST + 100, abs=2)
    assert within[:BURST] == jobs[:BURST]
    assert send(scheduler, BURST + 5) == BURST


def test_rate_counts_when_the_cell_received_a_job(scheduler, time):
    """Guards against tokens for the time that a caller says it waited."""
    job = make_job("x", at_ms=time.now_ms, waited_ms=50_000)
    scheduler.on_arrival(job)
    assert scheduler.meter.buckets["a"].updated_ms == time.now_ms


def test_jobs_read_late_count_by_the_time_of_their_arrival(scheduler, time):
    """Guards against a burst when the journal is read after a pause."""
    jobs = [make_job(str(n), at_ms=1000.0 + n * 100.0) for n in range(300)]
    time.now_ms = 60_000.0
    for job in jobs:
        scheduler.on_arrival(job)
    assert not any(job.beyond_rate for job in jobs)


def test_cell_without_teams_meters_nothing(scheduler, sent, time):
    """Guards against work and refusals where no team is configured."""
    scheduler.teams.rules = {}
    job = make_job("x")
    scheduler.on_arrival(job)
    for _ in range(50):
        threaten(scheduler, time.now_ms)
        scheduler.announce(time.now_ms)
        time.now_ms += 100.0
    assert ask(scheduler, "y") is None
    assert not job.beyond_rate
    assert not scheduler.meter.buckets
    assert not sent


def test_job_without_a_team_is_never_beyond_a_rate(scheduler):
    """Guards against metering of calls over an anonymous route."""
    job = make_job("x", team=None)
    scheduler.on_arrival(job)
    assert not job.beyond_rate


def test_removed_team_keeps_the_rate_of_its_acceptance(scheduler):
    """Guards against jobs of a removed team that are not metered."""
    scheduler.teams.rules = {"other": team_model.TeamRule("other")}
    assert send(scheduler, BURST + 5) == BURST


def test_begin_and_end_of_refusals_are_logged_once(scheduler, time, caplog):
    """Guards against refusals that operators cannot find, or a full log."""
    caplog.set_level("INFO", logger="cicadafold")
    fill(scheduler, time)
    drain_tokens(scheduler)
    for number in range(20):
        ask(scheduler, f"x-{number}")
    time.now_ms += team_admission.LATELY_FULL_MS + 1.0
    scheduler.announce(time.now_ms)
    lines = [x.getMessage() for x in caplog.records if "refused" in x.msg]
    assert len(lines) == 2
    assert scheduler.gauges()["team_refused"] == {"a": 21}


def test_idle_meter_does_not_grow(scheduler, time):
    """Guards against memory that grows with the names of removed teams."""
    for number in range(100):
        scheduler.teams.rules = {f"t{number}": TEAM}
        rule = team_model.TeamRule(f"t{number}")
        scheduler.on_arrival(make_job("x", team=rule, at_ms=time.now_ms))
    time.now_ms += arrivals.IDLE_MS
    scheduler.announce(time.now_ms)
    assert len(scheduler.turns) <= 1
    assert len(scheduler.meter.buckets) <= 1
