"""Paces filler tasks, so that serving tasks keep their tail latency.

A filler task (``fills`` in its step) only uses cores that other tasks leave
unused. It runs beside serving tasks, which have a target for their tail
latency. Its pace is the percentage of its speed at which it may run.
"""

import asyncio

from cicadafold import clock
from cicadafold.dispatch import runs
from cicadafold import exception
from cicadafold.telemetry import containment
from cicadafold.telemetry import logs

__all__ = ["Pacer", "next_pace"]

PERIOD_S = 0.5
COMMAND_TIMEOUT_S = 0.7
# Ratios of tail latency to target above which filler tasks are slowed down
# and below which they are sped up.
SLOW_DOWN_RATIO = 0.85
SPEED_UP_RATIO = 0.6
# Factor on the pace when slowing down, and percent added when speeding up.
SLOW_DOWN_FACTOR = 0.5
SPEED_UP_PERCENT = 8
FULL_PERCENT = 100
# A pace below this becomes 0.
MIN_PERCENT = 4

LOG = logs.get_logger("pacing")
Part = containment.Part


def next_pace(percent, worst_ratio):
    """Returns the next pace of a filler task, 0 to 100 percent.

    Args:
        percent: Current pace, 0 to 100 percent.
        worst_ratio: Largest ratio of tail latency to target among the
            serving tasks on the worker.

    Examples:
        >>> next_pace(100, 0.9), next_pace(4, 1.2), next_pace(50, 0.3)
        (50, 0, 58)
    """
    if worst_ratio > SLOW_DOWN_RATIO:
        slower = int(percent * SLOW_DOWN_FACTOR)
        return slower if slower >= MIN_PERCENT else 0
    if worst_ratio < SPEED_UP_RATIO:
        return min(FULL_PERCENT, percent + SPEED_UP_PERCENT)
    return percent


class Pacer:
    """Sets the pace of filler tasks by the tail latencies on their workers.

    Args:
        workers: Workers by name.
        links: Links to the workers by name of the worker.
        containment: ``Containment`` of the term.
    """

    def __init__(self, *, workers, links, containment):
        self.containment = containment
        self.workers = workers
        self.links = links

    async def run(self):
        """Updates the paces on all answering workers each ``PERIOD_S``."""
        while True:
            await asyncio.sleep(PERIOD_S)
            for name, worker in list(self.workers.items()):
                # A worker may have been removed while others were called.
                if name not in self.links:
                    continue
                if worker.silent_since_ms is not None:
                    continue
                with self.containment.contain(Part.PACING, name, worker=name):
                    await self.pace_worker(self.links[name], worker)

    async def pace_worker(self, link, worker):
        """Updates the pace of the filler tasks on one worker."""
        fills, worst_ratio = [], 0.0
        for run in list(worker.runs.values()):
            if run.task is None or run.state is not runs.RunState.RUNNING:
                continue
            spec = run.task.step.spec
            if spec.fills:
                fills.append(run)
            elif spec.tail_target_ms:
                worst_ratio = max(
                    worst_ratio, run.reading / spec.tail_target_ms
                )
        for run in fills:
            percent = next_pace(run.pace, worst_ratio)
            if percent != run.pace:
                await self.send_pace(link, run, percent, worst_ratio)

    async def send_pace(self, link, run, percent, worst_ratio):
        """Sends a pace command for one run attempt.

        If the worker does not answer, the old pace is kept and the next
        round tries again.

        Args:
            link: Link to the worker.
            run: Run attempt of the filler task.
            percent: New pace, 0 to 100 percent.
            worst_ratio: Ratio that is logged as the reason.
        """
        try:
            await link.client.pace(
                run.name, run.attempt, percent, timeout_s=COMMAND_TIMEOUT_S
            )
        except exception.TargetUnreachable as error:
            LOG.debug("Pace command was not answered, retrying: %s", error)
            return
        run.pace = percent
        LOG.info(
            "Changed the pace of a filler task.",
            fields={
                "request_id": run.name.job,
                "worker": run.worker.report.id,
                "percent": percent,
                "tightest": round(worst_ratio, 2),
                "age_ms": round(clock.monotonic_ms() - run.started_ms),
            },
        )
