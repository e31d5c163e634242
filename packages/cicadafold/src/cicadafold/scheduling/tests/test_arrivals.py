"""Tests of the meter of arrivals and of the turns of refused jobs."""

import pytest

from cicadafold.scheduling import arrivals
from cicadafold.scheduling import ranking
from cicadafold.scheduling import team_admission
from cicadafold.teams import model

RULE = model.TeamRule("t", weight=10.0)


@pytest.fixture
def meter():
    """Returns a meter with full buckets."""
    return arrivals.ArrivalMeter()


@pytest.fixture
def turns(meter):
    """Returns the turns of a team that has used its burst at the time 0."""
    while meter.take(RULE, 0.0):
        pass
    return team_admission.TeamTurns(meter=meter)


def take_all(meter, rule, times_ms):
    """Returns how many jobs that arrive at some times are within the rate."""
    return sum(meter.take(rule, at_ms) for at_ms in times_ms)


@pytest.mark.parametrize("weight", (0.2, 1.0, 10.0))
def test_team_at_its_rate_is_never_beyond_it(meter, weight):
    """Guards against refusals of a team that keeps to its rate."""
    rule = model.TeamRule("t", weight=weight)
    times_ms = [1000.0 / weight * number for number in range(200)]
    assert take_all(meter, rule, times_ms) == 200


def test_burst_within_the_window_is_allowed(meter):
    """Guards against marking callers that start together."""
    assert take_all(meter, RULE, [0.0] * 40) == 40
    assert not meter.take(RULE, 0.0)


def test_eight_times_the_rate_is_beyond_it_by_seven_eighths(meter):
    """Guards against a meter that lets more through than the rate."""
    times_ms = [12.5 * number for number in range(8000)]
    within = take_all(meter, RULE, times_ms)
    assert within == pytest.approx(1000 + 40, abs=1)


def test_team_of_weight_zero_has_no_rate(meter):
    """Guards against a division by 0."""
    rule = model.TeamRule("t", weight=0.0)
    assert not meter.take(rule, 0.0)
    turns = team_admission.TeamTurns(meter=meter)
    assert turns.ask("a", rule, 0.0) == team_admission.MAX_WAIT_MS
    assert turns.promised == {}


def test_clock_that_jumps_adds_no_tokens_twice(meter):
    """Guards against a bucket that refills whenever the time goes back."""
    assert take_all(meter, RULE, [0.0] * 50) == 40
    assert take_all(meter, RULE, [1000.0] * 30) == 10
    assert take_all(meter, RULE, [-5000.0, 500.0, 900.0, 1000.0]) == 0


def test_jump_forward_gives_one_burst(meter):
    """Guards against tokens for the time of a pause."""
    take_all(meter, RULE, [0.0] * 50)
    assert take_all(meter, RULE, [3_600_000.0] * 100) == 40


def test_lower_weight_holds_at_once(meter):
    """Guards against a burst of the former weight."""
    assert take_all(meter, RULE, [0.0]) == 1
    lowered = model.TeamRule("t", weight=1.0)
    assert take_all(meter, lowered, [0.0] * 30) == 4


def test_bucket_of_a_removed_team_is_dropped_once_idle(meter):
    """Guards against memory that grows with every team that ever was."""
    meter.take(RULE, 0.0)
    meter.drop_idle({"t": RULE}, 1e9)
    assert meter.buckets
    meter.drop_idle({}, arrivals.IDLE_MS - 1)
    assert meter.buckets
    meter.drop_idle({}, arrivals.IDLE_MS)
    assert not meter.buckets


def test_team_counts_as_beyond_for_a_while(meter):
    """Guards against announcements that flap with every job."""
    take_all(meter, RULE, [0.0] * 41)
    assert meter.teams_beyond(arrivals.BEYOND_HOLD_MS) == {"t"}
    assert meter.teams_beyond(arrivals.BEYOND_HOLD_MS + 1) == set()


