"""How many tasks of a step a team may start under its cap.

Load addressed: teams that together want more than the cell has. The cap keeps
one team from taking what the others need.

A cap has an amount for each resource; 0 means no limit. Amounts in use are
sequences of thousandths of a core, megabytes and accelerators.
"""

from cicadafold.jobs import resources

__all__ = [
    "NO_CAP",
    "amounts",
    "gang_ever_fits",
    "gang_limit",
    "gang_within_cap",
    "limits_of",
    "missing_for_gang",
    "missing_within_limits",
    "tasks_within_cap",
    "tasks_within_limits",
    "waves",
]

NO_CAP = resources.Resources()


def amounts(found):
    """Returns the amounts of ``Resources`` as a tuple."""
    return found.cores_milli, found.memory_mb, found.accelerators


def tasks_within_cap(*, used, need, cap, tasks):
    """Returns how many single tasks may start.

    A task that is larger than the whole cap may run while the team uses
    nothing else; otherwise its job would wait forever.

    Args:
        used: Amounts that count against the team.
        need: ``Resources`` that one task is charged with.
        cap: ``Resources`` of the cap.
        tasks: Number of waiting tasks.

    Examples:
        >>> two_cores = resources.Resources(2000)
        >>> ten_cores = resources.Resources(10_000)
        >>> tasks_within_cap(
        ...     used=(5000, 0, 0), need=two_cores, cap=ten_cores, tasks=9
        ... )
        2
    """
    return tasks_within_limits(used, amounts(need), limits_of(cap), tasks)


def limits_of(cap):
    """Returns the limited resources of a cap: pairs of index and amount."""
    return tuple(
        (index, limit) for index, limit in enumerate(amounts(cap)) if limit
    )


def tasks_within_limits(used, need, limits, tasks):
    """Returns how many single tasks may start, as ``tasks_within_cap``.

    Args:
        used: Amounts that count against the team.
        need: Amounts that one task is charged with.
        limits: Result of ``limits_of`` for the cap.
        tasks: Number of waiting tasks.
    """
    count = tasks
    for index, limit in limits:
        size = need[index]
        if size > limit:
            return 0 if any(used) else min(1, tasks)
        if size:
            fitting = (limit - used[index]) // size
            if fitting < count:
                count = max(0, fitting)
    return count


def gang_limit(cap, overage):
    """Returns what a team may use in total once a gang has started.

    A gang starts whole, so it may exceed the cap by the permitted overage.
    Single tasks stay within the cap itself, which leaves the overage to
    gangs that are slightly wider than the cap.

    Args:
        cap: ``Resources`` of the cap.
        overage: Permitted overage as a share of the cap.

    Examples:
        >>> gang_limit(resources.Resources(10_000), 0.1)
        Resources(cores_milli=11000, memory_mb=0, accelerators=0)
    """
    # The small addend offsets the rounding error of the product.
    return resources.Resources(
        *(int(limit * (1 + overage) + 1e-6) for limit in amounts(cap))
    )


def missing_for_gang(*, used, need, cap, tasks, overage):
    """Returns the amounts that a team has to release before a gang starts.

    The arguments are those of ``gang_within_cap``.

    Returns:
        Amounts, 0 where nothing is missing.
    """
    limits = limits_of(gang_limit(cap, overage))
    return missing_within_limits(used, amounts(need), limits, tasks)


def missing_within_limits(used, need, limits, tasks):
    """Returns what is missing for a gang, as ``missing_for_gang``.

    Args:
        used: Amounts that count against the team.
        need: Amounts that one task is charged with.
        limits: Result of ``limits_of`` for the limit of gangs.
        tasks: Number of tasks of the gang.
    """
    missing = [0, 0, 0]
    for index, limit in limits:
        if need[index]:
            wanted = used[index] + need[index] * tasks
            missing[index] = max(0, wanted - limit)
    return tuple(missing)


def gang_within_cap(*, used, need, cap, tasks, overage):
    """Whether a gang may start; all its tasks count at the same time.

    Args:
        used: Amounts that count against the team.
        need: ``Resources`` that one task is charged with.
        cap: ``Resources`` of the cap.
        tasks: Number of tasks of the gang.
        overage: Permitted overage as a share of the cap.
    """
    return not any(
        missing_for_gang(
            used=used, need=need, cap=cap, tasks=tasks, overage=overage
        )
    )


def gang_ever_fits(*, need, cap, tasks, overage):
    """Whether a gang may start while its team uses nothing else.

    The arguments are those of ``gang_within_cap``.
    """
    return gang_within_cap(
        used=(0, 0, 0), need=need, cap=cap, tasks=tasks, overage=overage
    )


def waves(step, cap):
    """Returns in how many waves a step runs that is wider than the cap.

    Args:
        step: ``StepSpec``.
        cap: ``Resources`` of the cap.
    """
    if step.gang or cap == NO_CAP:
        return 1
    at_once = tasks_within_cap(
        used=(0, 0, 0), need=step.need, cap=cap, tasks=step.tasks
    )
    return -(-step.tasks // max(1, at_once))
