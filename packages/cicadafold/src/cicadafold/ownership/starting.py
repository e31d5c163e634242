"""Starts waiting work on the workers of a rack, urgent work first."""

import functools

from cicadafold import clock
from cicadafold.ownership import estimates
from cicadafold.ownership import task_names
from cicadafold.ownership import work as rack_work
from cicadafold.placement import capacity
from cicadafold.placement import policies
from cicadafold_schema import messages

__all__ = ["choose_links", "pump", "try_start"]

State = rack_work.WorkState


def pump(owner):
    """Starts waiting work, urgent first, for as long as it fits."""
    if owner.retired:
        return
    while work := owner.lanes.peek_urgent():
        if not start_queued(owner, work):
            break
    while work := owner.lanes.peek_patient(
        functools.partial(team_may_start, owner)
    ):
        if not start_queued(owner, work):
            break


def start_queued(owner, work):
    """Starts the work at the head of a lane if it fits.

    Work that would end too late is refused before it starts, so that
    its answer is a truthful "not run" and its slot serves others.
    """
    if estimates.would_be_late(owner, work, 0.0):
        owner.lanes.remove(work)
        estimates.refuse_work(
            owner, work, estimates.expected_wait_ms(owner, work)
        )
        return True
    if not try_start(owner, work, queued=True):
        return False
    owner.lanes.remove(work)
    if work.kind.lane is messages.Lane.patient:
        owner.lanes.charge_team(
            work,
            cost=work.kind.cores * work.kind.tasks / work.kind.worth,
            weight=owner.node.team_weight(work.team),
        )
    return True


def team_may_start(owner, team):
    """Whether a team is below its quota on this rack."""
    quota = owner.node.team_quota_cores(team)
    return not quota or owner.held_cores[team] < quota


def headroom(owner, kind):
    """Returns the slots on each worker that a kind leaves free."""
    if kind.lane is messages.Lane.urgent:
        return 0
    return owner.node.headroom_slots()


def try_start(owner, work, *, queued=False):
    """Starts a request if all its tasks fit now."""
    if not queued and must_queue(owner, work):
        return False
    size = capacity.resources_of_kind(work.kind)
    chosen = choose_links(owner, work, size)
    if not chosen:
        return False
    now_ms = clock.monotonic_ms()
    waited_ms = now_ms - work.arrived_ms
    work.waited_us = int(waited_ms * clock.MILLISECONDS)
    work.state = State.RUNNING
    work.ends = {}
    if work.kind.lane is messages.Lane.patient:
        owner.held_cores[work.team] += size.cores * len(chosen)
    for index, link in enumerate(chosen):
        task_id = task_names.task_id(work.request_id, index, len(chosen))
        work.tasks[task_id] = link.start(
            task_id=task_id,
            size=size,
            payload=work.payload,
            lease_ms=work.kind.lease_ms,
            on_end=owner.on_task_end,
        )
    owner.node.events.add(
        work.request_id,
        "Started on %s by %s under term %d after %.1f ms.",
        ", ".join(link.name for link in chosen),
        work.kind.placement,
        owner.term,
        waited_ms,
    )
    return True


def must_queue(owner, work):
    """Whether work of the same lane waits ahead."""
    if work.kind.lane is messages.Lane.urgent:
        return bool(owner.lanes.urgent_count)
    return bool(len(owner.lanes)) or not team_may_start(owner, work.team)


def choose_links(owner, work, size):
    """Chooses a worker for every task, or none at all."""
    kind = work.kind
    chosen = []
    for _ in range(kind.tasks):
        fitting = candidates(owner, work, size)
        link = policies.choose(kind.placement, fitting, size)
        if link is None:
            break
        link.capacity.reserve(size)
        chosen.append(link)
    for link in chosen:
        link.capacity.release(size)
    return chosen if len(chosen) == kind.tasks else []


def candidates(owner, work, size):
    """Returns the workers that could start a task now.

    A worker on which the request has failed is taken only if there
    is no other.
    """
    spare = headroom(owner, work.kind)
    fitting = [
        link
        for link in owner.links.values()
        if link.capacity.fits(size, headroom=spare) and link.available()
    ]
    if not work.avoided:
        return fitting
    others = [link for link in fitting if link.name not in work.avoided]
    return others or fitting
