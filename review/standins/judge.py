"""What the workers of a cell have seen: starts, ends and noted ends."""

import collections
import time


class Judge:
    """Record of all runs, from which a case checks its rule.

    Args:
        quiet: Whether single starts and ends are left out of the record.

    Attributes:
        record: Function that writes a line about an event.
        starts: Tuples of monotonic time, task, attempt and worker.
        running: Runs at work by task.
        done: Monotonic time and attempt of the first end as done by task.
        noted: Pairs of task and attempt whose end as done was acknowledged.
        double: Starts of a task while another run of it was at work.
        again: Tuples of task, attempt that had ended as done, and attempt
            that was started afterwards.
        ends: Number of ends by kind.
        failures: Number of ends as failed by job.
        on_start_checks: Functions that are called with each worker and run
            that is started.
    """

    def __init__(self, *, record, quiet=False):
        self.record = record
        self.quiet = quiet
        self.starts = []
        self.running = collections.defaultdict(list)
        self.done = {}
        self.noted = set()
        self.double = []
        self.again = []
        self.ends = collections.Counter()
        self.failures = collections.Counter()
        self.on_start_checks = []

    def on_start(self, worker, run):
        """Records a start."""
        now = time.monotonic()
        self.starts.append((now, run.task, run.attempt, worker))
        fields = {
            "task": run.task,
            "attempt": run.attempt,
            "worker": worker.name,
        }
        if self.running[run.task]:
            self.double.append(run.task)
            self.record("SECOND RUN AT THE SAME TIME", **fields)
        if run.task in self.done:
            at, attempt = self.done[run.task]
            self.again.append((run.task, attempt, run.attempt))
            ago_ms = round((now - at) * 1000)
            self.record("START AFTER DONE", done_ago_ms=ago_ms, **fields)
        for check in self.on_start_checks:
            check(worker, run)
        self.running[run.task].append(run)
        if not self.quiet:
            self.record("start", **fields)

    def on_end(self, worker, run, how):
        """Records an end."""
        self.running[run.task] = [
            each for each in self.running[run.task] if each is not run
        ]
        self.ends[how] += 1
        if how == "done":
            self.done.setdefault(run.task, (time.monotonic(), run.attempt))
        if how == "failed":
            self.failures[run.task.partition(".")[0]] += 1
        if not self.quiet:
            self.record(
                "end",
                task=run.task,
                attempt=run.attempt,
                worker=worker.name,
                how=how,
            )

    def on_noted(self, worker, row):
        """Records that an end was acknowledged."""
        if row[3] == "done":
            self.noted.add((row[1], row[2]))
