"""Starts waiting work on the workers of a rack, urgent work first."""

import functools

from cicadafold import clock
from cicadafold.ownership import estimates
from cicadafold.ownership import rack_requests
from cicadafold.ownership import task_ids
from cicadafold.placement import capacity
from cicadafold.placement import policies
from cicadafold_schema import messages

__all__ = ["choose_links", "dispatch_queued", "try_start"]

State = rack_requests.RequestState


def dispatch_queued(owner):
    """Starts waiting work, urgent first, for as long as it fits."""
    if owner.retired:
        return
    while request := owner.lanes.first_urgent():
        if not start_queued(owner, request):
            break
    while request := owner.lanes.first_patient(
        functools.partial(is_below_quota, owner)
    ):
        if not start_queued(owner, request):
            break


def start_queued(owner, request):
    """Starts the work at the head of a lane if it fits.

    Work that would end too late is refused before it starts, so that
    its answer is a truthful "not run" and its slot serves others.
    """
    if estimates.would_be_late(owner, request, 0.0):
        owner.lanes.remove(request)
        estimates.refuse_late(
            owner, request, estimates.expected_wait_ms(owner, request)
        )
        return True
    if not try_start(owner, request, queued=True):
        return False
    owner.lanes.remove(request)
    if request.kind.lane is messages.Lane.patient:
        owner.lanes.charge(
            request,
            cost=request.kind.cores * request.kind.tasks / request.kind.worth,
            weight=owner.node.team_weight(request.team),
        )
    return True


def is_below_quota(owner, team):
    """Whether a team is below its quota on this rack."""
    quota = owner.node.team_quota_cores(team)
    return not quota or owner.held_cores[team] < quota


def headroom(owner, kind):
    """Returns the slots on each worker that a kind leaves free."""
    if kind.lane is messages.Lane.urgent:
        return 0
    return owner.node.headroom_slots()


def try_start(owner, request, *, queued=False):
    """Starts a request if all its tasks fit now."""
    if not queued and must_queue(owner, request):
        return False
    size = capacity.size_of_kind(request.kind)
    chosen = choose_links(owner, request, size)
    if not chosen:
        return False
    now_ms = clock.monotonic_ms()
    waited_ms = now_ms - request.arrived_ms
    request.waited_us = int(waited_ms * clock.MILLISECONDS)
    request.state = State.RUNNING
    request.ends = {}
    if request.kind.lane is messages.Lane.patient:
        owner.held_cores[request.team] += size.cores * len(chosen)
    for index, link in enumerate(chosen):
        task_id = task_ids.task_id(request.request_id, index, len(chosen))
        request.tasks[task_id] = link.start(
            task_id=task_id,
            size=size,
            payload=request.payload,
            lease_ms=request.kind.lease_ms,
            on_end=owner.on_task_end,
        )
    owner.node.events.add(
        request.request_id,
        "Started on %s by %s under term %d after %.1f ms.",
        ", ".join(link.name for link in chosen),
        request.kind.placement,
        owner.term,
        waited_ms,
    )
    return True


def must_queue(owner, request):
    """Whether work of the same lane waits ahead."""
    if request.kind.lane is messages.Lane.urgent:
        return bool(owner.lanes.urgent_count)
    return bool(len(owner.lanes)) or not is_below_quota(owner, request.team)


def choose_links(owner, request, size):
    """Chooses a worker for every task, or none at all."""
    kind = request.kind
    chosen = []
    for _ in range(kind.tasks):
        fitting = startable_links(owner, request, size)
        link = policies.choose(kind.placement, fitting, size)
        if link is None:
            break
        link.capacity.reserve(size)
        chosen.append(link)
    for link in chosen:
        link.capacity.release(size)
    return chosen if len(chosen) == kind.tasks else []


def startable_links(owner, request, size):
    """Returns the workers that could start a task now.

    A worker on which the request has failed is taken only if there
    is no other.
    """
    spare = headroom(owner, request.kind)
    fitting = [
        link
        for link in owner.links.values()
        if link.capacity.fits(size, headroom=spare) and link.is_available()
    ]
    if not request.failed_workers:
        return fitting
    others = [
        link for link in fitting if link.name not in request.failed_workers
    ]
    return others or fitting
