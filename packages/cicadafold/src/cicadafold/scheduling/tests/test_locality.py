"""Tests of the decision how long to wait for a rack."""

import math

import pytest

from cicadafold.jobs import model
from cicadafold.scheduling import locality
from cicadafold.scheduling import reservation
from cicadafold.scheduling import views

Choice = locality.Choice
Reason = locality.Reason


def situation(**fields):
    """Returns the situation of a patient task of 1 s with ample slack."""
    known = {
        "tasks": 1,
        "task_ms": 1000.0,
        "far_factor": 2.0,
        "slack_ms": 60_000.0,
    }
    return locality.Situation(**(known | fields))


def outlook(*starts_ms, **fields):
    """Returns an outlook in which much capacity is free elsewhere."""
    return locality.Outlook(
        starts_ms=starts_ms, **({"far_tasks": 100} | fields)
    )


def test_tasks_that_fit_start_near_at_once():
    """A step must not wait while the rack of its data has room."""
    found = locality.decide(situation(tasks=2), outlook(0.0, 0.0))
    assert (found.choice, found.near, found.far) == (Choice.NEAR, 2, 0)


@pytest.mark.parametrize(
    ("start_ms", "choice"), ((300.0, Choice.WAIT), (5000.0, Choice.FAR))
)
def test_wait_pays_only_if_near_completion_is_sooner(start_ms, choice):
    """Neither a short wait is avoided nor a long one accepted."""
    found = locality.decide(situation(), outlook(start_ms))
    assert found.choice is choice
    assert (found.near_ms, found.far_ms) == (start_ms + 1000.0, 2000.0)


def test_some_tasks_start_near_some_wait_and_some_go_far():
    """A wide step does not wait as a whole for its last tasks."""
    found = locality.decide(
        situation(tasks=5), outlook(0.0, 0.0, 200.0, 9000.0, 9000.0)
    )
    assert (found.near, found.held, found.far) == (2, 1, 2)
    assert found.wait_ms == 200.0


def test_rack_without_usable_worker_is_not_waited_for():
    """A lost rack would otherwise hold its steps until they are late."""
    found = locality.decide(situation(tasks=3), outlook())
    assert (found.choice, found.reason) == (Choice.FAR, Reason.NO_WORKER)
    assert found.far == 3
    assert math.isinf(found.near_ms)


def test_wait_in_total_is_bounded():
    """Ends that are expected soon again and again cannot hold a step."""
    waited = situation(held_ms=1e4)
    found = locality.decide(waited, outlook(1.0))
    assert (found.choice, found.reason) == (Choice.FAR, Reason.WAITED)
    full = locality.decide(waited, outlook(1.0, load=1.0))
    assert full.choice is Choice.FAR


def test_job_in_time_elsewhere_does_not_wait_beyond_its_slack():
    """Waiting in a full pool must not make a job late."""
    full = outlook(3000.0, load=1.0)
    patient = locality.decide(situation(), full)
    assert (patient.choice, patient.reason) == (
        Choice.WAIT,
        Reason.SPARES_CAPACITY,
    )
    tight = locality.decide(situation(slack_ms=2000.0), full)
    assert (tight.choice, tight.reason) == (Choice.FAR, Reason.SLACK)


def test_urgent_step_waits_only_to_be_complete_sooner():
    """Urgent work must not wait to spare the capacity of others."""
    full = outlook(3000.0, load=1.0)
    assert locality.decide(situation(urgent=True), full).choice is Choice.FAR
    soon = locality.decide(situation(urgent=True), outlook(300.0, load=1.0))
    assert soon.choice is Choice.WAIT


def test_late_job_does_not_wait_after_a_takeover():
    """Waits of forgotten terms would add up for a job that is late."""
    late = situation(slack_ms=100.0, remeasured=True)
    found = locality.decide(late, outlook(50.0))
    assert (found.choice, found.reason) == (Choice.FAR, Reason.SLACK)
    in_time = situation(remeasured=True)
    assert locality.decide(in_time, outlook(50.0)).choice is Choice.WAIT


