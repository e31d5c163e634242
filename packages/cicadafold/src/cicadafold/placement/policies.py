"""Placement policies, each chosen by name in the kind's configuration.

A policy gets the capacities on which the task fits and returns the index
of one of them.

References:
    A. Ghodsi et al.: Dominant Resource Fairness, NSDI 2011 (the dominant
    share of a task).
"""

__all__ = ["POLICIES", "choose", "policy"]

POLICIES = {}


def policy(name):
    """Registers a placement policy under a name."""

    def register(function):
        POLICIES[name] = function
        return function

    return register


@policy("first_fit")
def first_fit(capacities, resources):
    """Takes the first worker."""
    return 0


@policy("least_loaded")
def least_loaded(capacities, resources):
    """Takes the worker with the most free slots, then cores."""
    indexes = range(len(capacities))
    return max(
        indexes,
        key=lambda i: (capacities[i].free_slots, capacities[i].free_cores),
    )


@policy("best_fit")
def best_fit(capacities, resources):
    """Takes the worker that is left with the least dominant share free."""
    indexes = range(len(capacities))
    return min(
        indexes,
        key=lambda i: largest_remaining_share(capacities[i], resources),
    )


@policy("shape_match")
def shape_match(capacities, resources):
    """Takes the worker whose free shape is most like the task's.

    The measure is the squared difference between the free shares that are
    left, so that no resource is stranded when another is used up.
    """
    indexes = range(len(capacities))
    return min(indexes, key=lambda i: imbalance(capacities[i], resources))


def largest_remaining_share(capacity, resources):
    """Largest free share that is left after placing a task."""
    return max(remaining_shares(capacity, resources))


def imbalance(capacity, resources):
    """Squared differences between the free shares that are left."""
    remaining = remaining_shares(capacity, resources)
    mean = sum(remaining) / len(remaining)
    spread = sum((share - mean) ** 2 for share in remaining)
    return (spread, mean)


def remaining_shares(capacity, resources):
    """Free shares of cores, memory and slots after placing a task."""
    return (
        (capacity.free_cores - resources.cores) / capacity.cores,
        (capacity.free_memory_mb - resources.memory_mb) / capacity.memory_mb,
        (capacity.free_slots - 1) / capacity.slots,
    )


def choose(name, candidates, resources):
    """Chooses among candidates that have a ``capacity``.

    Args:
        name: Name of a registered policy.
        candidates: Objects on whose capacity the task fits.
        size: Size of the task.

    Returns:
        One of the candidates, or None if there is none.
    """
    if not candidates:
        return None
    capacities = [candidate.capacity for candidate in candidates]
    return candidates[POLICIES[name](capacities, resources)]
