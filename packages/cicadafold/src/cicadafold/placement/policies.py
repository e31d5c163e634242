"""Placement policies, which choose one of the workers that a task fits on.

The configuration of a kind selects a policy by its registered name. A
policy receives the capacities of the candidate workers and the resources
of the task, and returns the index of the chosen worker.

References:
    A. Ghodsi et al.: Dominant Resource Fairness, NSDI 2011 (the
    dominant share of a task).
"""

__all__ = ["POLICIES", "choose", "policy"]

POLICIES = {}


def policy(name):
    """Returns a decorator that registers a placement policy.

    Args:
        name: Name by which a kind's configuration selects the policy.
    """

    def register(function):
        POLICIES[name] = function
        return function

    return register


@policy("first_fit")
def first_fit(capacities, resources):
    """Chooses the first worker."""
    return 0


@policy("least_loaded")
def least_loaded(capacities, resources):
    """Chooses the worker with the most free slots, then most free cores."""
    indexes = range(len(capacities))
    return max(
        indexes,
        key=lambda i: (capacities[i].free_slots, capacities[i].free_cores),
    )


@policy("best_fit")
def best_fit(capacities, resources):
    """Chooses the worker whose largest remaining free share is smallest."""
    indexes = range(len(capacities))
    return min(
        indexes,
        key=lambda i: largest_remaining_share(capacities[i], resources),
    )


@policy("shape_match")
def shape_match(capacities, resources):
    """Chooses the worker whose remaining free shares are most balanced.

    The squared deviation of the remaining shares from their mean is
    minimized, so that no resource stays unused because another one is
    exhausted.
    """
    indexes = range(len(capacities))
    return min(indexes, key=lambda i: imbalance(capacities[i], resources))


def largest_remaining_share(capacity, resources):
    """Returns the largest share that is free after placing a task."""
    return max(remaining_shares(capacity, resources))


def imbalance(capacity, resources):
    """Returns how unevenly capacity is free after placing a task.

    Returns:
        The sum of squared deviations of the free shares from their mean,
        then the mean, which decides between equal sums.
    """
    remaining = remaining_shares(capacity, resources)
    mean = sum(remaining) / len(remaining)
    spread = sum((share - mean) ** 2 for share in remaining)
    return (spread, mean)


def remaining_shares(capacity, resources):
    """Returns the free shares of cores, memory and slots after placing."""
    return (
        (capacity.free_cores - resources.cores) / capacity.cores,
        (capacity.free_memory_mb - resources.memory_mb) / capacity.memory_mb,
        (capacity.free_slots - 1) / capacity.slots,
    )


def choose(name, candidates, resources):
    """Returns the candidate that a policy chooses for a task.

    Args:
        name: Name of a registered policy.
        candidates: Workers that the task fits on, as objects with a
            ``capacity``.
        resources: Resources that the task needs.

    Returns:
        One of the candidates, or None if there are none.
    """
    if not candidates:
        return None
    capacities = [candidate.capacity for candidate in candidates]
    return candidates[POLICIES[name](capacities, resources)]
