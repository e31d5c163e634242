"""Chooses workers for the tasks of a step."""

__all__ = ["POLICIES", "place", "policy"]

POLICIES = {}


def policy(name):
    """Registers a function that rates a worker for a demand.

    The function takes a worker and a demand; lower rates are used first.
    """

    def register(function):
        POLICIES[name] = function
        return function

    return register


@policy("best-fit")
def best_fit(worker, demand):
    """Leaves the largest free rooms whole, for wide and large tasks."""
    return worker.cores_milli - demand.need.cores_milli


@policy("least-loaded")
def least_loaded(worker, demand):
    """Uses the largest free room first."""
    return -worker.cores_milli


@policy("fast-first")
def fast_first(worker, demand):
    """Uses fast workers first, and among them the fullest."""
    return (-round(worker.speed, 1), best_fit(worker, demand))


def place(demand, workers, *, score):
    """Chooses a worker for each task, as far as there is room.

    Args:
        demand: Tasks to place.
        hosts: Workers by name; their free room is taken.
        rate: Function that rates a worker; see ``policy``.

    Returns:
        Names of workers, one for each task placed. A gang is placed whole
        or not at all.
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
    """Returns the order of a worker: avoided last, data rack first."""
    far = bool(demand.data_rack) and worker.rack != demand.data_rack
    return (worker.id in demand.avoid, far, score(worker, demand), worker.id)


def place_in_order(demand, fitting):
    """Fills the workers in their order."""
    chosen = []
    for _, worker, count in fitting:
        count = min(count, demand.tasks - len(chosen))
        worker.reserve(demand.need, count)
        chosen.extend([worker.id] * count)
        if len(chosen) == demand.tasks:
            break
    return chosen


def place_gang(demand, fitting):
    """Places all tasks or none, within one rack if that is asked for."""
    if demand.one_rack:
        racks = {}
        for item in fitting:
            racks.setdefault(item[1].rack, []).append(item)
        for members in racks.values():
            if total_tasks(members) >= demand.tasks:
                return place_in_order(demand, members)
    if total_tasks(fitting) < demand.tasks:
        return []
    return place_in_order(demand, fitting)


def total_tasks(fitting):
    """Returns how many tasks a list of workers can take."""
    return sum(count for _, _, count in fitting)