def test_idle_and_full_pools_differ():
    """Remote tasks delay others only in a pool that is crowded."""
    idle = locality.decide(situation(), outlook(3000.0, load=0.2))
    full = locality.decide(situation(), outlook(3000.0, load=1.0))
    assert (idle.choice, full.choice) == (Choice.FAR, Choice.WAIT)


def test_without_capacity_elsewhere_no_wait_is_reported():
    """A full cell must not be mistaken for a wait for a rack."""
    found = locality.decide(situation(), outlook(300.0, far_tasks=0))
    assert (found.choice, found.reason) == (Choice.WAIT, Reason.NO_CAPACITY)


def test_capacity_for_which_others_wait_is_taken_last():
    """Steps would otherwise drive each other out of their racks."""
    wanted = {"far_tasks": 0, "wanted_tasks": 9}
    found = locality.decide(situation(), outlook(90_000.0, **wanted))
    assert (found.choice, found.reason) == (Choice.WAIT, Reason.WANTED)
    waited = situation(held_ms=locality.CROWDED_PATIENCE * 1600.0)
    found = locality.decide(waited, outlook(90_000.0, **wanted))
    assert (found.choice, found.far) == (Choice.FAR, 1)


def test_gang_that_starts_elsewhere_later_may_wait_longer():
    """The time until a gang fits elsewhere counts as well."""
    later = outlook(4000.0, far_in_ms=3500.0)
    assert locality.decide(situation(), later).choice is Choice.WAIT


@pytest.fixture
def futures():
    """Returns two full workers with four cores, of tasks of one core.

    Their tasks end after 100, 200, 300 and 400 ms.
    """
    need = model.Resources(1000, 10, 0)
    found = []
    for name in ("a", "b"):
        view = views.WorkerView(name, "r0-0", "d", frozenset(), 0, 900, 0)
        ends = [(100.0 * number, need) for number in range(1, 5)]
        found.append(reservation.FutureCapacity(view, ends))
    return found


def demand(tasks, cores_milli=1000):
    """Returns a demand for tasks."""
    return views.Demand(tasks=tasks, need=model.Resources(cores_milli, 10, 0))


def test_starts_follow_the_expected_ends(futures):
    """Tasks wait for the ends that come first, and for each other."""
    starts = locality.rack_starts_ms(demand(3), futures, 1000.0)
    assert starts == (100.0, 100.0, 200.0)
    wide = locality.rack_starts_ms(demand(10), futures, 1000.0)
    assert wide[-2:] == (1100.0, 1100.0)


def test_earlier_claims_delay_later_steps(futures):
    """Two steps must not both count on the same capacity."""
    claims = [locality.Claim(2, 2000, 1000.0)]
    starts = locality.rack_starts_ms(demand(1), futures, 500.0, claims)
    assert starts == (300.0,)


def test_task_that_never_fits_has_no_start(futures):
    """A task larger than the workers must not wait for them."""
    assert locality.rack_starts_ms(demand(1, 9000), futures, 500.0) == ()


@pytest.mark.parametrize(
    ("fields", "racks", "far"),
    (
        ({"data_rack": "r1-0"}, {"r0-0"}, True),
        ({"data_rack": "r0-0"}, {"r0-0"}, False),
        ({"gang": True, "one_rack": True}, {"r0-0"}, False),
        ({"gang": True, "one_rack": True}, {"r0-0", "r1-0"}, True),
        ({"gang": True}, {"r0-0", "r1-0"}, False),
        ({}, {"r0-0"}, False),
    ),
)
def test_remote_run_attempts_are_recognized(fields, racks, far):
    """A remote task must not make its worker appear slow."""
    spec = model.StepSpec(tasks=2, **fields)
    assert locality.is_far(spec, "r0-0", racks) is far
