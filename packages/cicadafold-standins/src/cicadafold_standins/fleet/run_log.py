"""Record of the starts and ends of run attempts on all workers of a cell."""

import collections

from cicadafold_standins.fleet import run_events

__all__ = ["RunLog"]


class RunLog:
    """Starts, ends and acknowledged ends, shared by the workers of a cell.

    Attributes:
        done: Names of tasks with a run attempt that ended as done.
        acknowledged: Names of tasks whose end as done the scheduler has
            acknowledged.
        failures: Number of failed run attempts by task.
        acknowledged_failures: Number of acknowledged failures by task.
        crashes: Number of workers that crashed under a task, by task.
        starts: Number of starts by task and the number of its crashes then.
        on_start: Function called with the name of each task that is started,
            or None.
        events: ``EventLog`` of the run.
    """

    def __init__(self):
        self.events = run_events.EventLog()
        self.done = set()
        self.acknowledged = set()
        self.failures = collections.Counter()
        self.acknowledged_failures = collections.Counter()
        self.crashes = collections.Counter()
        self.starts = collections.Counter()
        self.on_start = None

    def record_start(self, task):
        """Records that a run attempt of a task was started."""
        self.starts[task, self.crashes[task]] += 1
        if self.on_start is not None:
            self.on_start(task)

    def record_end(self, task, outcome):
        """Records how a run attempt of a task ended."""
        if outcome == "done":
            self.done.add(task)
        elif outcome == "failed":
            self.failures[task] += 1

    def record_acknowledgement(self, task, outcome):
        """Records that the scheduler acknowledged the end of a run attempt."""
        if outcome == "done":
            self.acknowledged.add(task)
        elif outcome == "failed":
            self.acknowledged_failures[task] += 1

    def record_crash(self, tasks):
        """Records that a worker crashed while it ran some tasks."""
        self.crashes.update(tasks)

    def starts_after_crashes(self, task, crashes):
        """Returns how often a task was started after a number of crashes."""
        return sum(
            count
            for (name, before), count in self.starts.items()
            if name == task and before >= crashes
        )
