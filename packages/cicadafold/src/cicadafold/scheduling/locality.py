"""How long it pays to wait for a placement near data or within one rack.

Load: steps whose tasks take ``far_factor`` times as long outside the rack of
their data, and gangs that take as much longer across racks. When the rack is
busy, the step may wait for it or start elsewhere at once. Either is wrong at
times: waiting when the rack is overloaded and the cell idle, starting
elsewhere when the rack is about to have free capacity. The decision compares
the expected completion of both.
"""

import enum
import heapq
import math

import msgspec

from cicadafold.scheduling import reservation

__all__ = [
    "Choice",
    "Claim",
    "Decision",
    "Outlook",
    "Reason",
    "Situation",
    "decide",
    "is_far",
    "rack_starts_ms",
]

# Ratio of the mean duration of tasks to the expected one, which is a geometric
# mean: 1.2 as one task in thirty takes seven times as long, times 1.3 as
# declared times are 20 to 90% off. Waits need no such factor, as the progress
# of the tasks that are waited for is known.
MEAN_DURATION_FACTOR = 1.6
# Share of used cores from which on a pool counts as crowded. Remote
# placement costs more there, as the additional time of the tasks delays
# others.
CROWDED_LOAD = 0.7
# Longest wait in a full pool, as a multiple of the time that a near
# placement saves. In a pool that is not crowded the multiple is 1.
CROWDED_PATIENCE = 5.0


class Choice(enum.Enum):
    """What the tasks of a step that do not fit near now should do."""

    NEAR = "start near"
    WAIT = "wait"
    FAR = "start far"


class Reason(enum.Enum):
    """Reason for a choice, for log lines and explanations."""

    FITS = "all tasks fit near now"
    NEAR_SOONER = "near completion is expected to be sooner"
    SPARES_CAPACITY = "the pool is crowded and the job has slack"
    NO_CAPACITY = "no capacity is free elsewhere"
    WANTED = "the capacity elsewhere is near for steps that wait for it"
    NO_WORKER = "no usable worker near can hold the tasks"
    FAR_SOONER = "far completion is expected to be sooner"
    SLACK = "the job has too little slack to wait"
    WAITED = "the step has waited as long as a near placement would save"


class Situation(msgspec.Struct, frozen=True, kw_only=True):
    """What the decision needs to know of a step.

    Attributes:
        tasks: Number of waiting tasks; 1 for a gang, which starts whole.
        task_ms: Expected duration of a task near, in milliseconds.
        far_factor: Factor on the duration of a task elsewhere.
        slack_ms: How long the start may be delayed without missing the
            objective if the tasks run near, in milliseconds.
        urgent: Whether the step belongs to a queue of priority 0.
        held_ms: How long tasks of the step have already been held back
            although they could have started elsewhere, in milliseconds.
        remeasured: Whether earlier waits of the step may be forgotten.
    """

    tasks: int
    task_ms: float
    far_factor: float
    slack_ms: float
    urgent: bool = False
    held_ms: float = 0.0
    remeasured: bool = False

    @property
    def saved_ms(self):
        """Time that a near placement saves on average, in milliseconds."""
        mean_ms = self.task_ms * MEAN_DURATION_FACTOR
        return mean_ms * (self.far_factor - 1)


class Outlook(msgspec.Struct, frozen=True, kw_only=True):
    """Capacity near and elsewhere, as expected now.

    Attributes:
        starts_ms: Expected milliseconds until each task can start near, in
            ascending order, 0 for those that fit now. It is shorter than the
            number of tasks if the others never fit.
        far_tasks: Number of tasks that fit elsewhere.
        wanted_tasks: Number of further tasks that fit in racks for which
            other steps of the same or a higher urgency wait.
        far_in_ms: Expected milliseconds until a task fits elsewhere, if none
            does now.
        load: Share of the pool's cores that is in use, 0 to 1.
    """

    starts_ms: tuple
    far_tasks: int
    wanted_tasks: int = 0
    far_in_ms: float = 0.0
    load: float = 0.0


