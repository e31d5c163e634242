"""What has become of the runs of all workers of a cell."""

import collections

__all__ = ["RunLog"]


class RunLog:
    """Shared by the workers of a cell.

    Attributes:
        done: Tasks that have ended as done.
        noted: Tasks whose done ends were acknowledged.
        failures: How often each task has failed.
        noted_failures: How often a failure of each task was acknowledged.
        on_start: Function called with each task that is started, or None.
    """

    def __init__(self):
        self.done = set()
        self.noted = set()
        self.failures = collections.Counter()
        self.noted_failures = collections.Counter()
        self.on_start = None

    def start(self, task):
        """Notes a start."""
        if self.on_start is not None:
            self.on_start(task)

    def end(self, task, how):
        """Notes an end."""
        if how == "done":
            self.done.add(task)
        elif how == "failed":
            self.failures[task] += 1

    def note(self, task, how):
        """Notes that an end was acknowledged."""
        if how == "done":
            self.noted.add(task)
        elif how == "failed":
            self.noted_failures[task] += 1
