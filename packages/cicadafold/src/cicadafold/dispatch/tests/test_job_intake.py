"""Tests of what the scheduler tells the teams of its jobs."""

import types

import pytest

from cicadafold.dispatch import job_intake
from cicadafold import exception
from cicadafold.jobs import model
from cicadafold.journal import records
from cicadafold.teams import model as team_model

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
