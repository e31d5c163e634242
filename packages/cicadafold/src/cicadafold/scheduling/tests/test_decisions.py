"""Tests of placement, reservations, queue order and duration estimates."""

import pytest

from cicadafold.jobs import model
from cicadafold.scheduling import estimates
from cicadafold.scheduling import placement
from cicadafold.scheduling import ranking
from cicadafold.scheduling import reservation
from cicadafold.scheduling import views

SCORE = placement.POLICIES["best-fit"]


@pytest.fixture
def workers():
    """Returns four workers with four free cores each, in two racks."""
    views_by_name = {}
    for number in range(4):
        rack = f"r1-{number // 2}"
        views_by_name[f"h{number}"] = views.WorkerView(
            id=f"h{number}",
            rack=rack,
            domain="d",
            labels=frozenset(("a" if number % 2 else "b", rack)),
            cores_milli=4000,
            memory_mb=1000,
            accelerators=0,
        )
    return views_by_name


def demand(tasks, cores_milli=1000, **fields):
    """Returns a demand for a number of tasks of 10 MB each."""
    need = model.Resources(cores_milli, 10, 0)
    return views.Demand(tasks=tasks, need=need, **fields)


def test_gang_is_placed_whole_or_not_at_all(workers):
    """No capacity is reserved for a gang that does not fit as a whole."""
    assert placement.place(demand(17, gang=True), workers, score=SCORE) == []
    assert workers["h0"].cores_milli == 4000
    chosen = placement.place(demand(16, gang=True), workers, score=SCORE)
    assert len(chosen) == 16


def test_placement_stays_within_capacity(workers):
    """Tasks that exceed the free capacity are not placed."""
    chosen = placement.place(demand(30, 1500), workers, score=SCORE)
    assert len(chosen) == 8
    assert all(worker.cores_milli >= 0 for worker in workers.values())


def test_label_per_worker_limit_and_permission_are_respected(workers):
    """Only permitted workers with the label get tasks, up to the limit."""
    wanted = demand(
        9,
        label="a",
        per_host=2,
        running_per_worker={"h1": 1},
        allowed={"h1": "t", "h2": "t", "h3": "t"},
    )
    chosen = placement.place(wanted, workers, score=SCORE)
    assert sorted(chosen) == ["h1", "h3", "h3"]


def test_gang_stays_in_one_rack_if_it_can(workers):
    """A gang that should stay in one rack is placed in one if it fits."""
    chosen = placement.place(
        demand(8, gang=True, one_rack=True), workers, score=SCORE
    )
    assert len({workers[name].rack for name in chosen}) == 1


def test_data_rack_is_preferred(workers):
    """Tasks are placed in the rack of their data while capacity is free."""
    chosen = placement.place(demand(8, data_rack="r1-1"), workers, score=SCORE)
    assert {workers[name].rack for name in chosen} == {"r1-1"}


def test_workers_are_reserved_where_a_gang_fits_earliest(workers):
    """Only as many workers as the gang needs are reserved."""
    used = model.Resources(4000, 10, 0)
    futures = []
    for number, worker in enumerate(workers.values()):
        worker.reserve(used)
        ends = [(1000.0 * (4 - number), used)]
        futures.append(reservation.FutureCapacity(worker, ends))
    found = reservation.reserve(demand(8, gang=True), futures)
    assert found.hosts == {"h2", "h3"}
    assert found.fits_in_ms == 2000.0
    assert reservation.reserve(demand(17, gang=True), futures) is None


def test_urgent_steps_precede_patient_ones():
    """Steps that can meet their objective precede late ones."""
    rank = ranking.RANKINGS["slack"]

    def waiting(priority, objective_ms, arrived_ms=0.0):
        return ranking.WaitingStep(
            priority=priority,
            arrived_ms=arrived_ms,
            objective_ms=objective_ms,
            remaining_ms=100.0,
        )

    urgent = rank(waiting(0, 5000.0), 1000.0)
    tight = rank(waiting(1, 2000.0), 1000.0)
    patient = rank(waiting(1, 9000.0), 1000.0)
    late = rank(waiting(1, 900.0), 1000.0)
    lost = rank(waiting(1, 200.0), 1000.0)
    assert urgent < tight < patient < late < lost


def test_critical_path_follows_the_longest_path():
    """Of parallel steps only the longest counts."""
    steps = [
        model.StepSpec(tasks=1, estimate_ms=100),
        model.StepSpec(tasks=1, estimate_ms=300),
        model.StepSpec(tasks=1, estimate_ms=50, after=(0, 1)),
    ]
    assert estimates.critical_path_ms(steps, lambda s: s.estimate_ms) == 350


def test_recorded_durations_correct_declared_ones():
    """The estimate lies between the declared duration and the mean."""
    durations = estimates.DurationEstimates()
    for _ in range(300):
        durations.record_duration("q", 1000.0)
    assert 100.0 < durations.task_duration_ms("q", 100.0) < 1000.0
