"""Paces tasks that fill, so that tasks that serve keep their targets."""

import asyncio

from cicadafold import clock
from cicadafold.dispatch import runs
from cicadafold import exception
from cicadafold.telemetry import logs

__all__ = ["Pacer", "next_pace"]

PERIOD_S = 0.5
COMMAND_TIMEOUT_S = 0.7
# Shares of the target above which fills are slowed, below which they gain.
HIGH_SHARE = 0.85
LOW_SHARE = 0.6
SLOWER = 0.5
GAIN_PERCENT = 8
WHOLE_PERCENT = 100
LEAST_PERCENT = 4

LOG = logs.get_logger("pacing")


def next_pace(percent, tightest):
    """Returns the next pace of the fills on a worker.

    Args:
        percent: Pace now, 0 to 100.
        tightest: Largest ratio of tail latency to target on the worker.

    Examples:
        >>> next_pace(100, 0.9), next_pace(4, 1.2), next_pace(50, 0.3)
        (50, 0, 58)
    """
    if tightest > HIGH_SHARE:
        slower = int(percent * SLOWER)
        return slower if slower >= LEAST_PERCENT else 0
    if tightest < LOW_SHARE:
        return min(WHOLE_PERCENT, percent + GAIN_PERCENT)
    return percent


class Pacer:
    """Sets the pace of fills from the tail latencies beside them.

    Args:
        workers: Workers by name.
        links: Links by the name of the worker.
    """

    def __init__(self, *, workers, links):
        self.workers = workers
        self.links = links

    async def run(self):
        """Looks at all workers again and again."""
        while True:
            await asyncio.sleep(PERIOD_S)
            for name, worker in list(self.workers.items()):
                if worker.silent_since_ms is None:
                    await self.pace_worker(self.links[name], worker)

    async def pace_worker(self, link, worker):
        """Paces the fills of one worker."""
        fills, tightest = [], 0.0
        for run in worker.runs.values():
            if run.task is None or run.state is not runs.RunState.RUNNING:
                continue
            spec = run.task.step.spec
            if spec.fills:
                fills.append(run)
            elif spec.tail_target_ms:
                tightest = max(tightest, run.reading / spec.tail_target_ms)
        for run in fills:
            percent = next_pace(run.pace, tightest)
            if percent != run.pace:
                await self.order(link, run, percent, tightest)

    async def order(self, link, run, percent, tightest):
        """Orders one pace."""
        try:
            await link.client.pace(
                run.name, run.attempt, percent, timeout_s=COMMAND_TIMEOUT_S
            )
        except exception.TargetUnreachable as error:
            LOG.debug("A pace was not answered: %s", error)
            return
        run.pace = percent
        LOG.info(
            "A task that fills is paced.",
            fields={
                "request_id": run.name.job,
                "worker": run.worker.report.id,
                "percent": percent,
                "tightest": round(tightest, 2),
                "age_ms": round(clock.monotonic_ms() - run.started_ms),
            },
        )
