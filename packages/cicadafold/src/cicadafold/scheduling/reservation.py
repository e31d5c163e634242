"""Keeps workers free for a wide gang that does not fit yet.

Answers the load in which many small tasks take every room that becomes
free, so that a gang, which needs its room at once, never starts. The
workers on which the gang would fit first are kept for it; tasks that end
before that time may still use them.
"""

import msgspec

from cicadafold.scheduling import views

__all__ = ["FutureCapacity", "Reservation", "reserve"]


class FutureCapacity(msgspec.Struct):
    """A worker's free room, and what becomes free when.

    Attributes:
        host: Its free room now.
        ends: Expected milliseconds until each run ends, with its room.
    """

    host: views.WorkerView
    ends: list


class Reservation(msgspec.Struct, frozen=True):
    """Workers that are kept for a gang.

    Attributes:
        in_ms: Expected milliseconds until all of it fits.
        hosts: Names of the workers.
    """

    fits_in_ms: float
    hosts: frozenset


def reserve(demand, futures):
    """Chooses the workers on which a gang would fit first.

    Args:
        demand: The gang.
        futures: Workers that it may use.

    Returns:
        The reservation, or None if it fits on no choice of them.
    """
    steps = []
    for future in futures:
        steps.extend(capacity_gains(demand, future))
    steps.sort(key=lambda step: step[0])
    missing = demand.tasks
    chosen = set()
    for in_ms, name, count in steps:
        chosen.add(name)
        missing -= count
        if missing <= 0:
            return Reservation(in_ms, frozenset(chosen))
    return None


def capacity_gains(demand, future):
    """Yields when a worker can hold how many more tasks of a gang."""
    worker = msgspec.structs.replace(future.host)
    held = demand.max_tasks_on(worker)
    if held:
        yield 0.0, worker.id, held
    for in_ms, resources in sorted(future.ends, key=lambda end: end[0]):
        worker.release(resources)
        fitting = demand.max_tasks_on(worker)
        if fitting > held:
            yield in_ms, worker.id, fitting - held
            held = fitting
