"""Tests of what a process does after it stood still."""

import asyncio
import types

import pytest

from cicadafold import clock
from cicadafold.dispatch import placing
from cicadafold.dispatch import runs
from cicadafold.dispatch import steadiness
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
    monkeypatch.setattr(steadiness, "TICK_S", 0.0)
    return made


@pytest.mark.parametrize(
    "error",
    [None, exception.LogUnavailable(message="Down.", remedy="Wait.")],
)
def test_no_orders_after_a_stall_until_the_newest_claim_is_read(time, error):
    """A stall is seen before anything is done, and a read ends it."""
    said = []

    async def confirm():
        said.append(watch.steady())
        if error is not None:
            raise error

    watch = steadiness.Steadiness(
        confirm=confirm, on_steady=lambda: said.append("steady")
    )
    assert watch.steady()
    time.now_ms += steadiness.STALL_MS + 1.0
    assert not watch.steady()

    async def scenario():
        task = asyncio.create_task(watch.run())
        for _ in range(3):
            await asyncio.sleep(0)
        task.cancel()

    asyncio.run(scenario())
    assert said == [False, "steady"]
    assert watch.steady()


def test_short_pauses_are_no_stall(time):
    """A busy moment holds nothing up."""
    watch = steadiness.Steadiness(confirm=None, on_steady=None)
    time.now_ms += steadiness.STALL_MS - 1.0
    assert watch.steady()


@pytest.mark.parametrize("over", [False, True])
@pytest.mark.parametrize("still", [False, True])
def test_term_gives_orders_only_while_it_is_steady(over, still):
    """A term that is over, or stood still, gives none."""
    found = types.SimpleNamespace(
        over=types.SimpleNamespace(is_set=lambda: over),
        steadiness=types.SimpleNamespace(steady=lambda: not still),
    )
    assert term.Term.steady(found) is not (over or still)


def test_run_that_was_placed_before_a_stall_is_not_ordered(report):
    """Its order is not sent, and its task waits again."""
    gone = []
    worker = runs.Worker(report=report, now_ms=0.0)
    run = types.SimpleNamespace(worker=worker, task=None)
    events = types.SimpleNamespace(vanished=lambda *found: gone.append(found))
    placer = placing.Placer(
        term=1,
        table=None,
        durations=None,
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
