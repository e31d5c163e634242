"""Run attempts that may be stopped for a step, and what their stop costs.

A run attempt is stopped only if little work is lost and its own job can still
meet its objective, or cannot be of value any more.
"""

import enum

import msgspec

from cicadafold.jobs import model

__all__ = [
    "Costs",
    "Grade",
    "RunningTask",
    "STOP_COST_MS",
    "Victim",
    "by_loss",
    "cheapest",
    "fits",
    "remaining_share",
    "victim_of",
]

# A run attempt that is expected to end within this multiple of the time that
# a stop takes frees its capacity by itself.
NEARLY_DONE_FACTOR = 1.5
# Work without a checkpoint that may be lost, in milliseconds: a run attempt
# that has just started.
LITTLE_MS = 500.0
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
