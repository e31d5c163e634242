"""Plans calls for advice: for which steps, and about which workers."""

import math

from cicadafold.dispatch import advising
from cicadafold.jobs import model

__all__ = ["TicketPlanner"]

# Most workers that one call for advice may name.
MAX_ADVISED = 100
# Least number of workers asked about, and how many more than needed.
LEAST_ADVISED = 16
ADVISED_FACTOR = 1.5
# Share of a worker that is likely to be free for a step.
USABLE_SHARE = 0.6
# Share of workers that a policy permits: at first, at least, and the weight
# of the newest answer.
FIRST_PERMITTED = 0.4
LEAST_PERMITTED = 0.05
PERMITTED_RATE = 0.1
# New tickets for a waiting gang are asked for this early.
REFRESH_FACTOR = 1.3


class TicketPlanner:
    """Decides which steps need tickets, and whom to ask about.

    Args:
        workers: Workers by name.
    """

    def __init__(self, *, workers):
        self.workers = workers
        self.permitted = {}

    def valid(self, step, now_ms):
        """Returns the valid tickets of a step by worker."""
        return {
            worker: ticket
            for worker, (ticket, until_ms) in step.tickets.items()
            if now_ms < until_ms
        }

    def want(self, rank, step, tickets, pool, now_ms):
        """Returns a call if a step is, or soon is, without tickets.

        Args:
            rank: Rank of the step.
            step: Step.
            tickets: Its valid tickets.
            pool: Free room of the usable workers by name.
            now_ms: Monotonic time.

        Returns:
            The call for advice, or None.
        """
        if step.advice_pending:
            return None
        narrow = tickets and self.too_narrow(step, tickets)
        if tickets and not narrow:
            if not self.runs_out(step, tickets, now_ms):
                return None
        known = step.allowed_by_worker
        if known is None:
            names = self.likely_workers(step, pool, ())
        elif narrow:
            names = self.likely_workers(step, pool, known)
        else:
            names = [x for x in pool if known.get(x, False)]
            names.extend(x for x in pool if x not in known)
        names = names[:MAX_ADVISED]
        if not names:
            step.allowed_by_worker = None
            return None
        advice = step.job.rule.advice
        cost_ms = advice.base_ms + advice.per_host_ms * len(names)
        return advising.AdviceWanted(rank, step, names, cost_ms)

    def runs_out(self, step, tickets, now_ms):
        """Whether a gang's tickets end before new ones could come."""
        if not step.spec.gang:
            return False
        advice = step.job.rule.advice
        call_ms = advice.base_ms + advice.per_host_ms * len(tickets)
        first_ms = min(step.tickets[name][1] for name in tickets)
        return first_ms - now_ms < call_ms * REFRESH_FACTOR

    def too_narrow(self, step, tickets):
        """Whether a gang could not run on its permitted workers at all."""
        if not step.spec.gang:
            return False
        held = sum(
            self.whole_count(self.workers[name], step.spec)
            for name in tickets
            if name in self.workers
        )
        return held * USABLE_SHARE < step.spec.tasks

    def whole_count(self, worker, spec):
        """Returns how many tasks a worker holds when nothing else runs."""
        view = worker.view()
        view.give(model.Resources(*worker.used))
        return min(view.holds(spec.reserved_resources), spec.tasks)

    def likely_workers(self, step, pool, known):
        """Returns workers to ask about, those with most room first.

        Enough are named that the permitted ones will hold the step, by the
        share that the queue's policy has permitted so far.
        """
        spec = step.spec
        fitting = [
            (-host.cores_milli, name)
            for name, host in pool.items()
            if (not spec.label or spec.label in host.labels)
            and name not in known
        ]
        counts = [
            self.whole_count(self.workers[name], spec) for _, name in fitting
        ]
        each = max(1.0, USABLE_SHARE * max(counts, default=1))
        share = self.permitted.get(step.job.rule.name, FIRST_PERMITTED)
        wanted = math.ceil(spec.tasks / each / share * ADVISED_FACTOR)
        wanted = max(LEAST_ADVISED, min(MAX_ADVISED, wanted))
        return [name for _, name in sorted(fitting)][:wanted]

    def learn(self, step, asked, granted):
        """Takes the share of workers that a queue's policy permits."""
        queue = step.job.rule.name
        known = self.permitted.get(queue, FIRST_PERMITTED)
        found = max(LEAST_PERMITTED, granted / max(1, asked))
        self.permitted[queue] = known + PERMITTED_RATE * (found - known)
