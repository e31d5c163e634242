"""Requests and their tasks as the owner of a rack keeps them."""

import enum

from cicadafold import clock
from cicadafold.peerlink import frames

__all__ = ["EndReason", "RackRequest", "RequestState", "TargetTask", "TaskEnd"]


class RequestState(enum.Enum):
    """State of a request at the owner of its rack.

    A ``HELD`` request has no tasks and is not queued: whether it runs or
    has run must be found out first. A ``RUNNING`` one has tasks on targets,
    and an ``ENDED`` one its final reply.
    """

    HELD = "held"
    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


class EndReason(enum.Enum):
    """Why a task does not run on its target any more.

    ``REPORTED``: the target has reported the end. ``NOT_STARTED`` is
    proved: the target refused the start, or does not know the task after
    its start deadline has passed on the target's own clock. ``LAPSED``: the
    lease has certainly lapsed or the target was restarted, so that the task
    does not run now; whether it has run is not known.
    """

    REPORTED = "reported"
    NOT_STARTED = "not_started"
    LAPSED = "lapsed"


class TaskEnd:
    """End of a task.

    Attributes:
        reason: Why the task ended.
        report: The target's report if the reason is ``REPORTED``, else
            None.
        fenced: Whether a newer owner's fence refused the start.
    """

    def __init__(self, *, reason, report=None, fenced=False):
        self.reason = reason
        self.report = report
        self.fenced = fenced


class TargetTask:
    """A task on a target, from just before its start is sent to its end.

    Args:
        task_id: Identifier of the task.
        link: ``TargetLink`` of its target, or None if the task was never
            on a target.
        resources: Resources that the task reserves, or None if it has none.
        on_end: Function that is called with the task and its ``TaskEnd``.

    Attributes:
        sent_ms: Monotonic time in milliseconds of the start.
        renewed_ms: Monotonic time in milliseconds at which the lease was
            last asked for.
        start_by_ms: Target's time in milliseconds after which it refuses
            the start.
        lease_until_ms: Target's time in milliseconds until which the lease
            may last.
        lease_ms: Milliseconds that a lease lasts.
        unconfirmed: Whether the target is to be asked soon what became of
            the task.
        ended: Whether the task has ended.
        start_call: Running call that sends the start, or None.
    """

    def __init__(self, *, task_id, link, resources, on_end):
        self.task_id = task_id
        self.link = link
        self.resources = resources
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
        """Ends the task, releases its resources and calls ``on_end``.

        Later ends of the same task are ignored.
        """
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
        deadline_ms: Monotonic time in milliseconds of the final answer at
            the latest.
        attempt: Offset of the control record that makes the sender
            coordinator; 0 for requests that are not recorded.
        arrived_ms: Monotonic time in milliseconds of the dispatch.
        queued: Whether the request is in the queue; set by the queue.
        tasks: Running tasks by identifier, one unless the kind is a gang.
        ends: Pairs of ended task and ``TaskEnd`` by task identifier.
        responders: Pairs of serial number and function that sends a reply,
            one for each sender that waits.
        reply: Pair of status and fields of the final reply, or None.
        failures: How often the request has failed on a worker, or was lost
            with it.
        failed_workers: Names of the workers on which it has failed.
        earliest_start_ms: Monotonic time in milliseconds before which no
            start can have been sent.
        may_have_run: Whether a task of the request may have run before.
        cancelled: Whether a caller has cancelled the request.
        timer: Timer of the deadline.
        decision_us: Microseconds that placing the request has taken.
        waited_us: Microseconds between the dispatch and the start.
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
        """Whether a new dispatch may lead to a better answer.

        The unknown outcome of an idempotent request is not final: a worker
        that did not answer then may answer now.
        """
        if self.reply is None or self.tasks or not self.kind.idempotent:
            return False
        return self.reply[0] is frames.ReplyStatus.UNKNOWN

    def respond(self, status, **fields):
        """Sends a reply to every sender that waits.

        Args:
            status: Status of the reply.
            **fields: Other fields of the reply.
        """
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
        """Sets the final reply and sends it to every sender that waits.

        Args:
            status: Status of the reply.
            **fields: Other fields of the reply.
        """
        self.state = RequestState.ENDED
        self.reply = (status, fields)
        if self.timer is not None:
            self.timer.cancel()
        self.respond(status, **fields)
