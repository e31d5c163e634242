"""Withholds headroom for urgent steps from the views of the workers."""

import math

from cicadafold.scheduling import headroom

__all__ = ["UrgentHeadroom"]

# Time between two choices of the workers.
PERIOD_MS = 50.0
# A pool counts as full for this time after a patient step did not fit.
FULL_MS = 300.0


class UrgentHeadroom:
    """Headroom of each pool.

    Args:
        workers: Workers by name.

    Attributes:
        demand: ``UrgentDemand`` by pool.
        full_ms: Monotonic time in milliseconds at which a patient step last
            did not fit, by pool.
        held: Blocks that are withheld now: view and resources by name of
            the worker.
        chosen: Names of workers and resources of a block, by pool.
    """

    def __init__(self, *, workers):
        self.workers = workers
        self.demand = {}
        self.full_ms = {}
        self.held = {}
        self.chosen = {}
        self.chosen_ms = -math.inf

    def record_arrivals(self, ranked, now_ms):
        """Records the urgent steps that were found ready in this pass.

        Args:
            ranked: Triples of rank, step and tasks of the waiting steps.
            now_ms: Monotonic time of the pass in milliseconds.
        """
        for _, step, tasks in ranked:
            if step.job.rule.priority > 0:
                return
            if step.ready_ms == now_ms:
                demand = self.demand.setdefault(
                    step.job.rule.pool, headroom.UrgentDemand()
                )
                demand.record(step.spec.reserved_resources, len(tasks), now_ms)

    def record_full(self, pool, now_ms):
        """Records that a patient step did not fit into a pool."""
        self.full_ms[pool] = now_ms

    def begin_pass(self, pools, wait_ms, now_ms):
        """Withholds blocks from the views of the workers.

        Args:
            pools: Views of the usable workers by pool and name.
            wait_ms: Time in milliseconds until capacity can be freed.
            now_ms: Monotonic time in milliseconds.
        """
        if now_ms - self.chosen_ms >= PERIOD_MS:
            self.chosen_ms = now_ms
            self.chosen = {
                name: self.choose(name, pool, wait_ms, now_ms)
                for name, pool in pools.items()
            }
        self.held = {}
        for pool, (names, block) in self.chosen.items():
            for name in names:
                view = pools.get(pool, {}).get(name)
                if view is not None:
                    view.reserve(block)
                    self.held[name] = (view, block)

    def choose(self, pool, views, wait_ms, now_ms):
        """Returns workers of a pool, and the resources to withhold on each."""
        demand = self.demand.get(pool)
        if demand is None:
            return (), None
        needed_milli = demand.expected_milli(wait_ms, now_ms)
        if now_ms - self.full_ms.get(pool, -math.inf) > FULL_MS:
            return (), None
        capacity_milli = sum(
            self.workers[name].report.capacity.cores_milli for name in views
        )
        block = demand.block()
        names = headroom.choose_workers(
            views.values(), block, needed_milli, capacity_milli
        )
        return names, block

    def offer(self):
        """Offers the blocks to an urgent step."""
        for view, block in self.held.values():
            view.release(block)

    def withhold(self, used):
        """Withholds the blocks again, after an urgent step was served.

        Args:
            used: Names of workers whose blocks are used.
        """
        for name in used:
            self.held.pop(name, None)
        for view, block in self.held.values():
            view.reserve(block)
