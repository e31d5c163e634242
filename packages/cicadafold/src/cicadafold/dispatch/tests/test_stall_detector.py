"""Tests of what a process does after it stood still."""

import asyncio
import types

import pytest

from cicadafold import clock
from cicadafold.dispatch import placing
from cicadafold.dispatch import runs
from cicadafold.dispatch import stall_detector
from cicadafold.dispatch import term
from cicadafold import exception


class Time:
    """A clock that the test moves."""

    def __init__(self):
        self.now_ms = 1000.0

    def __call__(self):
        return self.now_ms


@pytest.fixture
def time(monkeypatch):
    """The clock of the product, moved by the test."""
    made = Time()
    monkeypatch.setattr(clock, "monotonic_ms", made)
    monkeypatch.setattr(stall_detector, "TICK_S", 0.0)
    return made


@pytest.mark.parametrize(
    "error",
    [None, exception.LogUnavailable(message="Down.", remedy="Wait.")],
)
def test_no_orders_after_a_stall_until_the_newest_claim_is_read(time, error):
    """A stall is seen before anything is done, and a read ends it."""
    said = []

    async def read_newest_claim():
        said.append(watch.commands_allowed())
        if error is not None:
            raise error

    watch = stall_detector.StallDetector(
        read_newest_claim=read_newest_claim,
        on_resumed=lambda: said.append("steady"),
    )
    assert watch.commands_allowed()
    time.now_ms += stall_detector.STALL_MS + 1.0
    assert not watch.commands_allowed()

    async def scenario():
        task = asyncio.create_task(watch.run())
        for _ in range(3):
            await asyncio.sleep(0)
        task.cancel()

    asyncio.run(scenario())
    assert said == [False, "steady"]
    assert watch.commands_allowed()


def test_short_pauses_are_no_stall(time):
    """A busy moment holds nothing up."""
    watch = stall_detector.StallDetector(
        read_newest_claim=None, on_resumed=None
    )
    time.now_ms += stall_detector.STALL_MS - 1.0
    assert watch.commands_allowed()


@pytest.mark.parametrize("over", [False, True])
@pytest.mark.parametrize("still", [False, True])
def test_term_gives_orders_only_while_it_is_steady(over, still):
    """A term that is over, or stood still, gives none."""
    found = types.SimpleNamespace(
        ended=types.SimpleNamespace(is_set=lambda: over),
        stall_detector=types.SimpleNamespace(
            commands_allowed=lambda: not still
        ),
    )
    assert term.Term.commands_allowed(found) is not (over or still)


def test_run_that_was_placed_before_a_stall_is_not_ordered(report):
    """Its order is not sent, and its task waits again."""
    gone = []
    worker = runs.Worker(report=report, now_ms=0.0)
    run = types.SimpleNamespace(worker=worker, task=None)
    events = types.SimpleNamespace(
        on_run_gone=lambda *found: gone.append(found)
    )
    placer = placing.Placer(
        term=1,
        table=None,
        estimates=None,
        workers={},
        links={"w": types.SimpleNamespace(events=events)},
        all_runs_known=None,
        commands_allowed=lambda: False,
        spawn=None,
        lease=None,
        metrics=None,
    )
    asyncio.run(placer.start(run, ""))
    assert gone == [(worker, run, "stalled")]
