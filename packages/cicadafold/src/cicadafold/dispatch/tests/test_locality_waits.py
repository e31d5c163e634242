"""Tests of waits for a rack, on the real placer in virtual time."""

import logging

import pytest

from cicadafold.dispatch import locality_waits
from cicadafold.dispatch.tests import played_load
from cicadafold.jobs import model
from cicadafold.scheduling import locality

FACTOR = 2.0
RULE = model.QueueRule(
    name="q",
    authority="",
    prefix="",
    pool="p",
    priority=1,
    stretch=20.0,
)


@pytest.fixture
def cell(monkeypatch):
    """Returns two racks of one worker with four cores, and waits enabled."""
    return make_cell(monkeypatch, racks=2, workers_per_rack=1)


def make_cell(monkeypatch, **size):
    """Returns a cell of a size in which steps wait for racks."""
    cell = played_load.PlayedCell(
        cores=4, far_factor=FACTOR, monkeypatch=monkeypatch, **size
    )
    locality_waits.enable(cell.placer, FACTOR)
    return cell


def submit(cell, name, *, tasks=1, true_ms=1000.0, rule=RULE, **fields):
    """Submits a job of tasks of one core that are declared to take 1 s."""
    step = model.StepSpec(
        tasks=tasks,
        need=model.Resources(1000, 10, 0),
        estimate_ms=1000,
        **fields,
    )
    spec = model.JobSpec(id=name, rule=rule, payload="", steps=(step,))
    cell.submit(played_load.Arrival(0.0, spec, ((true_ms,) * tasks,)))
    return cell.active[name]


def place(cell, *, after_ms=0.0):
    """Makes a pass after a time; ends of run attempts do not happen."""
    cell.now_ms += after_ms
    cell.placer.place_waiting_steps()


def place_until(cell, job, *, limit_ms):
    """Makes passes until all tasks are started; returns the time, in ms."""
    started_ms = cell.now_ms
    place(cell)
    while job.steps[0][0].needs_start:
        assert cell.now_ms - started_ms < limit_ms
        place(cell, after_ms=50.0)
    return cell.now_ms - started_ms


def finish(run):
    """Ends a run attempt as done."""
    run.worker.remove(run)
    run.task.step.mark_done(run.task)


def racks_of(job):
    """Returns the racks in which tasks of a job run, one for each task."""
    return sorted(run.worker.rack for run in job.runs())


def fill(cell, *, ran_ms=800.0, tasks=4):
    """Fills the first rack with tasks that have run for a time."""
    job = submit(cell, "filler", tasks=tasks, data_rack="r0-0")
    place(cell)
    cell.now_ms += ran_ms
    return job


def events(cell):
    """Returns the counted events of waits by name."""
    return {
        labels[0][1]: count
        for (name, labels), count in cell.metrics.counters.items()
        if name == "locality_waits"
    }


def test_step_waits_and_starts_near(cell):
    """A task must not run remotely if its rack is free soon."""
    filler = fill(cell)
    job = submit(cell, "j", data_rack="r0-0")
    place(cell)
    assert job.runs() == [] and events(cell) == {"begun": 1}
    finish(filler.runs()[0])
    place(cell, after_ms=200.0)
    assert racks_of(job) == ["r0-0"]
    assert events(cell) == {"begun": 1, "near": 1}
    waits = cell.metrics.histograms[("locality_wait", ())]
    assert waits.get_max_value() == pytest.approx(200_000, rel=0.01)


def test_step_of_a_busy_rack_starts_elsewhere(cell):
    """A task must not wait longer than remote placement costs."""
    filler = fill(cell, ran_ms=0.0)
    for run in filler.runs():
        run.percent, run.started_ms = 10.0, cell.now_ms - 1000.0
    job = submit(cell, "j", data_rack="r0-0")
    place(cell)
    assert racks_of(job) == ["r1-0"] and events(cell) == {}


def test_rest_of_a_step_starts_near_or_waits(cell):
    """Tasks that fit near must not wait for the others."""
    fill(cell, tasks=3)
    job = submit(cell, "j", tasks=3, data_rack="r0-0")
    place(cell)
    assert racks_of(job) == ["r0-0"] and events(cell) == {"begun": 1}
    # Passes that follow at once do not send the rest elsewhere.
    place(cell, after_ms=5.0)
    place(cell, after_ms=5.0)
    assert racks_of(job) == ["r0-0"]


