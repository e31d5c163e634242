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
def best_fit(host, demand):
    """Leaves the largest free rooms whole, for wide and large tasks."""
    return host.cores_milli - demand.need.cores_milli


@policy("least-loaded")
def least_loaded(host, demand):
    """Uses the largest free room first."""
    return -host.cores_milli


@policy("fast-first")
def fast_first(host, demand):
    """Uses fast workers first, and among them the fullest."""
    return (-round(host.speed, 1), best_fit(host, demand))


def place(demand, hosts, *, rate):
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
    for host in hosts.values():
        count = demand.fitting(host)
        if count:
            fitting.append((order(host, demand, rate), host, count))
    fitting.sort(key=lambda item: item[0])
    if demand.gang:
        return place_gang(demand, fitting)
    return fill(demand, fitting)


def order(host, demand, rate):
    """Returns the order of a worker: avoided last, data rack first."""
    far = bool(demand.data_rack) and host.rack != demand.data_rack
    return (host.id in demand.avoid, far, rate(host, demand), host.id)


def fill(demand, fitting):
    """Fills the workers in their order."""
    chosen = []
    for _, host, count in fitting:
        count = min(count, demand.tasks - len(chosen))
        host.take(demand.need, count)
        chosen.extend([host.id] * count)
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
            if total(members) >= demand.tasks:
                return fill(demand, members)
    if total(fitting) < demand.tasks:
        return []
    return fill(demand, fitting)


def total(fitting):
    """Returns how many tasks a list of workers can take."""
    return sum(count for _, _, count in fitting)
