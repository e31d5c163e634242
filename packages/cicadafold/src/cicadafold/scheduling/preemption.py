"""Chooses which run attempts to stop for a step that cannot be placed.

In overload, patient work with much slack holds the capacity that urgent steps
and wide gangs need at once: tasks of some seconds whose jobs have twenty
seconds of slack run, while calls whose objective is about a second wait.
"""

import heapq

import msgspec

from cicadafold.scheduling import preemption_victims
from cicadafold.scheduling import views

__all__ = ["Need", "Share", "WorkerOption", "choose"]

# Factor on expected remaining times before they are relied on.
END_FACTOR = 1.3
# Slack in milliseconds that a step must keep beyond the time of a stop: the
# start command and the renewal that lists the end.
START_MARGIN_MS = 60.0


class Need(msgspec.Struct, kw_only=True):
    """A step that could not be placed.

    Attributes:
        demand: Its tasks that need workers.
        priority: Priority of its queue; 0 is the most urgent.
        slack_ms: Time in milliseconds by which its start may be delayed.
    """

    demand: views.Demand
    priority: int
    slack_ms: float

    @property
    def urgent(self):
        """Whether it is urgent work."""
        return self.priority == 0

    def can_be_helped(self, costs):
        """Whether it would be in time if run attempts were stopped now."""
        return self.slack_ms >= costs.stop_ms + START_MARGIN_MS

    def wait_ms(self, costs):
        """Returns how long to wait for expected ends, in milliseconds.

        Afterwards a stop would still be in time. A gang waits only for ends
        that precede those of the stops: with many ends to wait for, one of
        them is nearly always late.
        """
        if self.demand.gang and not self.urgent:
            return costs.stop_ms / END_FACTOR
        spare_ms = self.slack_ms - costs.stop_ms - START_MARGIN_MS
        return max(0.0, spare_ms) / END_FACTOR


class WorkerOption(msgspec.Struct):
    """A worker that a step may use.

    Attributes:
        view: Worker with its free capacity, without what is held for others.
        ends: Pairs of expected remaining milliseconds and resources of the
            run attempts on it.
        victims: Those that may be stopped for the step, in the order of
            ``by_loss``.
    """

    view: views.WorkerView
    ends: list
    victims: list


class Share(msgspec.Struct):
    """Capacity on one worker for one task of a step.

    Attributes:
        worker: Name of the worker.
        in_ms: Milliseconds until the capacity is expected to be free.
        victims: ``Victim`` of each run attempt to stop for it.
        cost: Highest grade of the victims, lost milliseconds, ``in_ms``.
    """

    worker: str
    in_ms: float
    victims: list
    cost: tuple


def choose(need, options, costs, budget_milli):
    """Chooses workers for the tasks of a step, and the run attempts to stop.

    Args:
        need: ``Need`` of the step.
        options: ``WorkerOption`` of the workers that it may use.
        costs: ``Costs``.
        budget_milli: Thousandths of a core that may be freed by stops.

    Returns:
        ``Share`` of each task. None if the step would be late all the same,
        or not all its tasks get a share; then a step that is no gang gets
        those shares that need no stop.
    """
    if not need.can_be_helped(costs):
        return None
    # A gang is only considered when expected ends do not suffice.
    chosen = []
    if need.urgent:
        chosen = cheapest_shares(need, options, costs, 0, stops=False)
        if len(chosen) == need.demand.tasks:
            return chosen
    with_stops = cheapest_shares(need, options, costs, budget_milli)
    if len(with_stops) == need.demand.tasks:
        return with_stops
    if need.demand.gang:
        return None
    return chosen or None


def cheapest_shares(need, options, costs, budget_milli, *, stops=True):
    """Returns the cheapest shares of a step, at most one for each task.

    Args:
        need: ``Need`` of the step.
        options: ``WorkerOption`` of the workers that it may use.
        costs: ``Costs``.
        budget_milli: Thousandths of a core that may be freed by stops.
        stops: Whether shares that need stops count.
    """
    heap = []
    for number, option in enumerate(options):
        push(heap, number, shares_on(option, need, costs, stops))
    chosen = []
    while heap and len(chosen) < need.demand.tasks:
        _, number, share, shares = heapq.heappop(heap)
        freed = sum(victim.room.cores_milli for victim in share.victims)
        if freed > budget_milli:
            continue
        budget_milli -= freed
        chosen.append(share)
        push(heap, number, shares)
    return chosen


def push(heap, number, shares):
    """Adds the next share of a worker to the heap, if there is one."""
    share = next(shares, None)
    if share is not None:
        heapq.heappush(heap, (share.cost, number, share, shares))


def shares_on(option, need, costs, stops):
    """Yields the shares that a worker has for successive tasks of a step.

    Capacity that is free, or that expected ends free in time, is used first.
    """
    demand = need.demand
    size = demand.need
    limit = demand.tasks
    if demand.per_host:
        running = demand.running_per_worker.get(option.view.id, 0)
        limit = min(limit, demand.per_host - running)
    if demand.label and demand.label not in option.view.labels:
        return
    view = msgspec.structs.replace(option.view)
    wait_ms = need.wait_ms(costs)
    ends = sorted(
        (end for end in option.ends if end[0] <= wait_ms),
        key=end_time,
        reverse=True,
    )
    victims = option.victims if stops else ()
    in_ms = 0.0
    for _ in range(limit):
        while ends and not preemption_victims.fits(view, size):
            in_ms, room = ends.pop()
            view.release(room)
        stopped = []
        if not preemption_victims.fits(view, size):
            stopped = preemption_victims.cheapest(view, size, victims)
            if stopped is None:
                return
            victims = [x for x in victims if x not in stopped]
            for victim in stopped:
                view.release(victim.room)
            in_ms = max(in_ms, costs.stop_ms)
        view.reserve(size)
        yield Share(view.id, in_ms, stopped, cost_of(stopped, in_ms))


def end_time(end):
    """Returns the sort key of an expected end."""
    return end[0]


def cost_of(victims, in_ms):
    """Returns the sortable cost of a share.

    Workers on which capacity becomes free by itself come first, then those
    on which the stops lose least.
    """
    grade = max((victim.grade for victim in victims), default=-1)
    loss_ms = sum(
        victim.loss_ms + preemption_victims.STOP_COST_MS for victim in victims
    )
    return (grade, loss_ms, in_ms)
