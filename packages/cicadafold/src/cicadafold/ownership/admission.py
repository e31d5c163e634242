"""Whether a request is started, sent on, queued or refused."""

import asyncio
import functools

from cicadafold import clock
from cicadafold.ownership import estimates
from cicadafold.ownership import starting
from cicadafold.ownership import work as rack_work
from cicadafold.peerlink import frames

__all__ = ["admit", "set_deadline"]

Status = frames.ReplyStatus
State = rack_work.WorkState


def admit(owner, work, *, hops):
    """Starts, redirects, queues or refuses a request."""
    if starting.try_start(owner, work):
        return
    rack = better_rack(owner, work, hops)
    if rack is not None:
        send_on(owner, work, rack)
        return
    wait_ms = estimates.expected_wait_ms(owner, work)
    if estimates.would_be_late(owner, work, wait_ms):
        estimates.refuse_work(owner, work, wait_ms)
        return
    work.state = State.QUEUED
    owner.lanes.push(work)
    owner.node.events.add(
        work.request_id,
        f"Queued at {owner.name} behind {len(owner.lanes) - 1} requests.",
    )


def better_rack(owner, work, hops):
    """Returns a rack that has room now, or None."""
    if hops or work.may_have_run:
        return None
    wait_ms = estimates.expected_wait_ms(owner, work)
    if estimates.is_without_workers(owner):
        wait_ms = work.deadline_ms - clock.monotonic_ms()
    return owner.node.rack_with_capacity(owner.name, work.kind, wait_ms)


def send_on(owner, work, rack):
    """Redirects the sender to another rack."""
    del owner.works[work.request_id]
    owner.redirected[work.request_id] = rack
    owner.expire_later(work)
    owner.node.events.add(
        work.request_id, f"{owner.name} is full. Sent on to {rack}."
    )
    work.finish(Status.REDIRECT, rack=rack)


def set_deadline(owner, work):
    """Arms the timer that answers by the deadline."""
    delay_s = (work.deadline_ms - clock.monotonic_ms()) / clock.MILLISECONDS
    loop = asyncio.get_running_loop()
    work.timer = loop.call_later(
        max(0.0, delay_s), functools.partial(on_deadline, owner), work
    )


def on_deadline(owner, work):
    """Gives the final answer of work whose deadline has passed."""
    if work.reply is not None:
        return
    if work.state is State.QUEUED:
        owner.lanes.remove(work)
        estimates.refuse_work(
            owner, work, estimates.expected_wait_ms(owner, work)
        )
        return
    for task in work.tasks.values():
        task.link.request_stop(task)
    work.finish(
        Status.UNKNOWN,
        started=True,
        text="The deadline passed while the request was on a target.",
    )
    owner.expire_later(work)
