"""Handles frames of other processes for the racks that this one owns."""

import asyncio

from cicadafold.controllog import state as control_state
from cicadafold.coordination import answers
from cicadafold.peerlink import frames
from cicadafold.peerlink import server

__all__ = ["RackService"]

APPLY_TIMEOUT_S = 2.0

Status = frames.ReplyStatus


class RackService:
    """Receives frames of other processes and passes them to rack owners.

    Args:
        node: ``Node``, which holds the components of this process.
    """

    def __init__(self, *, node):
        self.node = node

    def handle(self, frame, send):
        """Handles one frame; the reply may be sent after the return.

        Args:
            frame: The frame.
            send: Function that sends a reply frame.
        """
        server.handle_frame(self, frame, send)

    def submit(self, frame, send):
        """Passes a dispatch to the owner of its rack."""
        owner = self.node.rack_claimer.owners.get(frame.rack)
        if owner is None:
            send(frames.Reply(serial=frame.serial, status=Status.MOVED))
        else:
            owner.submit(frame, send)


@server.handles(frames.Dispatch)
def handle_dispatch(service, frame, send):
    """Handles a dispatch; checks the coordinator of recorded requests."""
    if frame.attempt:
        when_applied(service, frame, send, submit_recorded)
    else:
        service.submit(frame, send)


def when_applied(service, frame, send, function):
    """Calls a function once the sender's control record is applied here.

    Args:
        service: The ``RackService``.
        frame: Frame whose ``attempt`` is the offset of that record.
        send: Function that sends a reply frame.
        function: Called with the three arguments above.
    """
    if service.node.tail.state.offset >= frame.attempt:
        function(service, frame, send)
    else:
        asyncio.create_task(wait_until_applied(service, frame, send, function))


async def wait_until_applied(service, frame, send, function):
    """Waits for the record that makes the sender coordinator.

    Answers ``MOVED`` if it is not applied within ``APPLY_TIMEOUT_S``.
    """
    tail = service.node.tail
    applied = await tail.wait_until(
        lambda: tail.state.offset >= frame.attempt, timeout_s=APPLY_TIMEOUT_S
    )
    if applied:
        function(service, frame, send)
    else:
        send(frames.Reply(serial=frame.serial, status=Status.MOVED))


def submit_recorded(service, frame, send):
    """Passes a recorded request to the owner of its rack.

    Earlier coordinators of the request are refused. A request that is
    closed is answered with its recorded outcome.
    """
    entry = service.node.tail.state.requests.get(frame.request_id)
    if entry is None or entry.attempt != frame.attempt:
        send(
            frames.Reply(
                serial=frame.serial,
                status=Status.UNKNOWN,
                text="Another process coordinates the request now.",
            )
        )
        return
    if not control_state.is_open(entry):
        send(closed_reply(frame, entry))
        return
    service.submit(frame, send)


def closed_reply(frame, entry):
    """Returns the reply for a request whose outcome is recorded."""
    status = next(
        status
        for status, outcome in answers.OUTCOME_BY_STATUS.items()
        if outcome is entry.outcome
    )
    return frames.Reply(
        serial=frame.serial,
        status=status,
        result=entry.result,
        worker=entry.worker,
        code=entry.code,
    )


@server.handles(frames.CancelFrame)
def handle_cancel(service, frame, send):
    """Passes a cancellation to the owner of its rack."""
    owner = service.node.rack_claimer.owners.get(frame.rack)
    if owner is None:
        send(frames.Reply(serial=frame.serial, status=Status.MOVED))
    else:
        owner.cancel(frame, send)


@server.handles(frames.Locate)
def handle_locate(service, frame, send):
    """Answers whether a rack of this process knows a request."""
    when_applied(service, frame, send, locate)


def locate(service, frame, send):
    """Passes the question to the rack's owner if its term still holds."""
    owner = service.node.rack_claimer.owners.get(frame.rack)
    current = service.node.tail.state.owners.get(frame.rack)
    if owner is None or current.term != owner.term:
        send(frames.Reply(serial=frame.serial, status=Status.MOVED))
    else:
        owner.locate(frame, send)
