"""Stops stalled run attempts and moves tasks off slow or leaving workers."""

import asyncio

from cicadafold import clock
from cicadafold.dispatch import runs
from cicadafold.scheduling import estimates
from cicadafold.scheduling import speeds
from cicadafold.telemetry import containment
from cicadafold.telemetry import logs

__all__ = ["Watcher"]

PERIOD_S = 0.25
# A run attempt whose progress has not grown for this long is stalled; the
# slowest healthy one gains one percent in a fraction of this time.
STALL_MS = 2500.0
# Quarantine of a worker on which a run attempt stalled.
QUARANTINE_MS = 4000.0
# A run attempt is moved from a very slow worker if its remaining time exceeds
# this multiple of a whole run attempt elsewhere plus the time to stop it and
# to start another.
MOVE_FACTOR = 1.3
MOVE_COST_MS = 600.0
# Younger run attempts are not moved.
MIN_RUN_MS = 500.0
# Least speed with which remaining times are computed.
MIN_SPEED = 0.05
FULL_PERCENT = 100.0
# Steps that wait longer than this are logged, at most MAX_REPORTED of them
# in each period.
LONG_WAIT_MS = 4000.0
REPORT_PERIOD_S = 2.0
MAX_REPORTED = 5

LOG = logs.get_logger("watch")
Part = containment.Part


