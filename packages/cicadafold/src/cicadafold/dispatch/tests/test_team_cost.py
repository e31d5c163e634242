"""The cost of the caps of teams in one pass, with 350 workers."""

import time

import pytest

from cicadafold import clock
from cicadafold.dispatch import runs
from cicadafold.dispatch.tests import team_cell
from cicadafold.jobs import model

WORKERS = 350
RUNS_PER_WORKER = 8
PASSES = 300
MS_PER_NS = 1e-6


def make_cell(teams):
    """Returns a cell whose teams all have run attempts and a waiting step."""
    cell = team_cell.Cell(
        caps={f"t{number}": 4000 for number in range(teams)},
        workers=[16_000] * WORKERS,
    )
    cell.start_first_term()
    return cell


def fill(cell, teams):
    """Adds run attempts to all workers; returns waiting steps by rank.

    One team in five waits with a gang, the others with a step of 10 tasks.
    """
    steps = []
    for number in range(max(teams, 200)):
        gang = number % 5 == 0
        job = cell.submit(
            f"t{number % teams}", tasks=4 if gang else 10, gang=gang
        )
        step = job.steps_of(0)[0]
        step.ready_ms = cell.now_ms
        steps.append((step, step.tasks))
    donors = [
        cell.submit(f"t{number}", tasks=10).steps_of(0)[0].tasks[0]
        for number in range(teams)
    ]
    for number in range(WORKERS * RUNS_PER_WORKER):
        task = donors[number % teams]
        worker = cell.term.workers[f"w{number % WORKERS}"]
        worker.add(
            runs.RunAttempt(
                task=task,
                name=task.name,
                attempt=number,
                worker=worker,
                room=model.Resources(1),
                state=runs.RunState.RUNNING,
                now_ms=cell.now_ms,
                team=task.job.spec.team_name,
                charge=model.Resources(
                    1000 if number < 2 * teams else 1, 10, 0
                ),
            )
        )
    return steps


def cost_ms(cell, steps):
    """Returns the 99th percentile of the decisions of a pass, in ms.

    It is processor time of this thread, so that other programs of a busy
    machine do not count.
    """
    accounting = cell.term.teams
    took = []
    for _ in range(PASSES):
        cell.now_ms += 20.0
        started_ns = time.thread_time_ns()
        accounting.begin_pass(cell.now_ms)
        for step, tasks in steps:
            accounting.limit(step, tasks)
        took.append(time.thread_time_ns() - started_ns)
    return sorted(took)[round(PASSES * 0.99) - 1] * MS_PER_NS


@pytest.mark.parametrize(("teams", "bound_ms"), ((20, 1.0), (540, 3.0)))
def test_cost_of_one_pass(monkeypatch, teams, bound_ms):
    """Guards against a cost that grows with workers or run attempts.

    The bounds are those of docs/HARD-LOAD.md.
    """
    cell = make_cell(teams)
    monkeypatch.setattr(clock, "monotonic_ms", lambda: cell.now_ms)
    steps = fill(cell, teams)
    took_ms = cost_ms(cell, steps)
    print(f"{teams} teams: {took_ms:.2f} ms")
    assert took_ms <= bound_ms


@pytest.mark.parametrize(("teams", "bound_ms"), ((20, 1.0), (540, 3.0)))
def test_cost_of_one_pass_after_a_takeover(monkeypatch, teams, bound_ms):
    """Guards against a scan of all inherited tasks in each pass.

    Half of the workers have not answered the new term.
    """
    cell = make_cell(teams)
    monkeypatch.setattr(clock, "monotonic_ms", lambda: cell.now_ms)
    fill(cell, teams)
    cell.take_over()
    for number in range(WORKERS // 2):
        cell.renew(f"w{number}")
    steps = fill(cell, teams)
    took_ms = cost_ms(cell, steps)
    print(f"{teams} teams, after a takeover: {took_ms:.2f} ms")
    assert took_ms <= bound_ms


def test_deployment_without_teams_does_no_work(monkeypatch):
    """Guards against a cost for deployments that have no teams."""
    cell = make_cell(1)
    monkeypatch.setattr(clock, "monotonic_ms", lambda: cell.now_ms)
    steps = fill(cell, 1)
    cell.term.configure(
        team_cell.msgspec.structs.replace(cell.newest, teams=None)
    )
    for step, _ in steps:
        step.job.spec = team_cell.msgspec.structs.replace(
            step.job.spec, team=None
        )
    accounting = cell.term.teams
    used = []
    monkeypatch.setattr(accounting, "used", used.append)
    accounting.begin_pass(cell.now_ms)
    assert all(accounting.limit(step, tasks) is tasks for step, tasks in steps)
    assert not used
    assert accounting.extra is None
