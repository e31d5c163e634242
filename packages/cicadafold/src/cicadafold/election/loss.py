"""Reasons for which a process replaces the newest term."""

import enum

__all__ = ["LossReason"]


class LossReason(enum.Enum):
    """Why a process claims the next term.

    Attributes:
        NO_TERM_KNOWN: No claim has been read.
        PROCESS_ENDED: The scheduler's host refuses connections.
        NO_TERM_SERVED: The scheduler's process answers that it serves no
            term.
        NO_ANSWER: The scheduler's process does not answer.
        DEGRADED: The term tells that it cannot do its work.
        STOPPING: The scheduler's process stops, as planned.
        PREFERRED: The scheduler has asked this process, as its host has a
            much higher election priority.
        HANDED_OVER: The scheduler has asked this process, as the store does
            not answer it.
    """

    NO_TERM_KNOWN = "no term is known"
    PROCESS_ENDED = "its process has ended"
    NO_TERM_SERVED = "its process serves no term"
    NO_ANSWER = "its process does not answer"
    DEGRADED = "it is degraded"
    STOPPING = "its process stops"
    PREFERRED = "this host has a much higher priority"
    HANDED_OVER = "the store does not answer its process"

    @property
    def judged(self):
        """Whether the scheduler may have gone on, and might have served."""
        return self in (
            LossReason.NO_ANSWER,
            LossReason.DEGRADED,
            LossReason.HANDED_OVER,
        )
