"""Requests and tasks as the owner of a rack holds them."""

import enum

from cicadafold import clock
from cicadafold.peerlink import frames

__all__ = ["EndReason", "TargetTask", "TaskEnd", "RackRequest", "RequestState"]


class RequestState(enum.Enum):
    """State of a request at the owner of its rack."""

    HELD = "held"
    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


class EndReason(enum.Enum):
    """Why a task is no longer held by its target.

    ``NOT_STARTED`` is proved: the target refused the start, or denies the
    task after its start deadline has passed on the target's own clock.
    ``LAPSED`` means that the lease has surely lapsed, so that the task
    does not run now; whether it has run is not known.
    """

    REPORTED = "reported"
    NOT_STARTED = "not_started"
    LAPSED = "lapsed"


class TaskEnd:
    """How a task ended.

    Attributes:
        reason: Why the task ended.
        report: The target's report, with ``REPORTED``.
        fenced: Whether a newer owner's fence refused the start.
    """

    def __init__(self, *, reason, report=None, fenced=False):
        self.reason = reason
        self.report = report
        self.fenced = fenced


class TargetTask:
    """A task on a target, from before its start is sent to its end."""

    def __init__(self, *, task_id, link, size, on_end):
        self.task_id = task_id
        self.link = link
        self.size = size
        self.on_end = on_end
        self.sent_ms = clock.monotonic_ms()
        self.renewed_ms = self.sent_ms
        self.start_by_ms = 0
        self.lease_until_ms = 0
        self.lease_ms = 0
        self.unconfirmed = False
        self.ended = False
        self.start_call = None

    def end(self, end):
        """Ends the task once and tells whoever waits for it."""
        if self.ended:
            return
        self.ended = True
        self.link.release(self)
        if self.start_call is not None:
            self.start_call.cancel()
        self.on_end(self, end)


class RackRequest:
    """A request at the owner of its rack.

    Attributes:
        deadline_ms: Monotonic time of the final answer in milliseconds.
        tasks: Tasks by id, one unless the kind is a gang.
        responders: Functions that take the reply, one for each sender.
        reply: The final reply once there is one.
        avoided: Names of workers on which the request has failed.
        born_ms: Monotonic time before which no start can have been sent.
    """

    def __init__(self, *, request_id, kind, team, payload, deadline_ms):
        self.request_id = request_id
        self.kind = kind
        self.team = team
        self.payload = payload
        self.deadline_ms = deadline_ms
        self.attempt = 0
        self.arrived_ms = clock.monotonic_ms()
        self.state = RequestState.HELD
        self.queued = False
        self.tasks = {}
        self.ends = {}
        self.responders = []
        self.reply = None
        self.failures = 0
        self.failed_workers = set()
        self.earliest_start_ms = self.arrived_ms
        self.may_have_run = False
        self.cancelled = False
        self.timer = None
        self.decision_us = 0
        self.waited_us = 0

    def is_retryable(self):
        """Whether a new dispatch may find out more than the last one.

        An unknown outcome of idempotent work is not final: a worker that
        was silent may answer now.
        """
        if self.reply is None or self.tasks or not self.kind.idempotent:
            return False
        return self.reply[0] is frames.ReplyStatus.UNKNOWN

    def respond(self, status, **fields):
        """Answers every sender that waits."""
        responders, self.responders = self.responders, []
        for serial, send in responders:
            send(
                frames.Reply(
                    serial=serial,
                    status=status,
                    waited_us=self.waited_us,
                    decision_us=self.decision_us,
                    **fields,
                )
            )

    def finish(self, status, **fields):
        """Sets the final reply and answers every sender."""
        self.state = RequestState.ENDED
        self.reply = (status, fields)
        if self.timer is not None:
            self.timer.cancel()
        self.respond(status, **fields)
