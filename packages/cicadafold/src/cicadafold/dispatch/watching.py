"""Looks for runs that stand still, and forgets what is over."""

import asyncio

from cicadafold import clock
from cicadafold.dispatch import runs
from cicadafold.scheduling import estimates
from cicadafold.scheduling import speeds
from cicadafold.telemetry import logs

__all__ = ["Watcher"]

PERIOD_S = 0.25
# A run whose progress has not grown for this long stands still; the
# slowest sound run gains one percent in a fraction of it.
STILL_MS = 2500.0
QUARANTINE_MS = 4000.0
# A run is moved from a slow worker if it would still take this much longer
# than a whole run elsewhere, with the time of stop and start.
MOVE_FACTOR = 1.3
MOVE_COST_MS = 600.0
LEAST_SEEN_MS = 500.0
LEAST_SPEED = 0.05
WHOLE_PERCENT = 100.0
# Steps that wait longer than this are reported, a few in each report.
LONG_WAIT_MS = 4000.0
REPORT_PERIOD_S = 2.0
MAX_REPORTED = 5

LOG = logs.get_logger("watch")


class Watcher:
    """Stops runs that stand still.

    Args:
        workers: Workers by name.
        table: Jobs.
        events: Receiver of stops, which knows expected durations.
    """

    def __init__(self, *, workers, table, events):
        self.workers = workers
        self.table = table
        self.events = events

    async def run(self):
        """Looks at all runs again and again."""
        reported_ms = 0.0
        while True:
            await asyncio.sleep(PERIOD_S)
            now_ms = clock.monotonic_ms()
            self.measure(now_ms)
            self.events.stop_unknown_runs()
            for worker in list(self.workers.values()):
                self.look_at(worker, now_ms)
                self.move_from(worker, now_ms)
            if now_ms - reported_ms > REPORT_PERIOD_S * 1000:
                reported_ms = now_ms
                self.report_waiting(now_ms)

    def measure(self, now_ms):
        """Sets the speed of each worker against its pool's median."""
        measured = {}
        for name, worker in self.workers.items():
            speed = worker.meter.speed(now_ms)
            measured.setdefault(worker.report.pool, {})[name] = speed
        for found in measured.values():
            for name, speed in speeds.relative_speeds(found).items():
                self.workers[name].speed = speed

    def report_waiting(self, now_ms):
        """Logs the steps that have waited longest, and what they need."""
        waiting = [
            step
            for job in self.table.active.values()
            for steps in job.steps.values()
            for step in steps
            if step.ready_ms is not None
            and not step.done
            and now_ms - step.ready_ms > LONG_WAIT_MS
            and any(task.needs_start for task in step.tasks)
        ]
        waiting.sort(key=lambda step: step.ready_ms)
        for step in waiting[:MAX_REPORTED]:
            LOG.info("A step waits.", fields=waiting_fields(step, now_ms))

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
                fields=runs.run_fields(run) | {"percent": run.percent},
            )
            run.task.step.avoided_workers.add(worker.report.id)
            self.events.stop_run(run)

    def move_from(self, worker, now_ms):
        """Stops what a leaving or slow worker would not end in time."""
        draining = worker.report.draining
        if worker.silent_since_ms is not None:
            return
        if not draining and worker.speed >= speeds.VERY_SLOW:
            return
        for run in list(worker.runs.values()):
            left_ms = self.left_ms(run, worker, now_ms)
            if left_ms is None:
                continue
            others = worker.meter.speed(now_ms, without=run.name.job)
            if not draining and others >= speeds.VERY_SLOW:
                # The job itself may be longer than estimated.
                continue
            if draining:
                bound_ms = worker.remaining_ms(now_ms)
            else:
                whole_ms = self.events.expected_ms(run)
                bound_ms = whole_ms * MOVE_FACTOR + MOVE_COST_MS
            if left_ms <= bound_ms:
                continue
            LOG.info(
                "A run is moved from a leaving worker."
                if draining
                else "A run is moved from a slow worker.",
                fields=runs.run_fields(run)
                | {
                    "left_ms": round(left_ms),
                    "bound_ms": round(bound_ms),
                    "speed": round(worker.speed, 2),
                },
            )
            self.events.stop_run(run)

    def left_ms(self, run, worker, now_ms):
        """Returns how long a run still takes, None if it is not moved."""
        if run.state is not runs.RunState.RUNNING or run.stop_wanted:
            return None
        expected_ms = self.events.expected_ms(run)
        ran_ms = now_ms - run.started_ms
        if expected_ms is None or ran_ms < LEAST_SEEN_MS:
            return None
        return estimates.remaining_ms(
            expected_ms / max(worker.speed, LEAST_SPEED),
            ran_ms,
            run.percent,
        )

    def stands_still(self, run, now_ms):
        """Whether the progress of a run has stopped."""
        if run.state is not runs.RunState.RUNNING or run.stop_wanted:
            return False
        task = run.task
        if task is None or task.step.spec.lasting or task.step.spec.fills:
            return False
        if task.step.spec.gang and run.percent >= WHOLE_PERCENT:
            # It has done its part and waits for the slower members.
            return False
        return now_ms - run.percent_ms > STILL_MS


def waiting_fields(step, now_ms):
    """Returns what a report says of a step that waits."""
    tickets = sum(now_ms < until for _, until in step.tickets.values())
    return {
        "request_id": step.job.spec.id,
        "step": step.number,
        "queue": step.job.rule.name,
        "waited_ms": round(now_ms - step.ready_ms),
        "slack_ms": round(step.job.arrived_ms + step.job.objective - now_ms),
        "tasks": len(step.tasks),
        "waiting": sum(task.needs_start for task in step.tasks),
        "cores_milli": step.spec.reserved_resources.cores_milli,
        "gang": step.spec.gang,
        "allowed": sum((step.allowed_by_worker or {}).values()),
        "tickets": tickets,
        "asking": step.advice_pending,
        "inherited": step.job.inherited,
    }