def test_end_that_does_not_come_bounds_the_wait(cell):
    """Tasks that take seven times as long must not hold a step."""
    fill(cell)
    job = submit(cell, "j", data_rack="r0-0")
    waited_ms = place_until(cell, job, limit_ms=8000.0)
    saved_ms = (FACTOR - 1) * 1000.0 * locality.MEAN_DURATION_FACTOR
    # The pool is half full, so that the step is not more patient.
    assert waited_ms <= saved_ms + 100.0
    assert racks_of(job) == ["r1-0"]
    assert events(cell) == {"begun": 1, "far": 1}


def test_step_whose_wait_failed_does_not_wait_again(cell):
    """Expectations that are wrong again and again must not add up."""
    fill(cell)
    job = submit(cell, "j", tasks=6, data_rack="r0-0")
    other = submit(cell, "o", tasks=3)
    place(cell)
    while not racks_of(job):
        place(cell, after_ms=50.0)
    # One task went elsewhere; the others have no room there yet.
    assert racks_of(job) == ["r1-0"] and len(other.runs()) == 3
    for run in other.runs():
        finish(run)
    place(cell, after_ms=50.0)
    assert racks_of(job) == ["r1-0"] * 4


def test_lost_rack_is_not_waited_for(cell):
    """A rack lost during the wait must not hold the step."""
    fill(cell)
    job = submit(cell, "j", data_rack="r0-0")
    place(cell)
    cell.workers["w0-0"].silent_since_ms = cell.now_ms
    place(cell, after_ms=locality_waits.RECHECK_MS)
    assert racks_of(job) == ["r1-0"]
    assert events(cell) == {"begun": 1, "far": 1}


def test_rack_that_turns_slow_is_not_waited_for(cell):
    """A worker six times slower must not be preferred as near."""
    fill(cell)
    job = submit(cell, "j", data_rack="r0-0")
    place(cell)
    cell.workers["w0-0"].speed = 1 / 6
    place(cell, after_ms=locality_waits.RECHECK_MS)
    assert racks_of(job) == ["r1-0"]


def test_cancelled_job_leaves_no_wait(cell):
    """The memory of waits must not grow with cancelled jobs."""
    fill(cell)
    job = submit(cell, "j", data_rack="r0-0")
    place(cell)
    job.state = model.JobState.CANCELLED
    del cell.active["j"]
    place(cell, after_ms=10.0)
    assert cell.placer.locality.waits == {}
    assert events(cell) == {"begun": 1, "dropped": 1}


def test_wait_is_measured_anew_after_a_stall(cell):
    """Time in which the process was suspended is no time of waiting."""
    fill(cell, ran_ms=0.0)
    job = submit(cell, "j", data_rack="r0-0")
    place(cell)
    wait = cell.placer.locality.waits[job.steps[0][0]]
    place(cell, after_ms=100.0)
    assert wait.held_ms == pytest.approx(100.0)
    place(cell, after_ms=700.0)
    assert cell.placer.locality.waits[job.steps[0][0]].held_ms == 0.0
    assert events(cell) == {"begun": 2, "interrupted": 1}


def test_new_term_measures_anew(cell):
    """A takeover must not lose a step that waits."""
    fill(cell)
    job = submit(cell, "j", data_rack="r0-0")
    place(cell)
    locality_waits.enable(cell.placer, FACTOR)
    job.inherited = True
    place(cell, after_ms=10.0)
    assert job.runs() == [] and events(cell) == {"begun": 2}


@pytest.mark.parametrize("stalls", (False, True))
def test_waits_that_are_measured_anew_end_with_the_slack(cell, stalls):
    """Repeated takeovers or stalls must not delay a step without end."""
    fill(cell)
    job = submit(cell, "j", data_rack="r0-0")
    job.objective_ms = 6000.0
    place(cell)
    due_ms = cell.now_ms + job.objective_ms
    while not job.runs():
        assert cell.now_ms < due_ms
        if not stalls:
            locality_waits.enable(cell.placer, FACTOR)
            job.inherited = True
        place(cell, after_ms=500.0)
    # The task, twice as long elsewhere, can still be complete in time.
    assert cell.now_ms + FACTOR * 1000.0 <= due_ms


def test_urgent_step_takes_the_near_capacity_first(cell):
    """A patient step that waits must not block an urgent one."""
    filler = fill(cell)
    patient = submit(cell, "j", data_rack="r0-0")
    place(cell)
    urgent_rule = model.QueueRule(
        name="u", authority="", prefix="", pool="p", stretch=20.0
    )
    urgent = submit(cell, "u", rule=urgent_rule, data_rack="r0-0")
    finish(filler.runs()[0])
    place(cell, after_ms=10.0)
    assert racks_of(urgent) == ["r0-0"] and patient.runs() == []


