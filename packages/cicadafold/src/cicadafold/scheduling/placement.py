"""Placement: chooses workers for the tasks of a step."""

__all__ = ["POLICIES", "place", "policy"]

POLICIES = {}


def policy(name):
    """Registers a placement policy under a name.

    A policy is a function of a ``WorkerView`` and a ``Demand`` that returns a
    sortable score; workers with lower scores are used first.
    """

    def register(function):
        POLICIES[name] = function
        return function

    return register


@policy("best-fit")
def best_fit(worker, demand):
    """Prefers workers with the least free cores.

    This keeps the largest blocks of free capacity unbroken, for gangs and
    for tasks that need many cores.
    """
    return worker.cores_milli - demand.need.cores_milli


@policy("least-loaded")
def least_loaded(worker, demand):
    """Prefers workers with the most free cores."""
    return -worker.cores_milli


@policy("fast-first")
def fast_first(worker, demand):
    """Prefers fast workers, and among equally fast ones the best fit."""
    return (-round(worker.speed, 1), best_fit(worker, demand))


def place(demand, workers, *, score):
    """Chooses a worker for each task, as far as the free capacity allows.

    Args:
        demand: Tasks to place.
        workers: Views of the workers by name; the capacity of the placed
            tasks is reserved in them.
        score: Placement policy; see ``policy``.

    Returns:
        Names of workers, one for each placed task. Either all tasks of a
        gang are placed or none.
    """
    fitting = []
    for worker in workers.values():
        count = demand.max_tasks_on(worker)
        if count:
            fitting.append((sort_key(worker, demand, score), worker, count))
    fitting.sort(key=lambda item: item[0])
    if demand.gang:
        return place_gang(demand, fitting)
    return place_in_order(demand, fitting)


def sort_key(worker, demand, score):
    """Returns the sort key of a worker.

    Workers to avoid come last, then workers in the rack of the task's data
    come first, then the policy's score and the name decide.
    """
    outside_data_rack = (
        bool(demand.data_rack) and worker.rack != demand.data_rack
    )
    return (
        worker.id in demand.avoid,
        outside_data_rack,
        score(worker, demand),
        worker.id,
    )


def place_in_order(demand, fitting):
    """Places tasks on the workers in the given order until all are placed.

    Args:
        demand: Tasks to place.
        fitting: Triples of sort key, worker and the number of tasks that fit
            on the worker.

    Returns:
        Names of workers, one for each placed task.
    """
    chosen = []
    for _, worker, count in fitting:
        count = min(count, demand.tasks - len(chosen))
        worker.reserve(demand.need, count)
        chosen.extend([worker.id] * count)
        if len(chosen) == demand.tasks:
            break
    return chosen


def place_gang(demand, fitting):
    """Places all tasks of a gang or none.

    If the gang should stay within one rack, the first rack that can hold it
    is used, and several racks only if none can.
    """
    if demand.one_rack:
        racks = {}
        for item in fitting:
            racks.setdefault(item[1].rack, []).append(item)
        for rack_workers in racks.values():
            if total_tasks(rack_workers) >= demand.tasks:
                return place_in_order(demand, rack_workers)
    if total_tasks(fitting) < demand.tasks:
        return []
    return place_in_order(demand, fitting)


def total_tasks(fitting):
    """Returns how many tasks fit on the workers in total."""
    return sum(count for _, _, count in fitting)
