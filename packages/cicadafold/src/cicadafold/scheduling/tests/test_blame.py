"""Tests of which tasks are blamed for the crashes of workers."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from cicadafold.scheduling import blame

WORKERS = 4
Verdict = blame.Verdict


@pytest.mark.parametrize(
    ("losses", "crashed", "conclusive", "verdict"),
    (
        (0, 0, 0, Verdict.CLEAR),
        (1, 1, 1, Verdict.SUSPECT),
        (2, 2, 2, Verdict.ISOLATED),
        (3, 3, 0, Verdict.ISOLATED),
        (3, 3, 1, Verdict.CULPRIT),
        (3, 1, 1, Verdict.ISOLATED),
        (4, 2, 0, Verdict.CULPRIT),
        (9, 1, 1, Verdict.ISOLATED),
        (9, 0, 0, Verdict.ISOLATED),
    ),
)
def test_verdict_depends_on_number_and_evidence(
    losses, crashed, conclusive, verdict
):
    """Silence is no crash, and a crash beside others proves little."""
    found = [
        blame.Loss(number, "w", number < crashed, number < conclusive)
        for number in range(losses)
    ]
    assert blame.judge(found) is verdict


def test_loss_counts_once_and_can_become_conclusive():
    """It is reported when suspected, and again when proved."""
    history = blame.CrashHistory()
    assert history.add(blame.Loss(7, "w", True))
    assert not history.add(blame.Loss(7, "w", False))
    assert history.add(blame.Loss(7, "w", True, True))
    assert history.losses == [blame.Loss(7, "w", True, True)]
    assert history.withdraw(7)
    assert history.verdict is Verdict.CLEAR


def test_random_crashes_do_not_blame_a_wide_gang():
    """It was given up after three crashes, each of which met other members."""
    losses = [
        blame.Loss(number, "w", True, True, (2 * number, 2 * number + 1))
        for number in range(8)
    ]
    assert blame.judge(losses) is Verdict.SUSPECT


@pytest.mark.parametrize(
    ("crashes", "verdict"),
    (
        (1, Verdict.SUSPECT),
        (2, Verdict.ISOLATED),
        (3, Verdict.ISOLATED),
        (4, Verdict.CULPRIT),
    ),
)
def test_member_that_is_on_each_lost_worker_is_blamed(crashes, verdict):
    """Its neighbours on the workers change from start to start."""
    losses = [
        blame.Loss(number, "w", True, True, (7, 10 + number))
        for number in range(crashes)
    ]
    assert blame.judge(losses) is verdict


def test_loss_whose_members_are_not_known_concerns_all_of_them():
    """An earlier term has recorded the start of the gang only."""
    known = [blame.Loss(n, "w", True, False, (7, n)) for n in (1, 2, 3)]
    assert blame.judge([*known, blame.Loss(9, "w", True)]) is Verdict.CULPRIT


def test_workers_that_are_lost_in_one_attempt_count_once():
    """A rack that loses its power meets several members of a gang."""
    history = blame.CrashHistory()
    assert history.add(blame.Loss(7, "v", True, False, (1, 2)))
    assert history.add(blame.Loss(7, "w", True, False, (3,)))
    assert not history.add(blame.Loss(7, "w", True, False, (3,)))
    assert [loss.members for loss in history.losses] == [(1, 2, 3)]


@pytest.mark.parametrize(
    ("members", "crashes"),
    (
        ([(), (), ()], 3),
        ([(1, 2), (3,), (4,)], 1),
        ([(1, 2), (2, 3), (2,)], 3),
        ([(1,), (), (2,)], 2),
    ),
)
def test_crashes_of_a_gang_are_those_of_its_worst_member(members, crashes):
    """A loss whose members are not known concerns all of them."""
    history = blame.CrashHistory()
    for attempt, found in enumerate(members):
        history.add(blame.Loss(attempt, "w", True, members=found))
        history.add(blame.Loss(100 + attempt, "w", False, members=found))
    assert history.crashes == crashes


def assign(tasks, histories, rng):
    """Returns lists of tasks that run together on a worker.

    Isolated tasks run alone; others share workers, at most one suspect each
    as long as there are workers for it.
    """
    alone = [
        [task] for task in tasks if histories[task].verdict is Verdict.ISOLATED
    ]
    shared = [[] for _ in range(WORKERS)]
    for task in tasks:
        if histories[task].verdict is Verdict.CLEAR:
            rng.choice(shared).append(task)
    suspects = [x for x in tasks if histories[x].verdict is Verdict.SUSPECT]
    for number, task in enumerate(suspects):
        shared[number % WORKERS].append(task)
    return alone + [group for group in shared if group]


@hypothesis.settings(deadline=None, max_examples=200)
@hypothesis.given(
    strategies.integers(0, 2**32),
    strategies.integers(1, 60),
    strategies.sets(strategies.integers(0, 59), max_size=8),
)
def test_neighbours_of_deadly_tasks_are_not_given_up(seed, count, deadly):
    """Each deadly task is given up after three crashes, no other is."""
    rng = random.Random(seed)
    histories = {task: blame.CrashHistory() for task in range(count)}
    waiting = set(histories)
    given_up = set()
    for attempt in range(20):
        batch = rng.sample(sorted(waiting), rng.randint(0, len(waiting)))
        for group in assign(sorted(batch), histories, rng):
            if not deadly & set(group):
                waiting -= set(group)
                continue
            for task in group:
                loss = blame.Loss(attempt, "w", True, len(group) == 1)
                histories[task].add(loss)
                if histories[task].verdict is Verdict.CULPRIT:
                    given_up.add(task)
                    waiting.discard(task)
                    assert len(histories[task].losses) <= 3
    assert given_up <= deadly
