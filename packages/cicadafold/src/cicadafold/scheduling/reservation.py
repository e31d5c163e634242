"""Reserves workers for a gang that does not fit yet.

A gang needs all its capacity at the same time. Without reservations, a stream
of small tasks takes all capacity that becomes free, and the gang never
starts. The workers on which the gang would fit earliest are reserved for it;
tasks that are expected to end before that time may still use them (backfill).
"""

import msgspec

from cicadafold.scheduling import views

__all__ = ["FutureCapacity", "Reservation", "reserve"]


class FutureCapacity(msgspec.Struct):
    """Free capacity of a worker, now and when its run attempts end.

    Attributes:
        host: Worker with its free capacity now.
        ends: Pairs for the run attempts on the worker: expected milliseconds
            until the end, and the resources that it releases.
    """

    host: views.WorkerView
    ends: list


class Reservation(msgspec.Struct, frozen=True):
    """Workers that are reserved for a gang.

    Attributes:
        fits_in_ms: Expected milliseconds until the whole gang fits.
        hosts: Names of the workers.
    """

    fits_in_ms: float
    hosts: frozenset


def reserve(demand, futures):
    """Chooses the workers on which a gang would fit earliest.

    Args:
        demand: Demand of the gang.
        futures: ``FutureCapacity`` of each worker that the gang may use.

    Returns:
        The reservation, or None if the gang does not fit even when all run
        attempts that are listed have ended.
    """
    gains = []
    for future in futures:
        gains.extend(capacity_gains(demand, future))
    gains.sort(key=lambda gain: gain[0])
    missing = demand.tasks
    chosen = set()
    for in_ms, name, count in gains:
        chosen.add(name)
        missing -= count
        if missing <= 0:
            return Reservation(in_ms, frozenset(chosen))
    return None


def capacity_gains(demand, future):
    """Yields when a worker gains capacity for more tasks of a gang.

    Yields:
        Expected milliseconds from now, name of the worker, and how many more
        tasks of the gang fit from then on.
    """
    worker = msgspec.structs.replace(future.host)
    fitting_before = demand.max_tasks_on(worker)
    if fitting_before:
        yield 0.0, worker.id, fitting_before
    for in_ms, resources in sorted(future.ends, key=lambda end: end[0]):
        worker.release(resources)
        fitting = demand.max_tasks_on(worker)
        if fitting > fitting_before:
            yield in_ms, worker.id, fitting - fitting_before
            fitting_before = fitting