class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """What the waiting tasks of a step do now.

    Attributes:
        choice: What the tasks that do not fit near now do; ``WAIT`` if any
            of them is held back, or none fits anywhere.
        reason: Reason for the choice.
        near: Number of tasks that start near now.
        far: Number of tasks that may start elsewhere now.
        held: Number of tasks that wait for capacity near. The rest of the
            tasks starts where capacity is free first.
        wait_ms: Expected milliseconds until the last held task starts near.
        near_ms: Expected milliseconds until the last task is complete if it
            waits for capacity near; infinite if it never fits there.
        far_ms: Expected milliseconds until a task that starts elsewhere is
            complete.
    """

    choice: Choice
    reason: Reason
    near: int
    far: int
    held: int
    wait_ms: float
    near_ms: float
    far_ms: float


class Claim(msgspec.Struct, frozen=True):
    """Tasks of a step with a higher rank that wait for the same rack.

    Attributes:
        tasks: Number of tasks.
        cores_milli: Thousandths of a core that each needs.
        task_ms: Expected duration in milliseconds.
    """

    tasks: int
    cores_milli: int
    task_ms: float


def decide(situation, outlook):
    """Decides which waiting tasks start near, wait, or start elsewhere.

    Args:
        situation: ``Situation`` of the step.
        outlook: ``Outlook`` for its tasks.

    Returns:
        The ``Decision``.

    Examples:
        >>> step = Situation(
        ...     tasks=1, task_ms=1000.0, far_factor=2.0, slack_ms=5000.0
        ... )
        >>> decide(step, Outlook(starts_ms=(300.0,), far_tasks=9)).choice
        <Choice.WAIT: 'wait'>
        >>> decide(step, Outlook(starts_ms=(3000.0,), far_tasks=9)).choice
        <Choice.FAR: 'start far'>
    """
    tasks, task_ms = situation.tasks, situation.task_ms
    starts_ms = outlook.starts_ms[:tasks]
    near = sum(1 for start_ms in starts_ms if start_ms <= 0)
    far_ms = outlook.far_in_ms + task_ms * situation.far_factor
    last_ms = starts_ms[-1] if len(starts_ms) == tasks else math.inf
    longest_ms, bound = longest_wait_ms(situation, outlook)
    worth = sum(1 for start_ms in starts_ms if start_ms <= longest_ms)
    worth = max(near, worth)
    held = worth - near
    far_tasks = outlook.far_tasks
    if outlook.wanted_tasks and ignores_others(situation):
        far_tasks += outlook.wanted_tasks
    far = min(tasks - worth, far_tasks)
    wait_ms = starts_ms[worth - 1] if held else 0.0
    if near == tasks:
        choice, reason = Choice.NEAR, Reason.FITS
    elif far_tasks - far <= 0 and (held or not far):
        choice, reason = Choice.WAIT, Reason.NO_CAPACITY
        if outlook.wanted_tasks and far_tasks == outlook.far_tasks:
            reason = Reason.WANTED
    elif held:
        choice, reason = Choice.WAIT, Reason.NEAR_SOONER
        sooner_ms = outlook.far_in_ms + situation.saved_ms - situation.held_ms
        if wait_ms > sooner_ms:
            reason = Reason.SPARES_CAPACITY
    else:
        choice = Choice.FAR
        reason = bound if starts_ms else Reason.NO_WORKER
    return Decision(
        choice=choice,
        reason=reason,
        near=near,
        far=far,
        held=held,
        wait_ms=wait_ms,
        near_ms=last_ms + task_ms,
        far_ms=far_ms,
    )


