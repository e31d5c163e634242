"""One pass over the waiting steps in the order of their ranks."""

import collections

from cicadafold.telemetry import containment

__all__ = ["PlacementPass"]

# Advice requests that a pass prepares for each queue, those of the highest
# ranks. Each looks at every worker, and there are fewer calls under way.
MAX_REQUESTS_PER_QUEUE = 48

Part = containment.Part


class PlacementPass:
    """Places waiting steps, and collects what those that wait need.

    An error about one step leaves the others as they are: that step is
    logged, counted and left out for a while.

    Args:
        placer: ``Placer`` that makes the pass.
        preempting: ``Preempting`` of the term, or None.
        pools: Views of the usable workers by pool and name.
        now_ms: Monotonic time of the pass in milliseconds.

    Attributes:
        requests: Advice requests.
        prepared: Number of them by name of the queue.
        unplaced: Steps of gangs that did not fit.
    """

    def __init__(self, *, placer, preempting, pools, now_ms):
        self.placer = placer
        self.preempting = preempting
        self.pools = pools
        self.now_ms = now_ms
        self.requests = []
        self.prepared = collections.Counter()
        self.unplaced = []

    def attempt(self, rank, step, tasks):
        """Places tasks of a step as ``place``, and contains errors about it.

        Args:
            rank: Rank of the step.
            step: Step.
            tasks: Its waiting tasks.
        """
        contained = self.placer.containment
        try:
            self.place(rank, step, tasks)
        except Exception as error:
            contained.report(
                Part.PLACING,
                step.job.spec.id,
                error,
                **step.log_fields,
                pool=step.job.rule.pool,
            )
            if self.preempting is not None:
                self.preempting.abandon_step(step)
        else:
            contained.clear(Part.PLACING, step.job.spec.id)

    def place(self, rank, step, tasks):
        """Places tasks of a step, or notes what the step is waiting for.

        Args:
            rank: Rank of the step.
            step: Step.
            tasks: Its waiting tasks.
        """
        placer, now_ms = self.placer, self.now_ms
        tasks = placer.teams.limit(step, tasks)
        if not tasks:
            return
        pool = self.pools.get(step.job.rule.pool)
        pool = placer.isolation.pool_for(step, pool or {})
        if not pool:
            placer.on_waiting(step, tasks, None, now_ms)
            return
        tickets = None
        if step.job.rule.advice is not None:
            tickets = placer.ticket_planner.valid_tickets(step, now_ms)
            self.prepare_request(rank, step, tickets, pool)
            if not tickets:
                placer.on_waiting(step, tasks, None, now_ms)
                return
        if self.preempting is not None:
            self.preempting.before_step(step)
        placed = placer.place_step(step, tasks, pool, tickets, now_ms)
        if self.preempting is not None:
            self.preempting.after_step(step, tasks, placed)
        placer.shares.on_attempted(step, tasks, placer.waiting_step, now_ms)
        placer.on_waiting(step, tasks, tickets, now_ms)
        if not placed and step.spec.gang:
            self.unplaced.append(step)

    def prepare_request(self, rank, step, tickets, pool):
        """Prepares the advice request that a step needs, if any.

        Args:
            rank: Rank of the step.
            step: Step.
            tickets: Valid tickets of the step by name of the worker.
            pool: Views of the usable workers by name.
        """
        queue = step.job.rule.name
        if self.prepared[queue] >= MAX_REQUESTS_PER_QUEUE:
            return
        request = self.placer.ticket_planner.next_request(
            rank, step, tickets, pool, self.now_ms
        )
        if request is not None:
            self.prepared[queue] += 1
            self.requests.append(request)

    def end(self):
        """Plans preemptions and reservations, and sends advice requests."""
        placer = self.placer
        unplaced = self.unplaced
        if self.preempting is not None:
            with placer.containment.contain(Part.PREEMPTING):
                self.preempting.plan(self.now_ms)
                unplaced = self.preempting.gangs_to_reserve(unplaced)
        placer.reservations.renew(unplaced, self.pools, self.now_ms)
        if placer.advice_dispatcher is not None:
            placer.advice_dispatcher.replace_queue(self.requests)
