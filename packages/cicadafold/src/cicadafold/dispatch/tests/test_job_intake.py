"""Tests of what the scheduler tells the teams of its jobs."""

import types

import pytest

from cicadafold.dispatch import job_intake
from cicadafold import exception
from cicadafold.jobs import model
from cicadafold.journal import records
from cicadafold.teams import model as team_model
from cicadafold.telemetry import containment

RULE = model.QueueRule("q", "jobs.example", "/q/", "pool-a")
RED = team_model.TeamRule("red", 2.0, model.Resources(4000, 512, 1))
RUNNING, COMPLETED = model.JobState.RUNNING, model.JobState.COMPLETED


def restored(team):
    """Returns a specification after a restart, read from its record."""
    spec = model.JobSpec("a", RULE, "", (model.StepSpec(1),), team=team)
    _, value = records.accept_record(spec)
    return records.decode_spec(value)


@pytest.fixture
def make_intake():
    """Returns a function that makes an intake with a job of a team."""

    def make(team, *, state=RUNNING, ended=()):
        job = types.SimpleNamespace(
            spec=restored(team), reported_state=state, started=True
        )
        found = job_intake.JobIntake(
            job_table=types.SimpleNamespace(
                jobs={"a": job}, ended=dict(ended)
            ),
            record_cleaner=None,
            started_ms=0.0,
            on_known=None,
            wake=None,
            all_runs_known=None,
            containment=containment.Containment(),
        )
        found.ready = True
        return found

    return make


@pytest.mark.parametrize("state", [RUNNING, COMPLETED])
def test_job_is_shown_to_its_team_only(make_intake, state):
    """A scheduler of a later term does not know whose job it is."""
    intake = make_intake(RED, state=state)
    assert intake.state("a", "red") is state
    for team in ("blue", ""):
        with pytest.raises(exception.UnknownRequest):
            intake.state("a", team)


def test_job_without_a_team_is_shown_to_calls_without_one(make_intake):
    """A cell without teams shows no jobs, or a keyed call reads this one."""
    intake = make_intake(None)
    assert intake.state("a") is RUNNING
    with pytest.raises(exception.UnknownRequest):
        intake.state("a", "red")


def test_ended_job_whose_team_is_not_known_is_shown(make_intake):
    """Its caller is told that a job which has ended is unknown."""
    intake = make_intake(RED, ended={"b": COMPLETED})
    for team in ("red", "blue", ""):
        assert intake.state("b", team) is COMPLETED


def test_rule_of_the_team_is_part_of_the_record():
    """A new term applies no cap to the jobs of a removed team."""
    assert restored(RED).team == RED
    assert restored(None).team is None


@pytest.fixture
def arriving():
    """Returns an intake, ready for long, and the list of added jobs.

    The list holds pairs of a job's identifier and whether it counts as
    inherited; ``intake.known`` says whether all run attempts are known.
    """
    added = []

    def add(spec, *, inherited, max_age_ms):
        added.append((spec.id, inherited))
        job = types.SimpleNamespace(
            spec=spec, objective_ms=0.0, arrived_ms=0.0
        )
        table.jobs[spec.id] = job
        return job

    table = types.SimpleNamespace(jobs={}, ended={}, rules={}, add=add)
    intake = job_intake.JobIntake(
        job_table=table,
        record_cleaner=types.SimpleNamespace(on_known=lambda job: None),
        started_ms=-60_000.0,
        on_known=lambda job: None,
        wake=lambda: None,
        all_runs_known=lambda pool: intake.known,
        containment=containment.Containment(),
    )
    intake.known = False
    intake.ready = True
    intake.journal_state = types.SimpleNamespace(specs={}, cancelled=set())
    return intake, added


@pytest.mark.parametrize("from_host", [True, False])
@pytest.mark.parametrize("known", [True, False])
def test_new_job_waits_until_all_runs_are_known(arriving, from_host, known):
    """An earlier scheduler may have started it, if it had been notified.

    A job counted as new two seconds after the start of a term, and at once
    if a host had sent it, although its submission may be a repeated one.
    """
    intake, added = arriving
    intake.known = known
    spec = restored(None)
    if from_host:
        intake.on_accepted(spec)
    else:
        intake.journal_state.specs["a"] = spec
        intake.on_changed("a")
    assert added == [("a", not known)]


def test_job_that_is_read_during_the_recovery_is_inherited(arriving):
    """The workers are not asked before the recovery is complete."""
    intake, added = arriving
    intake.known, intake.ready = True, False
    intake.journal_state.specs["a"] = restored(None)
    intake.on_changed("a")
    assert added == [("a", True)]
