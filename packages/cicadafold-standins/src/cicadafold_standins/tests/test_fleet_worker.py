"""Tests of what the stand-in worker counts, without a cell."""

import asyncio
import types

import pytest

from cicadafold import clock
from cicadafold_standins.fleet import worker as fleet_worker


class FakeRequest:
    """Request with a JSON body."""

    def __init__(self, **body):
        self.body = body

    async def json(self):
        """Returns the body."""
        return self.body


@pytest.fixture
def worker(monkeypatch):
    """Returns a worker whose clock the test sets by ``worker.now_ms``."""
    store = types.SimpleNamespace(
        silent=False, refusing=False, put=lambda *args: None
    )
    found = fleet_worker.FleetWorker(name="w", store=store, pool="p")
    found.now_ms = found.started_ms
    monkeypatch.setattr(clock, "monotonic_ms", lambda: found.now_ms)
    return found


def start(worker, task, attempt=1, spec="2000"):
    """Starts a task with a lease of one second."""
    worker.apply_start(
        {
            "task": task,
            "attempt": attempt,
            "spec": spec,
            "fence": 1,
            "deadlineMs": worker.clock_ms + 1000,
        }
    )


@pytest.mark.parametrize(("pause_ms", "counted"), ((900, True), (1100, False)))
def test_end_acknowledged_after_a_lapsed_lease_is_not_taken_note_of(
    worker, pause_ms, counted
):
    """The task may have been started elsewhere after the lease."""
    start(worker, "j.0.0.0")
    worker.end_run(worker.running["j.0.0.0"], "done")
    worker.now_ms += pause_ms
    asyncio.run(worker.hold(FakeRequest(fence=1, ackedThrough=1)))
    assert ("j.0.0.0" in worker.run_log.acknowledged) is counted


@pytest.mark.parametrize(
    ("after_ms", "overfilled"), ((3400, False), (3600, True))
)
def test_smaller_capacity_counts_some_time_after_it_is_shown(
    worker, after_ms, overfilled
):
    """A scheduler reads the registry with a delay."""
    start(worker, "j.0.0.0", spec="9000")
    worker.resize(8000)
    worker.now_ms += 60_000.0
    worker.register()
    worker.now_ms += after_ms
    start(worker, "j.0.0.1", spec="1000")
    assert bool(worker.overfilled) is overfilled


@pytest.mark.parametrize("crashes", (False, True))
def test_late_start_is_lost_with_a_crash(worker, crashes):
    """A process that is not running carries out no command."""
    worker.late_start_delay_s = 0.05
    worker.down_s = 0.0
    message = {
        "task": "j.0.0.0",
        "attempt": 1,
        "spec": "2000",
        "fence": 1,
        "deadlineMs": worker.clock_ms + 1000,
    }

    async def body():
        call = asyncio.create_task(worker.start(FakeRequest(**message)))
        await asyncio.sleep(0.01)
        if crashes:
            await worker.crash()
        await asyncio.sleep(0.1)
        call.cancel()

    asyncio.run(body())
    assert bool(worker.starts) is not crashes
