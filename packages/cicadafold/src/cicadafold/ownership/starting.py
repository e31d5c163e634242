"""Starts queued requests on the workers of a rack, urgent ones first."""

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
    """Starts queued requests, urgent ones first, until the next does not fit.

    Patient requests follow in the order of the teams' fair shares; teams at
    their quota are skipped.
    """
    if owner.retired:
        return
    while request := owner.queue.peek_urgent():
        if not start_queued(owner, request):
            break
    while request := owner.queue.peek_patient(
        functools.partial(is_below_quota, owner)
    ):
        if not start_queued(owner, request):
            break


def start_queued(owner, request):
    """Starts or refuses the request at the head of a lane.

    A request that would end after its deadline is refused before it starts:
    the caller then knows that it has not run, and the slot stays free for
    others.

    Returns:
        Whether the request has left the queue.
    """
    if estimates.would_be_late(owner, request, 0.0):
        owner.queue.remove(request)
        estimates.refuse_late(
            owner, request, estimates.expected_wait_ms(owner, request)
        )
        return True
    if not try_start(owner, request, queued=True):
        return False
    owner.queue.remove(request)
    if request.kind.lane is messages.Lane.patient:
        owner.queue.charge_team(
            request,
            cost=request.kind.cores * request.kind.tasks / request.kind.worth,
            weight=owner.node.team_weight(request.team),
        )
    return True


def is_below_quota(owner, team):
    """Whether a team is below its quota of cores in this rack.

    A quota of 0 is unlimited.
    """
    quota = owner.node.team_quota_cores(team)
    return not quota or owner.held_cores[team] < quota


def headroom(owner, kind):
    """Returns how many slots a start must leave free on a worker.

    Patient requests leave the configured headroom to urgent ones.
    """
    if kind.lane is messages.Lane.urgent:
        return 0
    return owner.node.headroom_slots()


def try_start(owner, request, *, queued=False):
    """Starts a request if all its tasks fit now.

    Args:
        owner: ``RackOwner`` of the rack.
        request: ``RackRequest`` that has no tasks.
        queued: Whether the request is the next one of its lane, so that it
            need not wait for others.

    Returns:
        Whether the request was started.
    """
    if not queued and must_queue(owner, request):
        return False
    resources = capacity.resources_of_kind(request.kind)
    chosen = choose_links(owner, request, resources)
    if not chosen:
        return False
    now_ms = clock.monotonic_ms()
    waited_ms = now_ms - request.arrived_ms
    request.waited_us = int(waited_ms * clock.US_PER_MS)
    request.state = State.RUNNING
    request.ends = {}
    if request.kind.lane is messages.Lane.patient:
        owner.held_cores[request.team] += resources.cores * len(chosen)
    for index, link in enumerate(chosen):
        task_id = task_ids.task_id(request.request_id, index, len(chosen))
        request.tasks[task_id] = link.start(
            task_id=task_id,
            resources=resources,
            payload=request.payload,
            lease_ms=request.kind.lease_ms,
            on_end=owner.on_task_end,
        )
    owner.node.events.add(
        request.request_id,
        "Started on %s by policy %s in term %d after a wait of %.1f ms.",
        ", ".join(link.name for link in chosen),
        request.kind.placement,
        owner.term,
        waited_ms,
    )
    return True


def must_queue(owner, request):
    """Whether a new request must wait for queued ones or for its quota.

    Urgent requests wait only for urgent ones, patient ones for all.
    """
    if request.kind.lane is messages.Lane.urgent:
        return bool(owner.queue.urgent_count)
    return bool(len(owner.queue)) or not is_below_quota(owner, request.team)


def choose_links(owner, request, resources):
    """Returns a link for each task of a request, or none if some do not fit.

    Capacity is reserved only while choosing, so that two tasks of a gang do
    not count the same capacity.
    """
    kind = request.kind
    chosen = []
    for _ in range(kind.tasks):
        fitting = startable_links(owner, request, resources)
        link = policies.choose(kind.placement, fitting, resources)
        if link is None:
            break
        link.capacity.reserve(resources)
        chosen.append(link)
    for link in chosen:
        link.capacity.release(resources)
    return chosen if len(chosen) == kind.tasks else []


def startable_links(owner, request, resources):
    """Returns the links to the workers that could start a task now.

    Workers on which the request has failed are returned only if no other
    worker fits.
    """
    headroom_slots = headroom(owner, request.kind)
    fitting = [
        link
        for link in owner.links.values()
        if link.capacity.fits(resources, headroom=headroom_slots)
        and link.is_available()
    ]
    if not request.failed_workers:
        return fitting
    others = [
        link for link in fitting if link.name not in request.failed_workers
    ]
    return others or fitting
