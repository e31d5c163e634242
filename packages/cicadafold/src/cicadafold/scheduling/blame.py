"""Which tasks are blamed for the crashes of workers.

A crash ends everything that runs on a worker and does not show which task
caused it. So a task that was lost with its worker is first started where no
other suspect runs, then alone on a worker, and is given up if that worker
crashes too. Its neighbours end well elsewhere and are not given up.
"""

import enum

import msgspec

__all__ = ["CrashHistory", "Loss", "Verdict", "judge"]

ISOLATED_LOSSES = 2
CULPRIT_LOSSES = 3
# A silent worker may have been cut off, and no task is given up for that.
MIN_CRASHES = 2
# Given up also without a conclusive loss. A task may be started only twice
# after three workers have crashed under it; one crash may go unseen in a
# change of the scheduler.
MAX_LOSSES = 4


class Verdict(enum.Enum):
    """How a task is treated because of the workers it was lost with.

    Attributes:
        CLEAR: It was never lost with a worker.
        SUSPECT: It is preferably started where no other suspect runs.
        ISOLATED: It is started alone on a worker.
        CULPRIT: It is not started again, and its job fails.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    ISOLATED = "isolated"
    CULPRIT = "culprit"


SEVERITY = list(Verdict)


class Loss(msgspec.Struct, frozen=True, array_like=True):
    """A run attempt that ended, or may have ended, with its worker.

    Attributes:
        attempt: Number of the run attempt; that of the first attempt of the
            term, less one, if an earlier term had started it.
        worker: Name of the worker.
        crashed: Whether the worker restarted or closed its connection, and
            the task was on it.
        conclusive: Whether it did so while nothing else ran on it, and no
            other worker did at the same time.
        members: Indices of the tasks of a gang that were on the worker; empty
            for a single task, and if they are not known.
    """

    attempt: int
    worker: str
    crashed: bool
    conclusive: bool = False
    members: tuple[int, ...] = ()

    @property
    def strength(self):
        """Sortable strength of the evidence."""
        return self.crashed, self.conclusive

    def concerns(self, member):
        """Whether a member of a gang was, or may have been, on the worker."""
        return not self.members or member in self.members

    def merge(self, other):
        """Returns this loss with what another one of its attempt adds.

        A gang may lose several workers in one attempt.
        """
        stronger = max(self, other, key=lambda loss: loss.strength)
        members = ()
        if self.members and other.members:
            members = tuple(sorted({*self.members, *other.members}))
        return msgspec.structs.replace(stronger, members=members)


class CrashHistory:
    """Losses of a task, or of a gang as a whole.

    Attributes:
        losses: List of ``Loss``, oldest first.
        start_on: Names of the workers on which it is being started, until
            the start is known to have ended.
        inherited: Whether an earlier term has recorded ``start_on``.
        batch: Number of the journal batch that records the newest change.
        unanswered_starts: Attempts of this term whose start was not answered,
            after ``CULPRIT_LOSSES`` crashes.
    """

    __slots__ = (
        "batch",
        "inherited",
        "losses",
        "start_on",
        "unanswered_starts",
    )

    def __init__(self):
        self.losses = []
        self.start_on = ()
        self.inherited = False
        self.batch = 0
        self.unanswered_starts = set()

    @property
    def crashes(self):
        """Number of crashes, for a gang of its worst member."""
        crashes = [loss for loss in self.losses if loss.crashed]
        members = {member for loss in crashes for member in loss.members}
        if not members:
            return len(crashes)
        return max(
            sum(loss.concerns(member) for loss in crashes)
            for member in members
        )

    @property
    def needs_only_room(self):
        """Whether a task may start wherever there is free capacity.

        It is not to run alone, and none of its starts is recorded.
        """
        return len(self.losses) < ISOLATED_LOSSES and not self.start_on

    def add(self, loss):
        """Adds a loss, or merges it with the known one of its attempt.

        Returns:
            Whether the losses have changed.
        """
        for index, known in enumerate(self.losses):
            if known.attempt == loss.attempt:
                self.losses[index] = known.merge(loss)
                return self.losses[index] != known
        self.losses.append(loss)
        return True

    def withdraw(self, attempt):
        """Removes the loss of an attempt; returns whether there was one."""
        left = [loss for loss in self.losses if loss.attempt != attempt]
        found = len(left) < len(self.losses)
        self.losses = left
        return found

    @property
    def verdict(self):
        """``Verdict`` on the losses."""
        return judge(self.losses)


def judge(losses):
    """Returns the ``Verdict`` on a task, or on a gang, with some losses.

    A gang is judged by its worst member: a member that crashes its workers
    was on each of them, while crashes of other causes meet one or another.
    The workers of a wide gang often run nothing else, so that its losses are
    never taken as conclusive.

    Args:
        losses: List of ``Loss``.

    Examples:
        >>> judge([Loss(1, "a", True)])
        <Verdict.SUSPECT: 'suspect'>
        >>> judge([Loss(n, "a", True, members=(n,)) for n in range(9)])
        <Verdict.SUSPECT: 'suspect'>
    """
    members = {member for loss in losses for member in loss.members}
    if not members:
        return judge_task(losses)
    found = [
        msgspec.structs.replace(loss, conclusive=False) for loss in losses
    ]
    verdicts = [
        judge_task([loss for loss in found if loss.concerns(member)])
        for member in members
    ]
    return max(verdicts, key=SEVERITY.index)


def judge_task(losses):
    """Returns the ``Verdict`` on one task with some losses."""
    count = len(losses)
    if sum(loss.crashed for loss in losses) >= MIN_CRASHES:
        conclusive = any(loss.conclusive for loss in losses)
        if count >= (CULPRIT_LOSSES if conclusive else MAX_LOSSES):
            return Verdict.CULPRIT
    if count >= ISOLATED_LOSSES:
        return Verdict.ISOLATED
    return Verdict.SUSPECT if count else Verdict.CLEAR
