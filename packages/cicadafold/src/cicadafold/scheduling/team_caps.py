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
    "missing_for_gang",
    "tasks_within_cap",
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
    count = tasks
    oversized = False
    for taken, size, limit in zip(used, amounts(need), amounts(cap)):
        if not limit or not size:
            continue
        count = min(count, max(0, (limit - taken) // size))
        oversized = oversized or size > limit
    if oversized:
        return 0 if any(used) else min(1, tasks)
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
    return tuple(
        max(0, taken + size * tasks - limit) if limit and size else 0
        for taken, size, limit in zip(
            used, amounts(need), amounts(gang_limit(cap, overage))
        )
    )


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
