"""Names of the tasks of a request."""

__all__ = ["index_of", "request_id_of", "task_id"]

INDEX_SEPARATOR = "~"


def task_id(request_id, index, count):
    """Returns the id of a task of a request.

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
    """Returns the request of a task."""
    return task_id.partition(INDEX_SEPARATOR)[0]


def index_of(task_id):
    """Returns the index of a task in its gang."""
    return int(task_id.partition(INDEX_SEPARATOR)[2] or 0)
