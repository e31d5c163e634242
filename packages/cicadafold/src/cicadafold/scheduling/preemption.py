"""Chooses which run attempts to stop for a step that cannot be placed.

In overload, patient work with much slack holds the capacity that urgent steps
and wide gangs need at once: tasks of some seconds whose jobs have twenty
seconds of slack run, while calls whose objective is about a second wait. A
run attempt is stopped only if little work is lost and its own job can still
meet its objective, or cannot be of value any more.
"""

import enum
import heapq

import msgspec

from cicadafold.jobs import model
from cicadafold.scheduling import views

__all__ = [
    "Costs",
    "Grade",
    "Need",
    "RunningTask",
    "Share",
    "Victim",
    "WorkerOption",
    "by_loss",
    "choose",
    "remaining_share",
    "victim_of",
]

# A run attempt that is expected to end within this multiple of the time that
# a stop takes frees its capacity by itself.
NEARLY_DONE_FACTOR = 1.5
# Work without a checkpoint that may be lost, in milliseconds: a run attempt
# that has just started.
LITTLE_MS = 500.0
# Factor on expected remaining times before they are relied on.
END_FACTOR = 1.3
# Slack in milliseconds that a step must keep beyond the time of a stop: the
# start command and the renewal that lists the end.
START_MARGIN_MS = 60.0
# A job that takes longer than this many times its objective has no value any
# more.
TOO_LATE_FACTOR = 3.0
# Cost of a stop besides the lost work, in milliseconds: its commands, and the
# second start.
STOP_COST_MS = 200.0
FULL_PERCENT = 100.0


class Grade(enum.IntEnum):
    """How little a stop costs the callers; the lowest is stopped first.

    Attributes:
        WORTHLESS: The job is too late to be of value.
        CHECKPOINT: It resumes from a checkpoint and still meets its
            objective.
        LITTLE: It starts anew, loses little and still meets its objective.
        LATE: It resumes from a checkpoint; its job is late, and stays within
            the time in which a late job has some value.
    """

    WORTHLESS = 0
    CHECKPOINT = 1
    LITTLE = 2
    LATE = 3


class Costs(msgspec.Struct, kw_only=True):
    """Expected times of a preemption, in milliseconds.

    Attributes:
        stop_ms: Time from a stop until its capacity is free.
        wait_ms: Time for which a stopped task waits for its next start.
        restore_ms: Time that a start from a checkpoint takes.
        checkpoint_ms: Work between two checkpoints.
    """

    stop_ms: float
    wait_ms: float
    restore_ms: float
    checkpoint_ms: float

    @property
    def nearly_done_ms(self):
        """Remaining time up to which a run attempt is not stopped."""
        return self.stop_ms * NEARLY_DONE_FACTOR


class RunningTask(msgspec.Struct):
    """A run attempt that may be stopped.

    Attributes:
        run: The run attempt, opaque to this module.
        room: Resources that it holds.
        priority: Priority of its queue; 0 is the most urgent.
        checkpoints: Whether it saves checkpoints.
        ran_ms: Time since its start in milliseconds.
        left_ms: Expected remaining time in milliseconds.
        slack_ms: Time in milliseconds by which its end may be delayed
            without its job missing its objective.
        objective_ms: Latency objective of its job in milliseconds.
        restart_ms: Time in milliseconds that a second start costs
            besides, such as a call for placement advice.
    """

    run: object
    room: model.Resources
    priority: int
    checkpoints: bool
    ran_ms: float
    left_ms: float
    slack_ms: float
    objective_ms: float
    restart_ms: float = 0.0


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


class Victim(msgspec.Struct):
    """A run attempt that may be stopped for a step.

    Attributes:
        run: The run attempt.
        room: Resources that it holds.
        grade: ``Grade``.
        loss_ms: Work that is lost, in milliseconds.
        slack_ms: Slack of its job after the stop, in milliseconds.
    """

    run: object
    room: model.Resources
    grade: Grade
    loss_ms: float
    slack_ms: float


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


def remaining_share(percent):
    """Returns the share of a task that is left after a checkpoint.

    Examples:
        >>> remaining_share(75.0)
        0.25
    """
    return max(0.0, 1.0 - percent / FULL_PERCENT)


def victim_of(running, need, costs):
    """Returns the ``Victim`` if a run attempt may be stopped, else None.

    Never stopped are run attempts of the same or higher urgency than an
    urgent step, of higher urgency than a gang, and those that are nearly
    done. For a gang of patient work, only those are stopped that lose
    nothing but the work since a checkpoint, or whose job has no value.
    """
    if running.priority == 0 or running.priority < need.priority:
        return None
    if running.left_ms <= costs.nearly_done_ms:
        return None
    loss_ms = running.ran_ms
    if running.checkpoints:
        loss_ms = min(loss_ms, costs.checkpoint_ms) + costs.restore_ms
    delay_ms = costs.stop_ms + costs.wait_ms + loss_ms + running.restart_ms
    slack_ms = running.slack_ms - delay_ms
    grace_ms = (TOO_LATE_FACTOR - 1) * running.objective_ms
    if running.slack_ms + grace_ms < 0:
        grade = Grade.WORTHLESS
    elif running.checkpoints and slack_ms >= 0:
        grade = Grade.CHECKPOINT
    elif not need.urgent:
        return None
    elif loss_ms <= LITTLE_MS and slack_ms >= 0:
        grade = Grade.LITTLE
    elif (
        running.checkpoints
        and running.slack_ms < 0
        and slack_ms + grace_ms >= 0
    ):
        grade = Grade.LATE
    else:
        return None
    return Victim(running.run, running.room, grade, loss_ms, slack_ms)


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
        while ends and not fits(view, size):
            in_ms, room = ends.pop()
            view.release(room)
        stopped = []
        if not fits(view, size):
            stopped = cheapest(view, size, victims)
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


def fits(free, size):
    """Whether a task fits into free capacity.

    Args:
        free: View of a worker.
        size: Resources of the task.
    """
    return (
        (not size.cores_milli or free.cores_milli >= size.cores_milli)
        and (not size.memory_mb or free.memory_mb >= size.memory_mb)
        and (not size.accelerators or free.accelerators >= size.accelerators)
    )


def cost_of(victims, in_ms):
    """Returns the sortable cost of a share.

    Workers on which capacity becomes free by itself come first, then those
    on which the stops lose least.
    """
    grade = max((victim.grade for victim in victims), default=-1)
    loss_ms = sum(victim.loss_ms + STOP_COST_MS for victim in victims)
    return (grade, loss_ms, in_ms)


def cheapest(view, need, victims):
    """Returns few victims whose stop lets one more task fit, or None.

    Args:
        view: Worker with its free capacity.
        need: Resources of the task.
        victims: Victims on the worker, in the order of ``by_loss``.
    """
    freed = sum(victim.room.cores_milli for victim in victims)
    if view.cores_milli + freed < need.cores_milli:
        return None
    free = msgspec.structs.replace(view)
    taken = []
    for victim in victims:
        free.release(victim.room)
        taken.append(victim)
        if fits(free, need):
            break
    else:
        return None
    # Smaller ones that were taken first may not be needed any more.
    for victim in taken[-2::-1]:
        free.reserve(victim.room)
        if fits(free, need):
            taken.remove(victim)
        else:
            free.release(victim.room)
    return taken


def by_loss(victim):
    """Returns the sort key of victims: those that lose least come first."""
    loss_ms = victim.loss_ms + STOP_COST_MS
    return (victim.grade, loss_ms / max(1, victim.room.cores_milli))
