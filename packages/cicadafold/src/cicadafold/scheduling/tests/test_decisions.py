"""Tests of placement, ranking and estimates."""

import pytest

from cicadafold.jobs import model
from cicadafold.scheduling import estimates
from cicadafold.scheduling import placement
from cicadafold.scheduling import ranking
from cicadafold.scheduling import reservation
from cicadafold.scheduling import views

SCORE = placement.POLICIES["best-fit"]


@pytest.fixture
def hosts():
    """Four workers of four cores in two racks."""
    made = {}
    for number in range(4):
        rack = f"r1-{number // 2}"
        made[f"h{number}"] = views.WorkerView(
            id=f"h{number}",
            rack=rack,
            domain="d",
            labels=frozenset(("a" if number % 2 else "b", rack)),
            cores_milli=4000,
            memory_mb=1000,
            accelerators=0,
        )
    return made


def demand(tasks, cores_milli=1000, **fields):
    """Returns a demand."""
    need = model.Resources(cores_milli, 10, 0)
    return views.Demand(tasks=tasks, need=need, **fields)


def test_gang_is_placed_whole_or_not_at_all(hosts):
    """A gang that does not fit takes no room."""
    assert placement.place(demand(17, gang=True), hosts, score=SCORE) == []
    assert hosts["h0"].cores_milli == 4000
    chosen = placement.place(demand(16, gang=True), hosts, score=SCORE)
    assert len(chosen) == 16


def test_no_host_is_overfilled(hosts):
    """Tasks beyond the room stay unplaced."""
    chosen = placement.place(demand(30, 1500), hosts, score=SCORE)
    assert len(chosen) == 8
    assert all(host.cores_milli >= 0 for host in hosts.values())


def test_label_bound_and_permission_hold(hosts):
    """Only permitted workers with the label get tasks, up to the bound."""
    wanted = demand(
        9,
        label="a",
        per_host=2,
        running_per_worker={"h1": 1},
        allowed={"h1": "t", "h2": "t", "h3": "t"},
    )
    chosen = placement.place(wanted, hosts, score=SCORE)
    assert sorted(chosen) == ["h1", "h3", "h3"]


def test_gang_stays_in_one_rack_if_it_can(hosts):
    """A gang that is slowed by two racks gets one."""
    chosen = placement.place(
        demand(8, gang=True, one_rack=True), hosts, score=SCORE
    )
    assert len({hosts[name].rack for name in chosen}) == 1


def test_data_rack_comes_first(hosts):
    """Tasks go to the rack of their data while there is room."""
    chosen = placement.place(demand(8, data_rack="r1-1"), hosts, score=SCORE)
    assert {hosts[name].rack for name in chosen} == {"r1-1"}


def test_workers_are_kept_where_a_gang_fits_first(hosts):
    """The workers that become free first are kept, no more of them."""
    used = model.Resources(4000, 10, 0)
    futures = []
    for number, host in enumerate(hosts.values()):
        host.reserve(used)
        ends = [(1000.0 * (4 - number), used)]
        futures.append(reservation.FutureCapacity(host, ends))
    found = reservation.reserve(demand(8, gang=True), futures)
    assert found.hosts == {"h2", "h3"}
    assert found.fits_in_ms == 2000.0
    assert reservation.reserve(demand(17, gang=True), futures) is None


def test_urgent_work_is_never_behind_patient_work():
    """Work that can still be in time comes before what is late."""
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


def test_chain_follows_the_longest_path():
    """Steps beside each other count once."""
    steps = [
        model.StepSpec(tasks=1, estimate_ms=100),
        model.StepSpec(tasks=1, estimate_ms=300),
        model.StepSpec(tasks=1, estimate_ms=50, after=(0, 1)),
    ]
    assert estimates.critical_path_ms(steps, lambda s: s.estimate_ms) == 350


def test_learned_durations_correct_declared_ones():
    """Declared estimates that are far off move towards the mean."""
    learned = estimates.DurationEstimates()
    for _ in range(300):
        learned.record_duration("q", 1000.0)
    assert 100.0 < learned.task_duration_ms("q", 100.0) < 1000.0
