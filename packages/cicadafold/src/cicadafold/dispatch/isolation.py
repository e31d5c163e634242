"""Workers on which a suspect of crashes runs alone."""

import collections

import msgspec

from cicadafold import clock
from cicadafold.dispatch import closed_workers
from cicadafold.scheduling import placement

__all__ = ["Isolation", "mere_suspects", "start_groups"]

# A worker that has not become idle by then is given back, and one that is
# expected to take longer is not held. Busy workers are held only while no more
# than ``MAX_CLOSED_SHARE`` of the usable workers of a pool are closed.
MAX_HOLD_MS = 8000.0
# A task that runs until it is cancelled is isolated for this time.
LASTING_MS = 10_000.0


class Isolation:
    """Assigns workers to units that are to run alone.

    A unit is a task, or the step of a gang. A worker that is assigned to a
    unit is closed: it gets no other tasks, and is used once it is idle. A
    unit for which a worker was held in vain is placed among other tasks.

    Args:
        workers: Workers by name.
        expected_ends: Function of a worker and the time in milliseconds that
            returns pairs of remaining milliseconds and resources.

    Attributes:
        closed: ``ClosedWorkers``.
        units: Unit by the name of the worker that it is assigned.
        held_in_vain: Waiting units for which a worker was held that did not
            become idle.
        suspect_hosts: Names of the workers on which suspects run, in the
            current pass; None until it is needed.
    """

    def __init__(self, *, workers, expected_ends):
        self.workers = workers
        self.expected_ends = expected_ends
        self.closed = closed_workers.ClosedWorkers(workers=workers)
        self.units = self.closed.units
        self.held_in_vain = set()
        self.suspect_hosts = None

    def begin_pass(self, now_ms):
        """Gives back the workers that units need no longer, or others more."""
        self.suspect_hosts = None
        self.closed.begin_pass(now_ms)
        self.held_in_vain = set(filter(is_waiting, self.held_in_vain))
        for name, unit in list(self.units.items()):
            runs = self.runs_on(name, unit)
            overdue = self.closed.is_overdue(name, now_ms) or (
                not runs and self.closed.closed_ms(name, now_ms) >= MAX_HOLD_MS
            )
            if overdue and not runs and is_waiting(unit):
                self.held_in_vain.add(unit)
            if overdue or not self.is_needed(name, unit, runs, now_ms):
                self.closed.open(name, now_ms)

    def runs_on(self, name, unit):
        """Returns the run attempts of a unit on a worker."""
        worker = self.workers.get(name)
        return [
            run
            for run in (worker.runs.values() if worker is not None else ())
            if run.task is not None and run.task.unit is unit
        ]

    def is_needed(self, name, unit, runs, now_ms):
        """Whether a unit still needs the worker that it is assigned.

        Args:
            name: Name of the worker.
            unit: Unit.
            runs: Run attempts of the unit on the worker.
            now_ms: Monotonic time in milliseconds.
        """
        if runs:
            return not (
                runs[0].task.step.spec.lasting
                and now_ms - runs[0].started_ms > LASTING_MS
            )
        worker = self.workers.get(name)
        return (
            worker is not None
            and is_waiting(unit)
            and worker.usable(now_ms)
            and worker.report.pool == unit.job.rule.pool
        )

    def hosts_of_suspects(self):
        """Returns the names of the workers on which suspects run."""
        if self.suspect_hosts is None:
            self.suspect_hosts = {
                name
                for name, worker in self.workers.items()
                if any(
                    run.task is not None and run.task.unit.crashes is not None
                    for run in worker.runs.values()
                )
            }
        return self.suspect_hosts

    def pool_for(self, step, pool):
        """Returns the workers that a step may use.

        Args:
            step: Step.
            pool: Views of the usable workers by name.

        Returns:
            Views without the workers that are assigned to others, and with
            those assigned to units of the step.
        """
        if not self.units:
            return pool
        now_ms = clock.monotonic_ms()
        own = {
            name: pool.get(name) or self.workers[name].scheduling_view()
            for name, unit in self.units.items()
            if unit.step is step
            and self.workers[name].report.pool == step.job.rule.pool
            and self.workers[name].usable(now_ms)
        }
        return self.unassigned(pool) | own

    def unassigned(self, pool):
        """Returns the workers of a pool that are not assigned to any unit."""
        if not self.units:
            return pool
        return {k: v for k, v in pool.items() if k not in self.units}

    def place(self, unit, demand, pool, score, now_ms):
        """Chooses workers for a unit that was lost with a worker.

        Args:
            unit: Task, or step of a gang.
            demand: ``Demand`` of the unit.
            pool: Views by name, as returned by ``pool_for``.
            score: Placement policy.
            now_ms: Monotonic time in milliseconds.

        Returns:
            Names of workers, one for each task; empty if the unit has to
            wait.
        """
        shared = self.unassigned(pool)
        if closed_workers.runs_alone(unit):
            idle = {
                name: view
                for name, view in pool.items()
                if self.units.get(name, unit) is unit
                and self.closed.may_be_closed(name)
                and not self.workers[name].runs
            }
            # Workers that it has are kept: to choose anew in each pass would
            # take those that others are about to use.
            own = {k: v for k, v in idle.items() if k in self.units}
            chosen = placement.place(
                demand, own, score=score
            ) or placement.place(demand, idle, score=score)
            if chosen:
                self.assign(unit, chosen, now_ms)
                return chosen
            if self.hold(unit, demand, shared, now_ms):
                return []
        planned = {k: shared[k] for k in unit.crashes.start_on if k in shared}
        chosen = placement.place(demand, planned, score=score)
        if len(chosen) < demand.tasks:
            demand.avoid = set(demand.avoid) | self.hosts_of_suspects()
            chosen = placement.place(demand, shared, score=score)
        self.hosts_of_suspects().update(chosen)
        return chosen

    def place_suspects(self, demand, pool, score):
        """Chooses workers for suspects of one step.

        As far as possible each gets a worker on which no other suspect runs.

        Args:
            demand: ``Demand`` of the suspects.
            pool: Views by name, as returned by ``pool_for``.
            score: Placement policy.

        Returns:
            Names of workers, one for each suspect that is placed.
        """
        shared = self.unassigned(pool)
        hosts = self.hosts_of_suspects()
        unsuspected = {
            name: view
            for name, view in shared.items()
            if name not in hosts and demand.max_tasks_on(view)
        }
        one_each = msgspec.structs.replace(
            demand, per_host=1, running_per_worker={}
        )
        chosen = placement.place(one_each, unsuspected, score=score)
        hosts.update(chosen)
        left = demand.tasks - len(chosen)
        if left:
            running = collections.Counter(demand.running_per_worker)
            running.update(chosen)
            others = msgspec.structs.replace(
                demand,
                tasks=left,
                running_per_worker=running,
                avoid=set(demand.avoid) | hosts,
            )
            more = placement.place(others, shared, score=score)
            hosts.update(more)
            chosen = chosen + more
        return chosen

    def assign(self, unit, names, now_ms):
        """Assigns workers to a unit, and gives back its others."""
        for name in [k for k, v in self.units.items() if v is unit]:
            if name not in names:
                self.closed.open(name, now_ms)
        for name in names:
            self.closed.close(name, unit, now_ms)

    def hold(self, unit, demand, shared, now_ms):
        """Assigns workers that will soon be idle to a unit.

        Args:
            unit: Task, or step of a gang.
            demand: ``Demand`` of the unit.
            shared: Views of the usable workers that are not assigned.
            now_ms: Monotonic time in milliseconds.

        Returns:
            Whether the unit has to wait for them; False if no workers can
            become idle for it.
        """
        held = [k for k, v in self.units.items() if v is unit]
        missing = demand.tasks - sum(
            self.tasks_when_idle(name, demand) for name in held
        )
        if missing <= 0:
            return True
        if unit in self.held_in_vain:
            return False
        soonest = []
        for name in shared:
            left_ms = self.idle_in_ms(self.workers[name], now_ms)
            count = self.tasks_when_idle(name, demand)
            if left_ms is not None and left_ms <= MAX_HOLD_MS and count:
                late = not self.closed.may_be_closed(name)
                soonest.append((late, left_ms, name, count))
        soonest.sort()
        chosen = list(held)
        for _, _, name, count in soonest:
            if missing <= 0:
                break
            chosen.append(name)
            missing -= count
        if missing > 0:
            return False
        share = closed_workers.MAX_CLOSED_SHARE
        most = max(1, int((len(shared) + len(held)) * share))
        if len(chosen) > most:
            return False
        pool = unit.job.rule.pool
        closed = sum(
            self.workers[name].report.pool == pool for name in self.units
        )
        if closed - len(held) + len(chosen) > most:
            return True
        if all(map(self.closed.may_be_closed, set(chosen) - set(held))):
            self.assign(unit, chosen, now_ms)
        return True

    def tasks_when_idle(self, name, demand):
        """Returns how many tasks a worker can hold once it is idle."""
        worker = self.workers.get(name)
        if worker is None:
            return 0
        view = worker.scheduling_view()
        view.cores_milli = worker.report.capacity.cores_milli
        view.memory_mb = worker.report.capacity.memory_mb
        view.accelerators = worker.report.capacity.accelerators
        return demand.max_tasks_on(view)

    def idle_in_ms(self, worker, now_ms):
        """Returns in how many ms a worker will be idle, None if never.

        Run attempts of unknown jobs are about to be stopped.
        """
        if any(
            run.task is not None and run.task.step.spec.lasting
            for run in worker.runs.values()
        ):
            return None
        ends = self.expected_ends(worker, now_ms)
        return max((left_ms for left_ms, _ in ends), default=0.0)


def is_waiting(unit):
    """Whether a unit is to be started."""
    return unit.needs_start and unit.job.active


def start_groups(step, tasks):
    """Splits tasks of a step into groups that are placed by themselves.

    Args:
        step: Step.
        tasks: Tasks that may be started.

    Returns:
        Pairs of a unit that was lost with a worker, or None, and its tasks;
        without the tasks that ``mere_suspects`` returns.
    """
    if step.spec.gang:
        return [(step if step.crashes is not None else None, tasks)]
    clear = [task for task in tasks if task.crashes is None]
    groups = [(None, clear)] if clear else []
    groups.extend(
        (task, [task])
        for task in tasks
        if task.crashes is not None and not task.crashes.needs_only_room
    )
    return groups


def mere_suspects(step, tasks):
    """Returns the tasks with losses that only wait for free capacity.

    After the loss of a worker they may be thousands.

    Args:
        step: Step.
        tasks: Tasks that may be started.
    """
    if step.spec.gang:
        return []
    return [
        task
        for task in tasks
        if task.crashes is not None and task.crashes.needs_only_room
    ]