def longest_wait_ms(situation, outlook):
    """Returns how long a task may still wait for capacity near.

    The wait in total, with what the step has already waited, is at most the
    time that a near placement saves, or ``CROWDED_PATIENCE`` times that if
    the pool is full. Expectations that turn out wrong thus cost no more than
    that. A job that would meet its objective elsewhere does not wait beyond
    its slack, and an urgent step only if it is complete sooner. A step whose
    earlier waits may be forgotten does not wait at all without that slack, as
    repeated takeovers would otherwise add up waits.

    Returns:
        Milliseconds from now, and the ``Reason`` that bounds them.
    """
    saved_ms = situation.saved_ms
    patience = 1.0
    if not situation.urgent:
        crowded = (outlook.load - CROWDED_LOAD) / (1 - CROWDED_LOAD)
        crowded = min(1.0, max(0.0, crowded))
        patience += (CROWDED_PATIENCE - 1) * crowded
    sooner_ms = outlook.far_in_ms + saved_ms - situation.held_ms
    patient_ms = sooner_ms + (patience - 1) * saved_ms
    bound = Reason.WAITED if situation.held_ms > 0 else Reason.FAR_SOONER
    in_time = outlook.far_in_ms + saved_ms <= situation.slack_ms
    if situation.remeasured and not in_time:
        return 0.0, Reason.SLACK
    if in_time and patient_ms > situation.slack_ms:
        return situation.slack_ms, Reason.SLACK
    return patient_ms, bound


def ignores_others(situation):
    """Whether a step takes capacity for which others wait as near capacity.

    In a full cell each task that runs far from its data would otherwise take
    the place of one that is near there, which then has to run far as well.
    The step takes it all the same once it has waited for the longest time.
    """
    return situation.held_ms >= CROWDED_PATIENCE * situation.saved_ms


def rack_starts_ms(demand, futures, task_ms, claims=()):
    """Returns when the tasks of a step can start on given workers.

    Tasks are assigned to the capacity that is free first; they release it
    when they end. Steps of a higher rank that wait for the same workers are
    served first, but not before tasks that fit now.

    Args:
        demand: ``Demand`` with the waiting tasks.
        futures: ``FutureCapacity`` of each usable worker of the rack.
        task_ms: Expected duration of a task in milliseconds.
        claims: ``Claim`` of each step with a higher rank.

    Returns:
        Expected milliseconds from now by task, in ascending order; empty if
        no task ever fits.
    """
    ahead = [
        (claimed_slots(claim, demand.need), claim.task_ms) for claim in claims
    ]
    most = demand.tasks + sum(count for count, _ in ahead)
    wide = msgspec.structs.replace(demand, tasks=most)
    slots = []
    for future in futures:
        for in_ms, _, count in reservation.capacity_gains(wide, future):
            slots.extend([in_ms] * count)
    slots.sort()
    fitting_now = sum(1 for in_ms in slots if in_ms <= 0)
    starts_ms = [0.0] * min(demand.tasks, fitting_now)
    # Slots beyond the number of tasks would never be used.
    slots = slots[len(starts_ms) : most]
    slots.extend([task_ms] * len(starts_ms))
    heapq.heapify(slots)
    if not slots:
        return ()
    for count, claim_ms in ahead:
        for _ in range(count):
            heapq.heapreplace(slots, slots[0] + claim_ms)
    for _ in range(demand.tasks - len(starts_ms)):
        starts_ms.append(slots[0])
        heapq.heapreplace(slots, slots[0] + task_ms)
    return tuple(starts_ms)


def claimed_slots(claim, need):
    """Returns how many tasks of a need fit into what a claim takes."""
    cores = max(1, need.cores_milli)
    return math.ceil(claim.tasks * claim.cores_milli / cores)


def is_far(spec, rack, racks):
    """Whether a run attempt takes longer because of where it runs.

    Args:
        spec: ``StepSpec`` of its step.
        rack: Rack of its worker.
        racks: Racks of all run attempts of its gang; not used if it is in
            no gang.
    """
    if spec.data_rack and rack != spec.data_rack:
        return True
    return spec.gang and spec.one_rack and len(racks) > 1
