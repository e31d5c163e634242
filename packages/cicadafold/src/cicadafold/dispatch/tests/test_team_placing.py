"""Tests of passes over the waiting steps of several teams."""

import types

import msgspec
import pytest

from cicadafold import clock
from cicadafold.dispatch import admission
from cicadafold.dispatch import crash_tracking
from cicadafold.dispatch import job_table
from cicadafold.dispatch import leases
from cicadafold.dispatch import placing
from cicadafold.dispatch import runs
from cicadafold.dispatch.tests import accounting
from cicadafold.dispatch import ticketing
from cicadafold.jobs import model
from cicadafold.scheduling import estimates
from cicadafold.scheduling import ranking
from cicadafold.teams import model as team_model
from cicadafold.telemetry import metrics

CORE = model.Resources(1000, 10, 0)
BIG = team_model.TeamRule("big", weight=1.0)
SMALL = team_model.TeamRule("small", weight=1.0)


class Cell:
    """A placer with one worker of sixteen cores, whose starts are not sent.

    Attributes:
        placer: ``Placer``.
        table: ``JobTable``.
        teams: ``TeamAccounting``.
    """

    def __init__(self, report):
        counts = metrics.Metrics()
        self.teams = accounting.settled_accounting()
        worker = runs.Worker(
            report=report,
            now_ms=clock.monotonic_ms(),
            team_usage=self.teams.usage,
        )
        worker.fenced = True
        worker.closed_to_starts = False
        found = estimates.DurationEstimates()
        self.table = job_table.JobTable(
            journal=None,
            estimates=found,
            stop_run=None,
            metrics=counts,
        )
        self.placer = placing.Placer(
            term=1,
            job_table=self.table,
            estimates=found,
            workers={"w": worker},
            links={},
            all_runs_known=lambda pool: True,
            commands_allowed=lambda: True,
            spawn=lambda coroutine: coroutine.close(),
            lease=leases.LeaseTimes(max_lease_ms=6000.0),
            crashes=crash_tracking.CrashTracker(
                job_table=self.table,
                journal=None,
                first_attempt=0,
                metrics=counts,
            ),
            teams=self.teams,
            metrics=counts,
        )

    def add(self, name, tasks, team, *, priority=1, beyond=False, **fields):
        """Adds a job of one step.

        Args:
            name: Identifier of the job.
            tasks: Number of tasks of one core.
            team: Rule of its team, or None.
            priority: Priority of its queue.
            beyond: Whether it is beyond its team's rate.
            **fields: Further fields of the step.
        """
        rule = model.QueueRule(
            "q", "a", "/q/", "p", priority=priority, stretch=3.0
        )
        step = model.StepSpec(tasks, CORE, 1000, **fields)
        spec = model.JobSpec(name, rule, "", (step,), team=team)
        job = self.table.add(spec, max_age_ms=0.0)
        job.beyond_rate = beyond
        return job

    def started(self):
        """Makes a pass; returns the number of started tasks by job."""
        self.placer.place_waiting_steps()
        return {
            name: len(job.runs())
            for name, job in self.table.jobs.items()
            if job.runs()
        }


@pytest.fixture
def cell(report):
    """Returns a cell without teams."""
    return Cell(report)


@pytest.fixture
def shared(cell):
    """Returns a cell with two teams of the same weight."""
    cell.teams.rules = {"big": BIG, "small": SMALL}
    return cell


def test_first_job_takes_all_without_teams(cell):
    """Guards against a new order in deployments without teams."""
    cell.add("first", 40, None)
    cell.add("second", 40, None)
    assert cell.started() == {"first": 16}


def test_rank_without_teams_is_that_by_slack(cell):
    """Guards against a different rank in deployments without teams."""
    job = cell.add("first", 1, None)
    (step,) = job.steps_of(0)
    now_ms = clock.monotonic_ms()
    waiting = cell.placer.waiting_step(step)
    rank = ranking.RANKINGS["slack"](waiting, now_ms)
    assert cell.placer.rank_of(step, now_ms) == (rank, "first", 0, 0)


def test_teams_divide_a_pass(shared):
    """Guards against a pass in which one team takes every free core."""
    shared.add("first", 40, BIG)
    shared.add("second", 40, SMALL)
    assert shared.started() == {"first": 8, "second": 8}
    assert shared.teams.usage.cores_by_pool == {
        "p": {"big": 8000, "small": 8000}
    }


