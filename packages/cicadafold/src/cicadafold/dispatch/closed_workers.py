"""Workers that are kept for one task, and for how long others bear that."""

import collections

from cicadafold.scheduling import blame
from cicadafold.telemetry import logs

__all__ = ["MAX_CLOSED_SHARE", "ClosedWorkers", "runs_alone"]

# Share of the workers of a pool, or of those with a label, that may be closed
# for longer than ``MAX_WANTED_MS`` while other tasks wait for them.
MAX_CLOSED_SHARE = 0.25
# Time after which a closed worker is opened to other tasks that have too few
# open workers. A job may wait 3 s while most of its pool is idle.
MAX_WANTED_MS = 2500.0
# Such a worker is not closed again for this time, in which waiting tasks can
# also get the tickets that their queue needs.
MIN_OPEN_MS = 2500.0
# Waiting steps, by pool and label those of the highest ranks, for which closed
# workers are looked at in a pass.
MAX_LOOKS = 20

LOG = logs.get_logger("isolation")


class ClosedWorkers:
    """Workers that are closed to all but one unit.

    A unit is a task, or the step of a gang, that is to run alone. In a pool
    of few workers, or if few have a label, other tasks may find more than
    ``MAX_CLOSED_SHARE`` of the workers that they need closed. They wait for
    ``MAX_WANTED_MS`` at the most: the worker is opened, also while the unit
    runs there.

    Args:
        workers: Workers by name.

    Attributes:
        units: Unit by the name of the worker that is kept for it.
        since_ms: Monotonic time in milliseconds since which a worker is
            closed, by its name.
        wanted: Names of the closed workers that other tasks were waiting for
            in the last pass.
        noted: The same for the current pass.
        open_until_ms: Monotonic time in milliseconds before which a worker
            is not closed again, by its name.
        shares: In the current pass, the number of usable workers and the
            closed ones among them, by pool and label.
        looks: Number of waiting steps for which closed workers were looked
            at in the current pass, by pool and label.
    """

    def __init__(self, *, workers):
        self.workers = workers
        self.units = {}
        self.since_ms = {}
        self.wanted = set()
        self.noted = set()
        self.open_until_ms = {}
        self.shares = {}
        self.looks = collections.Counter()

    def begin_pass(self, now_ms):
        """Begins to note the workers that other tasks are waiting for."""
        self.wanted, self.noted = self.noted, set()
        self.shares = {}
        self.looks.clear()
        self.open_until_ms = {
            k: v for k, v in self.open_until_ms.items() if now_ms < v
        }

    def may_be_closed(self, name):
        """Whether a worker may be closed, after others have waited for it."""
        return name not in self.open_until_ms

    def closed_ms(self, name, now_ms):
        """Returns for how long a worker has been closed, in ms."""
        return now_ms - self.since_ms[name]

    def is_overdue(self, name, now_ms):
        """Whether other tasks have waited too long for a closed worker."""
        return (
            name in self.wanted
            and self.closed_ms(name, now_ms) >= MAX_WANTED_MS
        )

    def close(self, name, unit, now_ms):
        """Closes a worker to all but a unit, unless it is closed already."""
        if name in self.units:
            return
        self.units[name] = unit
        self.since_ms[name] = now_ms
        LOG.info(
            "A worker is closed to other tasks, as a task with losses is to "
            "run alone.",
            fields=unit.log_fields
            | {
                "worker": name,
                "pool": unit.job.rule.pool,
                "runs": len(self.workers[name].runs),
            },
        )

    def open(self, name, now_ms):
        """Opens a worker to all tasks."""
        wanted = name in self.wanted
        if wanted:
            self.open_until_ms[name] = now_ms + MIN_OPEN_MS
        closed_ms = self.closed_ms(name, now_ms)
        unit = self.units.pop(name)
        del self.since_ms[name]
        LOG.info(
            "A worker is open to other tasks again.",
            fields=unit.log_fields
            | {
                "worker": name,
                "closed_ms": round(closed_ms),
                "wanted": wanted,
            },
        )

    def matter_to(self, step):
        """Whether closed workers are to be looked at for a step."""
        kind = step.job.rule.pool, step.spec.label
        return bool(self.units) and self.looks[kind] < MAX_LOOKS

    def on_waiting(self, step, tasks, demand, now_ms):
        """Notes the closed workers that tasks of a step are waiting for.

        Args:
            step: Step of which some tasks may not have been placed.
            tasks: Tasks that were to be placed.
            demand: ``Demand`` of the step.
            now_ms: Monotonic time in milliseconds.
        """
        if not any(x.needs_start and not runs_alone(x.unit) for x in tasks):
            return
        pool, label = step.job.rule.pool, step.spec.label
        self.looks[pool, label] += 1
        usable, closed = self.closed_share(pool, label, now_ms)
        excess = len(closed) - int(usable * MAX_CLOSED_SHARE)
        if excess <= 0:
            return
        fitting = [
            name
            for name in closed
            if demand.max_tasks_on(self.workers[name].scheduling_view())
        ]
        self.noted.update(fitting[:excess])

    def closed_share(self, pool, label, now_ms):
        """Returns how many usable workers there are, and the closed ones.

        Args:
            pool: Name of their pool.
            label: Label that they have, or empty.
            now_ms: Monotonic time in milliseconds.

        Returns:
            Number of the workers, and names of those that are closed, the
            one that has been closed for the longest time first.
        """
        if (pool, label) not in self.shares:
            names = [
                name
                for name, worker in self.workers.items()
                if worker.report.pool == pool
                and (not label or label in worker.labels)
                and worker.usable(now_ms)
            ]
            closed = [name for name in names if name in self.units]
            closed.sort(key=lambda name: self.since_ms[name])
            self.shares[pool, label] = len(names), closed
        return self.shares[pool, label]


def runs_alone(unit):
    """Whether a unit is to run alone on its workers."""
    history = unit.crashes
    return history is not None and history.verdict is blame.Verdict.ISOLATED
