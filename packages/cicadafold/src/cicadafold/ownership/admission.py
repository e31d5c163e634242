"""Whether a request is started, sent on, queued or refused."""

import asyncio
import functools

from cicadafold import clock
from cicadafold.ownership import estimates
from cicadafold.ownership import rack_requests
from cicadafold.ownership import starting
from cicadafold.peerlink import frames

__all__ = ["admit", "set_deadline"]

Status = frames.ReplyStatus
State = rack_requests.RequestState


def admit(owner, request, *, hops):
    """Starts, redirects, queues or refuses a request."""
    if starting.try_start(owner, request):
        return
    rack = find_other_rack(owner, request, hops)
    if rack is not None:
        redirect_to(owner, request, rack)
        return
    wait_ms = estimates.expected_wait_ms(owner, request)
    if estimates.would_be_late(owner, request, wait_ms):
        estimates.refuse_late(owner, request, wait_ms)
        return
    request.state = State.QUEUED
    owner.lanes.push(request)
    owner.node.events.add(
        request.request_id,
        f"Queued at {owner.name} behind {len(owner.lanes) - 1} requests.",
    )


def find_other_rack(owner, request, hops):
    """Returns a rack that has room now, or None."""
    if hops or request.may_have_run:
        return None
    wait_ms = estimates.expected_wait_ms(owner, request)
    if estimates.lacks_workers(owner):
        wait_ms = request.deadline_ms - clock.monotonic_ms()
    return owner.node.rack_with_capacity(owner.name, request.kind, wait_ms)


def redirect_to(owner, request, rack):
    """Redirects the sender to another rack."""
    del owner.requests[request.request_id]
    owner.redirected[request.request_id] = rack
    owner.schedule_expiry(request)
    owner.node.events.add(
        request.request_id, f"{owner.name} is full. Sent on to {rack}."
    )
    request.finish(Status.REDIRECT, rack=rack)


def set_deadline(owner, request):
    """Arms the timer that answers by the deadline."""
    delay_s = (request.deadline_ms - clock.monotonic_ms()) / clock.MILLISECONDS
    loop = asyncio.get_running_loop()
    request.timer = loop.call_later(
        max(0.0, delay_s), functools.partial(on_deadline, owner), request
    )


def on_deadline(owner, request):
    """Gives the final answer of work whose deadline has passed."""
    if request.reply is not None:
        return
    if request.state is State.QUEUED:
        owner.lanes.remove(request)
        estimates.refuse_late(
            owner, request, estimates.expected_wait_ms(owner, request)
        )
        return
    for task in request.tasks.values():
        task.link.request_stop(task)
    request.finish(
        Status.UNKNOWN,
        started=True,
        text="The deadline passed while the request was on a target.",
    )
    owner.schedule_expiry(request)
