"""What the payload of a task says about it, for the stand-in worker."""

__all__ = ["cores_milli_of", "failures_of", "is_deadly", "work_ms_of"]

DEFAULT_CORES_MILLI = 1000


def cores_milli_of(payload):
    """Returns the cores named in a payload, in thousandths.

    Payloads that name none count as one core.
    """
    cores = payload.partition(" ")[0]
    return int(cores) if cores.isdigit() else DEFAULT_CORES_MILLI


def failures_of(payload):
    """Returns how many run attempts of a task fail before one is done.

    Examples:
        >>> failures_of("2000 fails 1")
        1
    """
    times = payload.partition(" fails ")[2]
    return int(times) if times else 0


def work_ms_of(payload):
    """Returns the duration named in a payload in milliseconds, 0 for none.

    Examples:
        >>> work_ms_of("2000 lasts 9000 fails 1")
        9000
    """
    named = payload.partition(" lasts ")[2].partition(" ")[0]
    return int(named) if named.isdigit() else 0


def is_deadly(task, payload):
    """Whether a task crashes the workers that start it.

    Examples:
        >>> is_deadly("ab.0.0.1", "2000 crashes 1")
        True
    """
    index = payload.partition(" crashes ")[2]
    return bool(index) and task.rpartition(".")[2] == index
