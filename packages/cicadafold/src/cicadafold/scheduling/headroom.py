"""Capacity that patient steps leave free for urgent ones in a full pool.

Small tasks that fill every gap leave no block for an urgent task with many
cores, and a stop may take as long as such a task may wait. So blocks of the
size of recent urgent tasks are kept free, as many as urgent steps are
expected to need while further capacity is being freed.
"""

import collections

__all__ = ["UrgentDemand", "choose_workers"]

# Time over which urgent demand is averaged.
WINDOW_MS = 5000.0
# Most of a pool's cores that are kept free.
MAX_SHARE = 0.1


class UrgentDemand:
    """Recent demand of urgent steps in one pool.

    Attributes:
        arrivals: Pairs of monotonic time in milliseconds, and resources of
            one task with their number, of the steps within ``WINDOW_MS``.
        cores_milli: Thousandths of a core that they need together.
    """

    def __init__(self):
        self.arrivals = collections.deque()
        self.cores_milli = 0

    def record(self, need, tasks, now_ms):
        """Records the arrival of an urgent step.

        Args:
            need: Resources of one task.
            tasks: Number of its tasks.
            now_ms: Monotonic time in milliseconds.
        """
        self.arrivals.append((now_ms, need, tasks))
        self.cores_milli += need.cores_milli * tasks

    def expire(self, now_ms):
        """Forgets the arrivals before the window."""
        while self.arrivals and now_ms - self.arrivals[0][0] > WINDOW_MS:
            _, need, tasks = self.arrivals.popleft()
            self.cores_milli -= need.cores_milli * tasks

    def expected_milli(self, wait_ms, now_ms):
        """Returns the cores that arrive in a time, in thousandths.

        Args:
            wait_ms: Time in milliseconds in which nothing else is freed.
            now_ms: Monotonic time in milliseconds.
        """
        self.expire(now_ms)
        return self.cores_milli * min(1.0, wait_ms / WINDOW_MS)

    def block(self):
        """Returns the resources of the recent task with most cores, or None.

        Call ``expire`` first.
        """
        if not self.arrivals:
            return None
        return max(
            (need for _, need, _ in self.arrivals),
            key=lambda need: need.cores_milli,
        )


def choose_workers(views, block, needed_milli, capacity_milli):
    """Returns the names of workers on which a block is kept free.

    Those with most free cores are chosen, so that a worker which has freed
    a part of its block is kept until it is used.

    Args:
        views: Views of the usable workers, without what is held for steps.
        block: Resources of a block.
        needed_milli: Thousandths of a core that urgent steps are expected
            to need; at least one block is kept for them.
        capacity_milli: Thousandths of a core of the pool.
    """
    if block is None or not block.cores_milli or needed_milli <= 0:
        return []
    count = -(-int(needed_milli) // block.cores_milli)
    count = min(count, int(MAX_SHARE * capacity_milli) // block.cores_milli)
    ordered = sorted(views, key=lambda view: (-view.cores_milli, view.id))
    return [view.id for view in ordered[:count]]
