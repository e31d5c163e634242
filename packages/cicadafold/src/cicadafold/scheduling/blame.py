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
    """

    attempt: int
    worker: str
    crashed: bool
    conclusive: bool = False

    @property
    def strength(self):
        """Sortable strength of the evidence."""
        return self.crashed, self.conclusive


class CrashHistory:
    """Losses of a task, or of a gang as a whole.

    Attributes:
        losses: List of ``Loss``, oldest first.
        start_on: Names of the workers on which it is being started, until
            the start is known to have ended.
        inherited: Whether an earlier term has recorded ``start_on``.
        batch: Number of the journal batch that records the newest change.
    """

    __slots__ = ("batch", "inherited", "losses", "start_on")

    def __init__(self):
        self.losses = []
        self.start_on = ()
        self.inherited = False
        self.batch = 0

    def add(self, loss):
        """Adds a loss, or replaces a known one by stronger evidence.

        Returns:
            Whether the losses have changed.
        """
        for index, known in enumerate(self.losses):
            if known.attempt == loss.attempt:
                if known.strength >= loss.strength:
                    return False
                self.losses[index] = loss
                return True
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
    """Returns the ``Verdict`` on a task with some losses.

    Args:
        losses: List of ``Loss``.

    Examples:
        >>> judge([Loss(1, "a", True)])
        <Verdict.SUSPECT: 'suspect'>
    """
    count = len(losses)
    if sum(loss.crashed for loss in losses) >= MIN_CRASHES:
        conclusive = any(loss.conclusive for loss in losses)
        if count >= (CULPRIT_LOSSES if conclusive else MAX_LOSSES):
            return Verdict.CULPRIT
    if count >= ISOLATED_LOSSES:
        return Verdict.ISOLATED
    return Verdict.SUSPECT if count else Verdict.CLEAR
