"""Looks for runs that stand still, and forgets what is over."""

import asyncio

from cicadafold import clock
from cicadafold.dispatch import runs
from cicadafold.telemetry import logs

__all__ = ["Watcher"]

PERIOD_S = 0.25
# A run whose progress has not grown for this long stands still; the
# slowest sound run gains one percent in a fraction of it.
STILL_MS = 2500.0
STILL_EXPECTED_SHARE = 0.25
QUARANTINE_MS = 4000.0

LOG = logs.get_logger("watch")


class Watcher:
    """Stops runs that stand still.

    Args:
        workers: Workers by name.
        table: Jobs.
        events: Receiver of stops.
        wake: Function called when placing may have something to do.
    """

    def __init__(self, *, workers, table, events, wake):
        self.workers = workers
        self.table = table
        self.events = events
        self.wake = wake

    async def run(self):
        """Looks at all runs again and again."""
        while True:
            await asyncio.sleep(PERIOD_S)
            now_ms = clock.monotonic_ms()
            for worker in list(self.workers.values()):
                self.look_at(worker, now_ms)

    def look_at(self, worker, now_ms):
        """Stops the runs of one worker that stand still."""
        if worker.silent_since_ms is not None:
            return
        for run in list(worker.runs.values()):
            if not self.stands_still(run, now_ms):
                continue
            worker.quarantined_until_ms = now_ms + QUARANTINE_MS
            LOG.warning(
                "A run stands still and is stopped.",
                fields={
                    "request_id": run.name.job,
                    "step": run.name.step,
                    "task": run.name.index,
                    "attempt": run.attempt,
                    "worker": worker.report.id,
                    "percent": run.percent,
                },
            )
            run.task.step.avoid.add(worker.report.id)
            self.events.stop_run(run)

    def stands_still(self, run, now_ms):
        """Whether the progress of a run has stopped."""
        if run.state is not runs.RunState.RUNNING or run.stop_wanted:
            return False
        task = run.task
        if task is None or task.step.spec.lasting or task.step.spec.fills:
            return False
        return now_ms - run.percent_ms > STILL_MS
