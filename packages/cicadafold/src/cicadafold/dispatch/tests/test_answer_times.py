"""Tests of the time limit for the answers of one worker."""

import random

import pytest

from cicadafold.dispatch import answer_times

USUAL_MS = 600.0
LONGEST_MS = 1500.0


@pytest.fixture
def times():
    """Answer times of a worker that has not answered yet."""
    return answer_times.AnswerTimes(usual_ms=USUAL_MS, longest_ms=LONGEST_MS)


@pytest.mark.parametrize("took_ms", [0.0, 2.0, 40.0, 150.0])
def test_silence_of_a_fast_worker_is_noticed_as_soon(times, took_ms):
    """Its limit must not grow with the allowance for slow ones."""
    for _ in range(20):
        times.record_answer(took_ms)
    assert times.limit_ms() == USUAL_MS
    assert times.hold_ms(700) == 700


def test_slow_worker_is_told_from_a_silent_one(times):
    """Its calls were given up for ever."""
    limits = []
    for _ in range(4):
        limits.append(times.limit_ms())
        times.record_no_answer()
    assert limits == [600.0, 1200.0, 600.0, 1500.0]
    times.record_answer(1100.0)
    rng = random.Random(1)
    for _ in range(50):
        assert times.limit_ms() > 1100.0 + 200.0
        assert times.hold_ms(700) < 700
        times.record_answer(1100.0 + rng.uniform(0.0, 200.0))


def test_limit_returns_with_fast_answers(times):
    """A worker that was slow once must not stay unnoticed when silent."""
    times.record_answer(1100.0)
    for _ in range(40):
        times.record_answer(5.0)
    assert times.limit_ms() == USUAL_MS


def test_longer_wait_does_not_hide_a_lapse(times):
    """Tasks of a silent worker were started elsewhere only after it."""
    times.record_no_answer()
    assert times.limit_ms(lapse_in_ms=900.0) == 900.0
    assert times.limit_ms(lapse_in_ms=-5.0) == USUAL_MS


def test_answer_before_the_end_of_its_hold_says_nothing(times):
    """The worker has answered at once as a task had ended."""
    times.record_answer(1100.0)
    before = times.limit_ms()
    for _ in range(40):
        times.record_answer(-300.0)
    assert times.limit_ms() == before


def test_stall_of_this_process_says_nothing_of_a_worker(times):
    """After it, silent workers would have been noticed later."""
    times.record_answer(5.0)
    times.record_answer(20_000.0)
    assert times.limit_ms() == USUAL_MS


@pytest.mark.parametrize("seed", range(5))
def test_limit_stays_within_its_bounds(times, seed):
    """A lease must outlast two calls, whatever was measured."""
    rng = random.Random(seed)
    for _ in range(500):
        if rng.random() < 0.3:
            times.record_no_answer()
        else:
            times.record_answer(rng.uniform(-700.0, 5000.0))
        assert USUAL_MS <= times.limit_ms() <= LONGEST_MS
        assert 0 <= times.hold_ms(700) <= 700