def test_stated_time_is_never_before_the_token(turns, meter):
    """Guards against a caller that comes back and is refused again."""
    waits_ms = [turns.ask(str(n), RULE, 0.0) for n in range(40)]
    assert waits_ms[0] == pytest.approx(100.0)
    assert waits_ms[:10] == sorted(waits_ms[:10])
    for number in range(10):
        wait_ms = waits_ms[number]
        assert turns.ask(str(number), RULE, wait_ms - 1) is not None
        assert turns.ask(str(number), RULE, wait_ms + 0.001) is None


def test_turn_is_kept_while_the_team_goes_on_sending(turns):
    """Guards against turns that others of the same team take first."""
    wait_ms = turns.ask("kept", RULE, 0.0)
    for number in range(800):
        turns.ask(f"other-{number}", RULE, number * 1.25)
    assert turns.ask("kept", RULE, max(1000.0, wait_ms)) is None


def test_callers_that_never_return_do_not_cost_the_team_its_rate(turns):
    """Guards against tokens that are set aside for good."""
    admitted = sum(
        turns.ask(str(n), RULE, n * 12.5) is None for n in range(8000)
    )
    # 100 s at 10 a second, less those set aside at the end.
    assert admitted >= 1000 - 20
    assert len(turns.promised) <= 10


def test_small_team_is_served_at_its_rate_without_returns(meter):
    """Guards against one turn that blocks a team below one job a second."""
    rule = model.TeamRule("t", weight=0.5)
    turns = team_admission.TeamTurns(meter=meter)
    admitted = sum(
        turns.ask(str(n), rule, n * 250.0) is None for n in range(400)
    )
    assert admitted >= 50 - 3


def test_missed_turn_is_dropped(turns):
    """Guards against a token that stays set aside for a lost caller."""
    wait_ms = turns.ask("lost", RULE, 0.0)
    turns.drop_missed(wait_ms + team_admission.KEEP_TURN_MS)
    assert turns.promised
    turns.drop_missed(wait_ms + team_admission.KEEP_TURN_MS + 1)
    assert not turns.promised


def waiting(slack_ms, objective_ms=1000.0):
    """Returns a step whose start may be delayed by some milliseconds."""
    return ranking.WaitingStep(
        priority=0,
        arrived_ms=0.0,
        objective_ms=objective_ms,
        remaining_ms=objective_ms - slack_ms,
    )


@pytest.mark.parametrize(
    ("slack_ms", "threatened"),
    ((500.0, False), (250.0, False), (249.0, True), (-100.0, True)),
)
def test_step_is_threatened_by_its_slack(slack_ms, threatened):
    """Guards against refusals while patient work simply waits its time."""
    found = team_admission.is_threatened(waiting(slack_ms), 0.0)
    assert found is threatened


def test_step_that_never_fits_does_not_fill_the_pool():
    """Guards against refusals for as long as such a job is known."""
    assert not team_admission.is_threatened(waiting(100.0), 1e6)


def test_single_wait_does_not_fill_a_pool():
    """Guards against refusals when one step waits for the end of a task."""
    pressure = team_admission.PoolPressure()
    for at_ms in (0.0, 50.0, 199.0, 2000.0):
        pressure.note(at_ms)
        assert not pressure.full(at_ms)
    assert not pressure.lately_full(2000.0)


def test_full_pool_has_room_again_after_a_while():
    """Guards against a pool that flaps, and one that stays full for ever."""
    pressure = team_admission.PoolPressure()
    pressure.note(0.0)
    pressure.note(200.0)
    assert pressure.full(200.0)
    assert pressure.full(200.0 + team_admission.CLEAR_AFTER_MS)
    assert not pressure.full(201.0 + team_admission.CLEAR_AFTER_MS)
    until_ms = 200.0 + team_admission.LATELY_FULL_MS
    assert pressure.lately_full(until_ms)
    assert not pressure.lately_full(until_ms + 1)