class Watcher:
    """Stops run attempts that are stalled or would end too late.

    The tasks of stopped run attempts wait again and are placed elsewhere.

    Args:
        workers: Workers by name.
        job_table: Table of the jobs.
        events: Event handler of the workers, which stops run attempts and
            knows their expected durations.
        containment: ``Containment`` of the term.
    """

    def __init__(self, *, workers, job_table, events, containment):
        self.containment = containment
        self.workers = workers
        self.job_table = job_table
        self.events = events

    async def run(self):
        """Checks all workers every ``PERIOD_S`` seconds.

        Also stops run attempts of unknown jobs and logs long waits.
        """
        reported_ms = 0.0
        while True:
            await asyncio.sleep(PERIOD_S)
            now_ms = clock.monotonic_ms()
            with self.containment.contain(Part.WATCHING, "speeds"):
                self.update_speeds(now_ms)
            with self.containment.contain(Part.WATCHING, "unknown"):
                self.events.stop_unknown_runs()
            for worker in list(self.workers.values()):
                self.check_worker(worker, now_ms)
                self.move_runs_from(worker, now_ms)
            if now_ms - reported_ms > REPORT_PERIOD_S * 1000:
                reported_ms = now_ms
                with self.containment.contain(Part.WATCHING, "waiting"):
                    self.report_waiting(now_ms)

    def update_speeds(self, now_ms):
        """Sets the speed of each worker relative to its pool's median."""
        measured = {}
        for name, worker in self.workers.items():
            speed = worker.speed_meter.speed(now_ms)
            measured.setdefault(worker.report.pool, {})[name] = speed
        for found in measured.values():
            for name, speed in speeds.relative_speeds(found).items():
                self.workers[name].speed = speed

    def report_waiting(self, now_ms):
        """Logs the steps that have waited longest, beyond ``LONG_WAIT_MS``."""
        waiting = [
            step
            for job in self.job_table.active.values()
            for steps in job.steps.values()
            for step in steps
            if step.ready_ms is not None
            and not step.done
            and now_ms - step.ready_ms > LONG_WAIT_MS
            and any(task.needs_start for task in step.tasks)
        ]
        waiting.sort(key=lambda step: step.ready_ms)
        for step in waiting[:MAX_REPORTED]:
            LOG.info(
                "Step has been ready for more than %g ms with waiting tasks.",
                LONG_WAIT_MS,
                fields=waiting_log_fields(step, now_ms),
            )

    def check_worker(self, worker, now_ms):
        """Stops the stalled run attempts on one worker, if it answers.

        The worker is quarantined and the step of the task avoids it.
        """
        if worker.silent_since_ms is not None:
            return
        for run in list(worker.runs.values()):
            try:
                if self.is_stalled(run, now_ms):
                    self.stop_stalled(run, worker, now_ms)
            except Exception as error:
                self.report_run(run, error)

    def report_run(self, run, error):
        """Reports an unexpected error about one run attempt."""
        self.containment.report(
            Part.WATCHING, run.name.job, error, **runs.run_log_fields(run)
        )

    def stop_stalled(self, run, worker, now_ms):
        """Stops a stalled run attempt and quarantines its worker.

        Args:
            run: Run attempt.
            worker: Its worker.
            now_ms: Monotonic time in milliseconds.
        """
        worker.quarantined_until_ms = now_ms + QUARANTINE_MS
        LOG.warning(
            "Run attempt made no progress for %g ms; stopping it and"
            " quarantining its worker.",
            STALL_MS,
            fields=runs.run_log_fields(run) | {"percent": run.percent},
        )
        run.task.step.avoided_workers.add(worker.report.id)
        self.events.stop_run(run)

    def move_runs_from(self, worker, now_ms):
        """Stops run attempts that a leaving or slow worker ends too late.

        On a draining worker this is after its expected departure; on a very
        slow one, when starting again elsewhere is expected to be faster.
        """
        draining = worker.report.draining
        if worker.silent_since_ms is not None:
            return
        if not draining and worker.speed >= speeds.VERY_SLOW_SPEED:
            return
        for run in list(worker.runs.values()):
            try:
                self.move_if_late(run, worker, now_ms)
            except Exception as error:
                self.report_run(run, error)

    def move_if_late(self, run, worker, now_ms):
        """Stops a run attempt that its worker would end too late.

        Args:
            run: Run attempt.
            worker: Its worker, which is draining or very slow.
            now_ms: Monotonic time in milliseconds.
        """
        draining = worker.report.draining
        left_ms = self.expected_remaining_ms(run, worker, now_ms)
        if left_ms is None:
            return
        others = worker.speed_meter.speed(now_ms, excluded_job=run.name.job)
        if not draining and others >= speeds.VERY_SLOW_SPEED:
            # Without this job the worker is not very slow: the job probably
            # takes longer than estimated.
            return
        if draining:
            bound_ms = worker.remaining_ms(now_ms)
        else:
            full_run_ms = self.events.expected_ms(run)
            bound_ms = full_run_ms * MOVE_FACTOR + MOVE_COST_MS
        if left_ms <= bound_ms:
            return
        LOG.info(
            "Stopping a run attempt to move it off a leaving worker."
            if draining
            else "Stopping a run attempt to move it off a slow worker.",
            fields=runs.run_log_fields(run)
            | {
                "left_ms": round(left_ms),
                "bound_ms": round(bound_ms),
                "speed": round(worker.speed, 2),
            },
        )
        self.events.stop_run(run)

    def expected_remaining_ms(self, run, worker, now_ms):
        """Returns the expected remaining time of a run attempt, in ms.

        Returns None if the run attempt must not be moved: it is not running,
        is being stopped, has no expected duration or has just started.
        """
        if run.state is not runs.RunState.RUNNING or run.stop_requested:
            return None
        expected_ms = self.events.expected_ms(run)
        ran_ms = now_ms - run.started_ms
        if expected_ms is None or ran_ms < MIN_RUN_MS:
            return None
        return estimates.remaining_ms(
            expected_ms / max(worker.speed, MIN_SPEED),
            ran_ms,
            run.percent,
        )

    def is_stalled(self, run, now_ms):
        """Whether a run attempt has made no progress for ``STALL_MS``.

        Lasting tasks and filler tasks never count as stalled.
        """
        if run.state is not runs.RunState.RUNNING or run.stop_requested:
            return False
        task = run.task
        if task is None or task.step.spec.lasting or task.step.spec.fills:
            return False
        if task.step.spec.gang and run.percent >= FULL_PERCENT:
            # Complete, and waiting for the slower tasks of the gang.
            return False
        return now_ms - run.progress_changed_ms > STALL_MS


def waiting_log_fields(step, now_ms):
    """Returns the log fields for a step with waiting tasks."""
    tickets = sum(now_ms < until for _, until in step.tickets.values())
    return {
        "request_id": step.job.spec.id,
        "step": step.number,
        "queue": step.job.rule.name,
        "waited_ms": round(now_ms - step.ready_ms),
        "slack_ms": round(
            step.job.arrived_ms + step.job.objective_ms - now_ms
        ),
        "tasks": len(step.tasks),
        "waiting": sum(task.needs_start for task in step.tasks),
        "cores_milli": step.spec.reserved_resources.cores_milli,
        "gang": step.spec.gang,
        "allowed": sum((step.allowed_by_worker or {}).values()),
        "tickets": tickets,
        "asking": step.advice_pending,
        "inherited": step.job.inherited,
    }
