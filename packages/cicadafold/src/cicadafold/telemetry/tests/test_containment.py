"""Tests of errors that stay with what they are about."""

import asyncio

import pytest

from cicadafold import clock
from cicadafold.telemetry import containment

Part = containment.Part


@pytest.fixture
def contained():
    """Returns a containment with metrics of its own."""
    return containment.Containment()


async def fail():
    """Fails."""
    raise KeyError("worker")


def test_task_that_fails_leaves_the_other_tasks_of_a_term(contained):
    """A stop, or the removal of a worker, ended the term."""
    done = []

    async def go_on():
        await asyncio.sleep(0.01)
        done.append(1)

    async def scenario():
        async with asyncio.TaskGroup() as group:
            group.create_task(contained.run(go_on()))
            group.create_task(contained.run(fail()))

    asyncio.run(scenario())
    assert done == [1]
    assert contained.count(Part.TASK, "fail") == 1


def test_loop_is_run_again_and_its_pauses_are_bounded(contained, monkeypatch):
    """Many jobs depend on a loop, so that a long pause is as bad."""
    pauses = []

    async def sleep(pause_s):
        pauses.append(pause_s)
        if len(pauses) == 20:
            raise asyncio.CancelledError

    monkeypatch.setattr(asyncio, "sleep", sleep)
    monkeypatch.setattr(clock, "monotonic_ms", lambda: 0.0)
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(contained.keep_running("loop", fail))
    assert pauses == sorted(pauses)
    assert pauses[0] == 0.1
    assert max(pauses) == 1.0


def test_repeated_error_is_logged_less_and_less(contained, caplog):
    """One failing job filled the log, so that other lines were dropped."""
    for _ in range(1000):
        contained.report(Part.PLACING, "j", KeyError(), request_id="j")
    lines = [x.in_a_row for x in caplog.records]
    assert lines == [2**n for n in range(10)]


def test_item_is_paused_for_longer_and_longer_until_it_is_handled(contained):
    """A job that fails in each pass costs the others time."""
    with contained.contain(Part.PLACING, "j"):
        raise KeyError
    assert contained.paused(Part.PLACING) == {"j"}
    assert contained.paused(Part.PASS) == set()
    with contained.contain(Part.PLACING, "j"):
        pass
    assert contained.paused(Part.PLACING) == set()
    assert contained.failures == {}
