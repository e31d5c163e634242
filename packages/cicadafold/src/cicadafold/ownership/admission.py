"""Decides whether a request is started, redirected, queued or refused."""

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
    """Starts, redirects, queues or refuses a request.

    The request is started if it fits now, redirected if another rack has
    free capacity, and queued if it can still end before its deadline.

    Args:
        owner: ``RackOwner`` of the rack.
        request: ``RackRequest`` that has no tasks.
        hops: How often the request was redirected.
    """
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
    owner.queue.push(request)
    owner.node.events.add(
        request.request_id,
        f"Queued for {owner.name} behind {len(owner.queue) - 1} requests.",
    )


def find_other_rack(owner, request, hops):
    """Returns another rack with free capacity for a request, or None.

    A request that was redirected before, or that may have run here, stays.
    """
    if hops or request.may_have_run:
        return None
    wait_ms = estimates.expected_wait_ms(owner, request)
    if estimates.lacks_workers(owner):
        wait_ms = request.deadline_ms - clock.monotonic_ms()
    return owner.node.rack_with_capacity(owner.name, request.kind, wait_ms)


def redirect_to(owner, request, rack):
    """Redirects the senders of a request to another rack.

    Later dispatches of the request are redirected to it as well.
    """
    del owner.requests[request.request_id]
    owner.redirected[request.request_id] = rack
    owner.schedule_expiry(request)
    owner.node.events.add(
        request.request_id,
        f"{owner.name} has no free capacity. Redirected to {rack}.",
    )
    request.finish(Status.REDIRECT, rack=rack)


def set_deadline(owner, request):
    """Starts the timer that answers a request at its deadline."""
    delay_s = (request.deadline_ms - clock.monotonic_ms()) / clock.MS_PER_S
    loop = asyncio.get_running_loop()
    request.timer = loop.call_later(
        max(0.0, delay_s), functools.partial(on_deadline, owner), request
    )


def on_deadline(owner, request):
    """Gives the final answer to a request whose deadline has passed.

    A queued request is refused. For any other one the stop of its tasks is
    requested and the answer is ``UNKNOWN``.
    """
    if request.reply is not None:
        return
    if request.state is State.QUEUED:
        owner.queue.remove(request)
        estimates.refuse_late(
            owner, request, estimates.expected_wait_ms(owner, request)
        )
        return
    for task in request.tasks.values():
        task.link.request_stop(task)
    request.finish(
        Status.UNKNOWN,
        started=True,
        text="The deadline passed before the outcome was known.",
    )
    owner.schedule_expiry(request)