def test_team_alone_uses_the_whole_pool(shared):
    """Guards against cores that stay free because of a share."""
    shared.add("first", 40, BIG)
    assert shared.started() == {"first": 16}


def test_team_that_came_later_gets_what_becomes_free(shared):
    """Guards against a team that stays above its share by being first."""
    job = shared.add("first", 40, BIG)
    shared.started()
    shared.add("again", 40, BIG)
    shared.add("second", 40, SMALL)
    for run in job.runs()[:4]:
        run.task.done = True
        run.worker.remove(run)
    assert shared.started()["second"] == 4


def test_excess_jobs_come_last_in_their_class(shared):
    """Guards against jobs beyond the rate before those of other teams."""
    shared.add("patient", 16, SMALL)
    shared.add("excess", 6, BIG, priority=0, beyond=True)
    shared.add("urgent", 6, SMALL, priority=0)
    assert shared.started() == {"urgent": 6, "excess": 6, "patient": 4}


def test_gang_runs_whole_or_not_at_all(shared):
    """Guards against a gang of which a share starts a part."""
    shared.add("gang", 12, BIG, gang=True)
    shared.add("second", 40, SMALL)
    assert shared.started() == {"gang": 12, "second": 4}


def test_pool_that_is_full_of_patient_work_closes_only_for_late_steps(
    shared,
):
    """Guards against refusals from utilisation alone."""
    found = admission.Admission(
        term=1,
        teams=shared.teams,
        intake=None,
        broadcast=None,
        metrics=metrics.Metrics(),
    )
    shared.placer.shares.on_unplaced = found.on_unplaced
    job = shared.add("first", 40, BIG)
    shared.started()
    assert found.pressures["p"].last_ms is None
    job.arrived_ms -= 1500.0
    shared.started()
    assert found.pressures["p"].last_ms is not None


@pytest.mark.parametrize(("tasks", "noted"), ((16, True), (17, False)))
def test_gang_wider_than_the_pool_does_not_fill_it(shared, tasks, noted):
    """Guards against refusals for as long as such a gang is known."""
    found = []
    shared.placer.shares.on_unplaced = lambda step, *_: found.append(step)
    shared.add("first", 1, SMALL, priority=0)
    shared.add("wide", tasks, BIG, gang=True)
    assert shared.started() == {"first": 1}
    assert bool(found) is noted


def test_advice_is_requested_once_a_pass(shared):
    """Guards against calls for the same tickets in both parts of a pass."""
    queued = []
    shared.placer.advice_dispatcher = types.SimpleNamespace(
        replace_queue=queued.extend
    )
    for name, team in (("first", BIG), ("second", SMALL)):
        job = shared.add(name, 40, team)
        cost = model.AdviceCost(10.0, 0.1, 1000.0)
        job.rule = msgspec.structs.replace(job.rule, advice=cost)
    assert shared.started() == {}
    assert [x.step.job.spec.id for x in queued] == ["first", "second"]


def test_pass_prepares_a_bounded_number_of_advice_requests(
    shared, monkeypatch
):
    """Looking at all workers for each waiting step stalled the scheduler."""
    queued, looks = [], []
    shared.placer.advice_dispatcher = types.SimpleNamespace(
        replace_queue=queued.extend
    )
    original = ticketing.TicketPlanner.candidate_workers

    def look(planner, step, *arguments):
        looks.append(step)
        return original(planner, step, *arguments)

    monkeypatch.setattr(ticketing.TicketPlanner, "candidate_workers", look)
    for number in range(400):
        job = shared.add(f"job{number:03}", 1, BIG)
        cost = model.AdviceCost(10.0, 0.1, 1000.0)
        job.rule = msgspec.structs.replace(job.rule, advice=cost)
    assert shared.started() == {}
    names = [request.step.job.spec.id for request in queued]
    assert names == [f"job{number:03}" for number in range(len(names))]
    assert 0 < len(names) <= 48
    assert len(looks) <= 48


@pytest.mark.parametrize(
    ("preempting", "pass_ms", "pause_s"),
    [(None, 50.0, 0.006), (True, 50.0, 0.05), (True, 1.0, 0.006)],
)
def test_long_passes_leave_time_for_the_workers(preempting, pass_ms, pause_s):
    """Guards against passes that keep the answers of workers waiting."""
    placer = types.SimpleNamespace(preempting=preempting)
    assert placing.Placer.pause_s(placer, pass_ms) == pause_s
