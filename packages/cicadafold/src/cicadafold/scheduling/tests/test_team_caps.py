"""Tests of how many tasks a team may start under its cap."""

import hypothesis
from hypothesis import strategies as st
import pytest

from cicadafold.jobs import model
from cicadafold.scheduling import team_caps

CORES = model.Resources(10_000)
amounts = st.integers(0, 20)
resources = st.builds(model.Resources, amounts, amounts, amounts)


def fits(used, need, cap, tasks):
    """Returns how many tasks fit, for a cap in thousandths of a core."""
    return team_caps.tasks_within_cap(
        used=(used, 0, 0),
        need=model.Resources(need),
        cap=model.Resources(cap),
        tasks=tasks,
    )


@pytest.mark.parametrize(
    ("used", "need", "cap", "tasks", "expected"),
    (
        (0, 1000, 10_000, 25, 10),
        (9500, 1000, 10_000, 1, 0),
        (10_000, 1000, 0, 25, 25),
        (99_000, 1000, 10_000, 25, 0),
        (99_000, 0, 10_000, 25, 25),
        (0, 12_000, 10_000, 3, 1),
        (1, 12_000, 10_000, 3, 0),
    ),
)
def test_single_tasks_stay_within_the_cap(used, need, cap, tasks, expected):
    """Guards against starts above the cap, and against waiting for ever.

    A lowered cap permits nothing, a task larger than its cap runs alone, and
    0 is no limit.
    """
    assert fits(used, need, cap, tasks) == expected


def test_each_resource_limits():
    """Guards against a cap of memory or accelerators that has no effect."""
    used, need = (0, 0, 0), model.Resources(1, 10, 1)
    for cap in (model.Resources(0, 20, 0), model.Resources(9000, 99, 2)):
        count = team_caps.tasks_within_cap(
            used=used, need=need, cap=cap, tasks=5
        )
        assert count == 2


def gang(tasks, *, used=0, overage=0.1):
    """Whether a gang of tasks with one core each may start."""
    return team_caps.gang_within_cap(
        used=(used, 0, 0),
        need=model.Resources(1000),
        cap=CORES,
        tasks=tasks,
        overage=overage,
    )


def test_gang_starts_whole_within_the_overage():
    """Guards against a gang in parts, or one above cap x (1 + overage)."""
    assert gang(11) and not gang(12)
    assert gang(10, used=1000) and not gang(10, used=1001)
    assert gang(10, overage=0) and not gang(11, overage=0)


def test_gang_ever_fits_ignores_what_runs():
    """Guards against a refusal of gangs that only have to wait."""
    wanted = {"need": model.Resources(1000), "cap": CORES, "overage": 0.1}
    assert team_caps.gang_ever_fits(tasks=11, **wanted)
    assert not team_caps.gang_ever_fits(tasks=12, **wanted)


@hypothesis.given(resources, resources, resources, st.integers(0, 9))
def test_tasks_that_fit_never_exceed_the_cap(used, need, cap, tasks):
    """Guards against rounding errors: one task more would not fit."""
    used = team_caps.amounts(used)
    count = team_caps.tasks_within_cap(
        used=used, need=need, cap=cap, tasks=tasks
    )
    limited = [
        (taken, size, limit)
        for taken, size, limit in zip(
            used, team_caps.amounts(need), team_caps.amounts(cap)
        )
        if limit and size
    ]
    oversized = any(size > limit for _, size, limit in limited)
    if oversized:
        assert count == (0 if any(used) else min(1, tasks))
        return
    if count:
        assert all(t + s * count <= c for t, s, c in limited)
    if count < tasks:
        assert any(t + s * (count + 1) > c for t, s, c in limited)


@pytest.mark.parametrize(
    ("step", "expected"),
    (
        ({"tasks": 25, "need": model.Resources(1000)}, 3),
        ({"tasks": 10, "need": model.Resources(1000)}, 1),
        ({"tasks": 3, "need": model.Resources(6000)}, 3),
        ({"tasks": 3, "need": model.Resources(60_000)}, 3),
        ({"tasks": 25, "need": model.Resources(1000), "gang": True}, 1),
    ),
)
def test_wide_step_runs_in_waves(step, expected):
    """Guards against an objective that no order of starts can meet."""
    assert team_caps.waves(model.StepSpec(**step), CORES) == expected
    assert team_caps.waves(model.StepSpec(**step), team_caps.NO_CAP) == 1
