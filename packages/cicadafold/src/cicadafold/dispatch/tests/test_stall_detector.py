"""Tests of what a process does after a stall."""

import asyncio
import types

import pytest

from cicadafold import clock
from cicadafold.dispatch import placing
from cicadafold.dispatch import runs
from cicadafold.dispatch import stall_detector
from cicadafold.dispatch import term
from cicadafold import exception


class FakeTime:
    """A monotonic clock that the test sets."""

    def __init__(self):
        self.now_ms = 1000.0

    def __call__(self):
        return self.now_ms


@pytest.fixture
def time(monkeypatch):
    """Replaces the monotonic clock with one that the test sets."""
    fake = FakeTime()
    monkeypatch.setattr(clock, "monotonic_ms", fake)
    monkeypatch.setattr(stall_detector, "TICK_S", 0.0)
    return fake


@pytest.mark.parametrize(
    "error",
    [None, exception.LogUnavailable(message="Down.", remedy="Wait.")],
)
def test_no_commands_after_a_stall_until_the_claim_is_read(time, error):
    """They are allowed again after the read, also if the store is down."""
    calls = []

    async def read_newest_claim():
        calls.append(detector.commands_allowed())
        if error is not None:
            raise error

    detector = stall_detector.StallDetector(
        read_newest_claim=read_newest_claim,
        on_resumed=lambda: calls.append("resumed"),
    )
    assert detector.commands_allowed()
    time.now_ms += stall_detector.STALL_MS + 1.0
    assert not detector.commands_allowed()

    async def scenario():
        task = asyncio.create_task(detector.run())
        for _ in range(3):
            await asyncio.sleep(0)
        task.cancel()

    asyncio.run(scenario())
    assert calls == [False, "resumed"]
    assert detector.commands_allowed()


def test_short_pause_is_no_stall(time):
    """Commands stay allowed if the event loop is blocked for a short time."""
    detector = stall_detector.StallDetector(
        read_newest_claim=None, on_resumed=None
    )
    time.now_ms += stall_detector.STALL_MS - 1.0
    assert detector.commands_allowed()


@pytest.mark.parametrize("ended", [False, True])
@pytest.mark.parametrize("stalled", [False, True])
@pytest.mark.parametrize("proved", [False, True])
def test_ended_or_stalled_term_sends_no_commands(ended, stalled, proved):
    """Nor does one that may have been replaced."""
    fake = types.SimpleNamespace(
        ended=types.SimpleNamespace(is_set=lambda: ended),
        stall_detector=types.SimpleNamespace(
            commands_allowed=lambda: not stalled
        ),
        proof=types.SimpleNamespace(valid=lambda: proved),
    )
    allowed = term.Term.commands_allowed(fake)
    assert allowed is (proved and not (ended or stalled))


def test_task_placed_before_a_stall_is_not_started(report):
    """No start command is sent, and the run attempt is removed again."""
    gone = []
    worker = runs.Worker(report=report, now_ms=0.0)
    run = types.SimpleNamespace(
        worker=worker,
        task=None,
        state=runs.RunState.STARTING,
        stop_requested=False,
    )
    events = types.SimpleNamespace(on_run_gone=lambda *args: gone.append(args))
    placer = placing.Placer(
        term=1,
        job_table=None,
        estimates=None,
        workers={},
        links={"w": types.SimpleNamespace(events=events)},
        all_runs_known=None,
        commands_allowed=lambda: False,
        spawn=None,
        lease=None,
        crashes=None,
        teams=None,
        metrics=None,
    )
    asyncio.run(placer.start(run, ""))
    assert gone == [(worker, run, "stalled")]
