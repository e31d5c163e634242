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


def is_deadly(task, payload):
    """Whether a task crashes the workers that start it.

    Examples:
        >>> is_deadly("ab.0.0.1", "2000 crashes 1")
        True
    """
    index = payload.partition(" crashes ")[2]
    return bool(index) and task.rpartition(".")[2] == index


def work_ms_of(payload, default_ms):
    """Returns the duration of a task that its payload names, in milliseconds.

    Args:
        payload: Payload of the task.
        default_ms: Duration of tasks whose payload names none.

    Examples:
        >>> work_ms_of("2000 works 300 fails 1", 100.0)
        300.0
        >>> work_ms_of("2000", 100.0)
        100.0
    """
    words = payload.split()
    if "works" not in words:
        return default_ms
    return float(words[words.index("works") + 1])
