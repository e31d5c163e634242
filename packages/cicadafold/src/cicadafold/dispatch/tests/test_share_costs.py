"""Tests of the time that a decision about shares takes."""

import gc
import time
import types

import pytest

from cicadafold import clock
from cicadafold.daemon import cell_main
from cicadafold.dispatch import admission
from cicadafold.dispatch import team_shares
from cicadafold.dispatch.tests import accounting
from cicadafold.jobs import model
from cicadafold.scheduling import views
from cicadafold.teams import model as team_model
from cicadafold.telemetry import metrics

WORKERS = 350
WORKER_CORES_MILLI = 16_000
# Free on each worker of a full pool: too little for a task.
FREE_MILLI = 500
# Waiting steps: those of 4 s, the longest task, of the heaviest day with 50
# jobs a second; at least one of each team.
WAITING_STEPS = 200
DECISIONS = 300
# Bounds in milliseconds for the 99th percentile of one decision, by the
# number of teams, as the page of requirements states them.
BOUNDS_MS = {20: 1.0, 540: 3.0}


@pytest.fixture(autouse=True)
def collector():
    """Collects garbage as rarely as the daemon does."""
    before = gc.get_threshold()
    gc.set_threshold(cell_main.GC_THRESHOLD)
    yield
    gc.set_threshold(*before)


def percentile_99_ms(decide):
    """Returns the 99th percentile of the durations of a decision, in ms.

    The processor time of this thread counts: the machine runs other tests.
    """
    durations = []
    for number in range(DECISIONS):
        started_ns = time.thread_time_ns()
        decide(number)
        durations.append(time.thread_time_ns() - started_ns)
    return sorted(durations)[int(DECISIONS * 0.99)] / 1e6


def make_accounting(count):
    """Returns the accounting of a full cell with some teams.

    Half of them use three times what the others use.
    """
    teams = accounting.settled_accounting()
    mean_milli = WORKERS * (WORKER_CORES_MILLI - FREE_MILLI) / count
    for number in range(count):
        rule = team_model.TeamRule(f"t{number}", weight=1.0 + number % 7)
        teams.rules[rule.name] = rule
        used_milli = int(mean_milli * (0.5 + number % 2))
        teams.usage.add(rule.name, model.Resources(used_milli), pool="p")
    return teams


def make_ranked(rules):
    """Returns waiting steps of all teams in order of their rank."""
    queue = model.QueueRule("q", "a", "/q/", "p")
    ranked = []
    count = max(WAITING_STEPS, len(rules))
    for number in range(count):
        rule = rules[number % len(rules)]
        job = types.SimpleNamespace(
            rule=queue,
            beyond_rate=False,
            spec=model.JobSpec(str(number), queue, "", (), team=rule),
        )
        step = types.SimpleNamespace(
            job=job, spec=model.StepSpec(3, model.Resources(2500))
        )
        tasks = [types.SimpleNamespace(needs_start=True) for _ in range(3)]
        rank = (number * 3 // count, False, False, 1, 0, float(number))
        ranked.append(((rank, str(number), 0, 0), step, tasks))
    return ranked


@pytest.mark.parametrize("count", BOUNDS_MS)
def test_shares_of_a_pass_are_cheap(count):
    """Guards against passes that become slow with the number of teams."""
    teams = make_accounting(count)
    shares = team_shares.TeamShares(teams=teams)
    ranked = make_ranked(list(teams.rules.values()))
    pools = {
        "p": {
            f"w{number}": views.WorkerView(
                f"w{number}", "", "d", frozenset(), FREE_MILLI, 0, 0
            )
            for number in range(WORKERS)
        }
    }

    def decide(_):
        for _ in shares.order(ranked, pools):
            pass

    found_ms = percentile_99_ms(decide)
    shared = shares.pass_shares.shares["p"]
    capacity = WORKERS * WORKER_CORES_MILLI
    assert sum(shared.values()) == pytest.approx(capacity, rel=0.01)
    assert found_ms <= BOUNDS_MS[count], found_ms


@pytest.mark.parametrize("count", BOUNDS_MS)
def test_admission_of_a_job_is_cheap(count, monkeypatch):
    """Guards against answers that become slow while all teams are refused."""
    now = types.SimpleNamespace(ms=0.0)
    monkeypatch.setattr(clock, "monotonic_ms", lambda: now.ms)
    teams = make_accounting(count)
    scheduler = admission.Admission(
        term=1,
        teams=teams,
        intake=types.SimpleNamespace(may_be_accepted=lambda job: False),
        broadcast=lambda message: None,
        metrics=metrics.Metrics(),
    )
    rules = list(teams.rules.values())
    queue = model.QueueRule("q", "a", "/q/", "p")

    def decide(number):
        now.ms += 10.0
        rule = rules[number % count]
        scheduler.wait_ms(f"asked-{number}", rule, "p")
        spec = model.JobSpec(str(number), queue, "", (), team=rule)
        job = types.SimpleNamespace(
            spec=spec, arrived_ms=now.ms, beyond_rate=False
        )
        scheduler.on_arrival(job)
        scheduler.announce(now.ms)

    for rule in rules:
        for _ in range(100):
            scheduler.meter.take(rule, 0.0)
    pressure = types.SimpleNamespace(
        full=lambda now_ms: True, lately_full=lambda now_ms: True
    )
    scheduler.pressures["p"] = pressure
    found_ms = percentile_99_ms(decide)
    assert scheduler.announced
    assert found_ms <= BOUNDS_MS[count], found_ms