def test_steps_that_wait_do_not_count_on_the_same_capacity(cell):
    """A long queue for one rack must not wait as if it were short."""
    fill(cell)
    jobs = [submit(cell, f"j{i}", data_rack="r0-0") for i in range(16)]
    place(cell)
    elsewhere = [job for job in jobs if racks_of(job) == ["r1-0"]]
    assert len(elsewhere) == 4 and len(events(cell)) == 1


@pytest.fixture
def wide_cell(monkeypatch):
    """Returns two racks of two workers with four cores each."""
    return make_cell(monkeypatch, racks=2, workers_per_rack=2)


def occupy(cell, name, count):
    """Occupies cores of a worker with a task for each; returns the job."""
    job = submit(cell, f"on-{name}", tasks=count, label=f"only-{name}")
    worker = cell.workers[name]
    labels, worker.labels = worker.labels, frozenset((f"only-{name}",))
    place(cell)
    worker.labels = labels
    assert len(job.runs()) == count
    return job


def test_gang_waits_for_one_rack_and_its_workers_are_reserved(wide_cell):
    """Small tasks must not take the rack that a gang waits for."""
    occupy(wide_cell, "w0-0", 3)
    others = occupy(wide_cell, "w1-0", 4)
    wide_cell.now_ms += 600.0
    gang = submit(wide_cell, "g", tasks=6, gang=True, one_rack=True)
    place(wide_cell)
    assert gang.runs() == [] and events(wide_cell) == {"begun": 1}
    reserved = wide_cell.placer.reservations.reserved
    assert {name[:2] for name in reserved} == {"w0"}
    for run in wide_cell.active["on-w0-0"].runs():
        finish(run)
    place(wide_cell, after_ms=100.0)
    assert racks_of(gang) == ["r0-0"] * 6 and len(others.runs()) == 4


def test_gang_that_no_rack_can_hold_starts_across_racks(wide_cell):
    """A gang larger than each rack would otherwise never start."""
    gang = submit(wide_cell, "g", tasks=12, gang=True, one_rack=True)
    place(wide_cell)
    assert len(gang.runs()) == 12


def test_other_steps_are_placed_as_before(cell, monkeypatch):
    """Deployments and steps without racks must not be affected."""
    monkeypatch.setattr(
        locality_waits.LocalityWaits, "wait_of", lambda *_: pytest.fail("wait")
    )
    job = submit(cell, "j", tasks=6)
    gang = submit(cell, "g", tasks=2, gang=True)
    place(cell)
    assert len(job.runs()) == 6 and len(gang.runs()) == 2


def test_far_factor_of_one_enables_nothing(monkeypatch):
    """Settings without a far factor must not cost a call."""
    cell = played_load.PlayedCell(
        racks=1,
        workers_per_rack=1,
        cores=4,
        far_factor=1.0,
        monkeypatch=monkeypatch,
    )
    locality_waits.enable(cell.placer, 1.0)
    assert cell.placer.locality is None


def test_remote_run_attempt_is_expected_to_take_longer(cell):
    """Remote tasks must not count as slow workers or long queues."""
    job = submit(cell, "j", tasks=5, data_rack="r0-0")
    cell.placer.locality = None
    place(cell)
    factors = {
        run.worker.rack: cell.estimates.run_factor(run) for run in job.runs()
    }
    assert factors == {"r0-0": 1.0, "r1-0": FACTOR}


def test_lines_about_waits_are_limited(cell, caplog):
    """Thousands of waiting steps must not fill the log."""
    logger = logging.getLogger("cicadafold")
    logger.propagate = True
    fill(cell, ran_ms=900.0)
    locality_of = cell.placer.locality
    locality_of.decide = lambda situation, outlook: locality.decide(
        situation, locality.Outlook(starts_ms=(50.0,), far_tasks=1)
    )
    for number in range(3 * locality_waits.MAX_LINES):
        submit(cell, f"j{number}", data_rack="r0-0")
    with caplog.at_level("INFO", logger="cicadafold"):
        place(cell)
    lines = [x for x in caplog.messages if x.startswith("locality: ")]
    assert len(lines) == locality_waits.MAX_LINES
    assert events(cell) == {"begun": 3 * locality_waits.MAX_LINES}
