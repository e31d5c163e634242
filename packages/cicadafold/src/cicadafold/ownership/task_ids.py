"""Identifiers of the tasks of a request."""

__all__ = ["index_of", "request_id_of", "task_id"]

INDEX_SEPARATOR = "~"


def task_id(request_id, index, count):
    """Returns the identifier of a task of a request.

    Args:
        request_id: Identifier of the request.
        index: Index of the task in its gang, from 0.
        count: Number of tasks of the request.

    Examples:
        >>> task_id("r1", 0, 1)
        'r1'
        >>> task_id("r1", 2, 4)
        'r1~2'
    """
    if count == 1:
        return request_id
    return f"{request_id}{INDEX_SEPARATOR}{index}"


def request_id_of(task_id):
    """Returns the identifier of the request that a task belongs to."""
    return task_id.partition(INDEX_SEPARATOR)[0]


def index_of(task_id):
    """Returns the index of a task in its gang."""
    return int(task_id.partition(INDEX_SEPARATOR)[2] or 0)
