"""Plans advice calls: for which steps, and about which workers.

The advice service answers on which workers a policy of the queue permits a
step, and grants a ticket for each of them.
"""

import math

from cicadafold.dispatch import advising
from cicadafold.jobs import model

__all__ = ["TicketPlanner"]

# Most workers that one advice call may name.
MAX_ADVISED = 100
# Fewest workers that a call asks about if there are that many.
MIN_ADVISED = 16
# A call asks about this many times the workers that a step needs.
ADVISED_FACTOR = 1.5
# Share of a worker's capacity that is assumed to be free for a step.
USABLE_SHARE = 0.6
# Share of the workers that a queue's policy is assumed to permit before its
# first answer, least share that is recorded for an answer, and weight of the
# newest answer in the moving average.
INITIAL_PERMITTED_SHARE = 0.4
MIN_PERMITTED_SHARE = 0.05
PERMITTED_LEARNING_RATE = 0.1
# A waiting gang requests new tickets when its tickets expire within this many
# times the duration of a call.
REFRESH_FACTOR = 1.3
# Pause of a gang that does not fit on all workers that it is permitted, even
# while they are idle. The service serves others meanwhile.
NOT_FITTING_PAUSE_MS = 5000.0


class TicketPlanner:
    """Decides which steps need tickets, and about which workers to ask.

    Args:
        workers: Workers by name.

    Attributes:
        permitted_shares: Moving average of the share of workers that the
            policy permits, by name of the queue.
    """

    def __init__(self, *, workers):
        self.workers = workers
        self.permitted_shares = {}

    def valid_tickets(self, step, now_ms):
        """Returns the valid tickets of a step by name of the worker."""
        return {
            worker: ticket
            for worker, (ticket, until_ms) in step.tickets.items()
            if now_ms < until_ms
        }

    def next_request(self, rank, step, tickets, pool, now_ms):
        """Returns the advice request that a step needs now.

        A step needs one if it has no valid tickets, or if it is a gang whose
        tickets expire soon or whose permitted workers are too few. If none of
        the usable workers is permitted any more, what is known about
        permissions is dropped, so that the next pass asks anew. A gang that
        cannot fit on the usable workers asks again after a pause, or when
        there are others.

        Args:
            rank: Rank of the step.
            step: Step.
            tickets: Valid tickets of the step by name of the worker.
            pool: Views of the usable workers by name.
            now_ms: Monotonic time in milliseconds.

        Returns:
            The request, or None if none is needed or one is under way.
        """
        if step.advice_pending:
            return None
        known = step.allowed_by_worker
        paused = now_ms < step.advice_paused_until_ms and known is not None
        if paused and pool.keys() <= known.keys():
            return None
        share = self.share_needed(step, tickets) if tickets else 0.0
        too_few = share > USABLE_SHARE
        expire_soon = tickets and self.tickets_expire_soon(
            step, tickets, now_ms
        )
        if tickets and not too_few and not expire_soon:
            return None
        if known is None:
            names = self.candidate_workers(step, pool, ())
        elif too_few:
            names = self.candidate_workers(step, pool, known)
            if not names:
                names = [x for x in pool if known.get(x, False)]
                if self.share_needed(step, names) > 1.0:
                    step.advice_paused_until_ms = now_ms + NOT_FITTING_PAUSE_MS
                    return None
                if tickets.keys() >= set(names) and not expire_soon:
                    return None
        else:
            names = [x for x in pool if known.get(x, False)]
            names.extend(x for x in pool if x not in known)
        names = names[:MAX_ADVISED]
        if not names:
            step.allowed_by_worker = None
            return None
        step.advice_paused_until_ms = 0.0
        advice = step.job.rule.advice
        cost_ms = advice.base_ms + advice.per_host_ms * len(names)
        return advising.AdviceRequest(rank, step, names, cost_ms)

    def tickets_expire_soon(self, step, tickets, now_ms):
        """Whether a gang's tickets may expire before new ones arrive."""
        if not step.spec.gang:
            return False
        advice = step.job.rule.advice
        call_ms = advice.base_ms + advice.per_host_ms * len(tickets)
        first_ms = min(step.tickets[name][1] for name in tickets)
        return first_ms - now_ms < call_ms * REFRESH_FACTOR

    def share_needed(self, step, names):
        """Returns the share of some workers that a gang needs.

        Args:
            step: Step.
            names: Names of the workers.

        Returns:
            Share of their capacity when idle, above 1 if the gang cannot fit
            on them; 0 for a step that is no gang.
        """
        if not step.spec.gang:
            return 0.0
        max_tasks = sum(
            self.max_tasks_when_idle(self.workers[name], step.spec)
            for name in names
            if name in self.workers
        )
        return step.spec.tasks / max_tasks if max_tasks else math.inf

    def max_tasks_when_idle(self, worker, spec):
        """Returns how many tasks of a step fit on a worker that is idle."""
        view = worker.scheduling_view()
        view.release(model.Resources(*worker.used))
        return min(view.max_tasks(spec.reserved_resources), spec.tasks)

    def candidate_workers(self, step, pool, known):
        """Returns the workers to ask about, those with most free cores first.

        There are enough of them that the permitted ones should hold the
        step, given the share that the queue's policy has permitted so far.

        Args:
            step: Step.
            pool: Views of the usable workers by name.
            known: Names of workers whose permission is known already.

        Returns:
            Names of the workers.
        """
        spec = step.spec
        fitting = [
            (-view.cores_milli, name)
            for name, view in pool.items()
            if (not spec.label or spec.label in view.labels)
            and name not in known
        ]
        counts = [
            self.max_tasks_when_idle(self.workers[name], spec)
            for _, name in fitting
        ]
        tasks_per_worker = max(1.0, USABLE_SHARE * max(counts, default=1))
        share = self.permitted_shares.get(
            step.job.rule.name, INITIAL_PERMITTED_SHARE
        )
        wanted = math.ceil(
            spec.tasks / tasks_per_worker / share * ADVISED_FACTOR
        )
        wanted = max(MIN_ADVISED, min(MAX_ADVISED, wanted))
        return [name for _, name in sorted(fitting)][:wanted]

    def record_permitted_share(self, step, asked, granted):
        """Records which share of the workers a queue's policy permits.

        Args:
            step: Step of a job in the queue.
            asked: Number of workers that were asked about.
            granted: Number of workers that are permitted.
        """
        queue = step.job.rule.name
        average = self.permitted_shares.get(queue, INITIAL_PERMITTED_SHARE)
        share = max(MIN_PERMITTED_SHARE, granted / max(1, asked))
        self.permitted_shares[queue] = average + PERMITTED_LEARNING_RATE * (
            share - average
        )
