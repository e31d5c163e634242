"""Tracks the stops of preempted run attempts, and bounds them."""

import collections
import math

__all__ = ["StopTracker"]

# Share of a pool's cores that may be in the course of being freed, and that
# may be freed within RATE_MS, separately for each reason. A single worker's
# cores may always be freed.
FREED_SHARE = 0.05
RATE_MS = 1000.0
# Time between two sums over the workers of a pool.
BOUND_PERIOD_MS = 2000.0
# Weight of the newest measurement in the moving averages of the time of a
# stop and of the wait of a stopped task.
LEARNING_RATE = 0.2
MIN_STOP_MS = 20.0
# After this time without a stop the averages are lowered to what is assumed
# at first: high ones permit no stop, and so would not be corrected.
RELEARN_MS = 20_000.0
INITIAL_WAIT_MS = 500.0


class StopTracker:
    """Run attempts that are being stopped for other steps.

    Args:
        workers: Workers by name.
        longest_stop_ms: Milliseconds within which a worker stops a task.
        metrics: Metrics in which freed capacity is counted.

    Attributes:
        stopping: Time of the stop and reason, by run attempt that is being
            stopped.
        freed: Triples of time, reason with pool, and thousandths of a core
            of the stops within ``RATE_MS``.
        recent: Their thousandths of a core by reason and pool.
        in_flight: Thousandths of a core that are being freed by reason and
            pool.
        stopped_tasks: Time of the end by stopped task that waits.
        stop_ms: Moving average of the time until a stopped run attempt is
            gone, in milliseconds.
        wait_ms: Moving average of the time for which a stopped task waits.
    """

    def __init__(self, *, workers, longest_stop_ms, metrics):
        self.workers = workers
        self.metrics = metrics
        self.stopping = {}
        self.freed = collections.deque()
        self.recent = collections.Counter()
        self.in_flight = collections.Counter()
        self.bounds = {}
        self.bounds_ms = -math.inf
        self.stopped_tasks = {}
        self.longest_stop_ms = longest_stop_ms
        self.learned_ms = 0.0
        self.stop_ms = longest_stop_ms / 2
        self.wait_ms = INITIAL_WAIT_MS

    def add(self, run, reason, now_ms):
        """Adds a run attempt that is to be stopped."""
        run.task.preempted = True
        self.stopping[run] = (now_ms, reason)
        key = (reason, run.worker.report.pool)
        room = run.room.cores_milli
        self.freed.append((now_ms, key, room))
        self.recent[key] += room
        self.in_flight[key] += room

    def withdraw(self, run):
        """Removes a run attempt that was not told to stop."""
        if run in self.stopping:
            self.remove(run)
            run.task.preempted = False

    def remove(self, run):
        """Removes a run attempt that is not being stopped any more."""
        _, reason = self.stopping.pop(run)
        key = (reason, run.worker.report.pool)
        self.in_flight[key] -= run.room.cores_milli

    def is_overdue(self, run, now_ms):
        """Whether a run attempt should have been stopped by now."""
        sent_ms, _ = self.stopping.get(run, (now_ms, None))
        return now_ms - sent_ms > self.longest_stop_ms

    def settle(self, now_ms):
        """Learns from stopped run attempts that are gone or run again."""
        for run, (sent_ms, reason) in list(self.stopping.items()):
            if run.worker.runs.get(run.key) is run:
                continue
            self.remove(run)
            if run.worker.silent_since_ms is not None:
                continue
            self.metrics.count(
                "preemption_freed_millicores",
                run.room.cores_milli,
                reason=reason,
            )
            took_ms = max(MIN_STOP_MS, now_ms - sent_ms)
            # A stop that was answered late says nothing of the usual time.
            took_ms = min(took_ms, self.longest_stop_ms)
            self.stop_ms += LEARNING_RATE * (took_ms - self.stop_ms)
            self.learned_ms = now_ms
            if run.task.needs_start:
                self.stopped_tasks[run.task] = now_ms
        for task, ended_ms in list(self.stopped_tasks.items()):
            if not task.needs_start or not task.job.active:
                del self.stopped_tasks[task]
                waited_ms = now_ms - ended_ms
                self.wait_ms += LEARNING_RATE * (waited_ms - self.wait_ms)

        if now_ms - self.learned_ms > RELEARN_MS:
            self.learned_ms = now_ms
            self.stop_ms = min(self.stop_ms, self.longest_stop_ms / 2)
            self.wait_ms = min(self.wait_ms, INITIAL_WAIT_MS)

    def expected_wait_ms(self, now_ms):
        """Returns how long a stopped task is expected to wait, in ms."""
        longest_ms = max(
            (now_ms - ended for ended in self.stopped_tasks.values()),
            default=0.0,
        )
        return max(self.wait_ms, longest_ms)

    def budget_milli(self, reason, pool, now_ms):
        """Returns how many thousandths of a core may be freed now.

        The bound keeps a burst of urgent steps from stopping much of a pool.
        Stops that are not answered count until their run attempt is gone.

        Args:
            reason: Reason of the stops.
            pool: Name of the pool.
            now_ms: Monotonic time in milliseconds.
        """
        while self.freed and now_ms - self.freed[0][0] > RATE_MS:
            _, key, room = self.freed.popleft()
            self.recent[key] -= room
        if now_ms - self.bounds_ms > BOUND_PERIOD_MS:
            self.bounds_ms = now_ms
            self.bounds = freed_bounds(self.workers.values())
        key = (reason, pool)
        used = max(self.recent[key], self.in_flight[key])
        return self.bounds.get(pool, 0) - used


def freed_bounds(workers):
    """Returns how many thousandths of a core may be freed, by pool."""
    total = collections.Counter()
    largest = collections.Counter()
    for worker in workers:
        pool = worker.report.pool
        cores = worker.report.capacity.cores_milli
        total[pool] += cores
        largest[pool] = max(largest[pool], cores)
    return {
        pool: max(FREED_SHARE * cores, largest[pool])
        for pool, cores in total.items()
    }
