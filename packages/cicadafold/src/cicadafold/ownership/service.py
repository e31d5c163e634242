"""Takes the frames of other members and hands them to the rack owners."""

import asyncio

from cicadafold.controllog import state as control_state
from cicadafold.coordination import answers
from cicadafold.peerlink import frames
from cicadafold.peerlink import server

__all__ = ["RackService"]

APPLY_TIMEOUT_S = 2.0

Status = frames.ReplyStatus


class RackService:
    """The racks of this process, as other members call them."""

    def __init__(self, *, node):
        self.node = node

    def handle(self, frame, send):
        """Handles one frame; the reply may come later."""
        server.handle_frame(self, frame, send)

    def submit(self, frame, send):
        """Hands a dispatch to the owner of its rack."""
        owner = self.node.rack_claimer.owners.get(frame.rack)
        if owner is None:
            send(frames.Reply(serial=frame.serial, status=Status.MOVED))
        else:
            owner.submit(frame, send)


@server.handles(frames.Dispatch)
def handle_dispatch(service, frame, send):
    """Checks the coordinator of a recorded request and hands it on."""
    if frame.attempt:
        when_applied(service, frame, send, submit_recorded)
    else:
        service.submit(frame, send)


def when_applied(service, frame, send, function):
    """Calls a function once the sender's record is folded here."""
    if service.node.tail.state.offset >= frame.attempt:
        function(service, frame, send)
    else:
        asyncio.create_task(wait_until_applied(service, frame, send, function))


async def wait_until_applied(service, frame, send, function):
    """Waits for the record that makes the sender coordinator."""
    tail = service.node.tail
    folded = await tail.wait_until(
        lambda: tail.state.offset >= frame.attempt, timeout_s=APPLY_TIMEOUT_S
    )
    if folded:
        function(service, frame, send)
    else:
        send(frames.Reply(serial=frame.serial, status=Status.MOVED))


def submit_recorded(service, frame, send):
    """Refuses earlier coordinators and requests that are closed."""
    entry = service.node.tail.state.requests.get(frame.request_id)
    if entry is None or entry.attempt != frame.attempt:
        send(
            frames.Reply(
                serial=frame.serial,
                status=Status.UNKNOWN,
                text="Another member coordinates the request now.",
            )
        )
        return
    if not control_state.is_open(entry):
        send(closed_reply(frame, entry))
        return
    service.submit(frame, send)


def closed_reply(frame, entry):
    """Builds the reply of a request that has its outcome."""
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
    """Hands a cancellation to the owner of its rack."""
    owner = service.node.rack_claimer.owners.get(frame.rack)
    if owner is None:
        send(frames.Reply(serial=frame.serial, status=Status.MOVED))
    else:
        owner.cancel(frame, send)


@server.handles(frames.Locate)
def handle_locate(service, frame, send):
    """Tells whether a rack of this process knows a request."""
    when_applied(service, frame, send, locate)


def locate(service, frame, send):
    """Asks the owner of the rack, if it is this process still."""
    owner = service.node.rack_claimer.owners.get(frame.rack)
    current = service.node.tail.state.owners.get(frame.rack)
    if owner is None or current.term != owner.term:
        send(frames.Reply(serial=frame.serial, status=Status.MOVED))
    else:
        owner.locate(frame, send)
