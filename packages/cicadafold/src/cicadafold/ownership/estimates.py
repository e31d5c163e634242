"""Estimates of wait and end times, and refusal of requests that are late."""

from cicadafold import clock
from cicadafold.peerlink import frames
from cicadafold_schema import messages

__all__ = [
    "expected_wait_ms",
    "lacks_workers",
    "refuse_late",
    "would_be_late",
]

MIN_RETRY_AFTER_MS = 50
TAKEOVER_MS = 1000

Status = frames.ReplyStatus


def refuse_late(owner, request, wait_ms):
    """Refuses a request that cannot end before its deadline.

    A request that may have run is answered as unknown instead.

    Args:
        owner: ``RackOwner`` of the rack.
        request: ``RackRequest`` that is neither queued nor running.
        wait_ms: Expected wait in milliseconds, after which the caller may
            try again.
    """
    owner.requests.pop(request.request_id, None)
    status = Status.UNKNOWN if request.may_have_run else Status.REFUSED
    request.finish(
        status,
        code=messages.ErrorCode.overloaded.value,
        text=f"{owner.name} cannot end the request before its deadline.",
        retry_after_ms=max(MIN_RETRY_AFTER_MS, int(wait_ms)),
    )


def expected_wait_ms(owner, request):
    """Returns the expected wait of a request in milliseconds.

    The requests queued ahead of it are assumed to run for the mean run time
    of its lane, spread over the slots of the available workers. Patient
    requests wait for both lanes, urgent ones only for the urgent lane.
    Without available workers the estimate is 0.
    """
    slots = sum(
        link.capacity.slots
        for link in owner.links.values()
        if link.is_available()
    )
    lane = request.kind.lane
    if lane is messages.Lane.urgent:
        ahead = owner.queue.urgent_count
    else:
        ahead = len(owner.queue)
    if not slots:
        return 0.0
    return ahead * owner.mean_run_ms[lane] / slots


def lacks_workers(owner):
    """Whether no worker is available although a takeover should be over.

    False for the first ``TAKEOVER_MS`` of a term: the owner may still be
    fencing its workers.
    """
    if clock.monotonic_ms() - owner.started_ms < TAKEOVER_MS:
        return False
    return not any(link.is_available() for link in owner.links.values())


def would_be_late(owner, request, wait_ms):
    """Whether a request would end after its deadline.

    Args:
        owner: ``RackOwner`` of the rack.
        request: The ``RackRequest``.
        wait_ms: Milliseconds until its start. The mean run time of its kind
            is added.
    """
    run_ms = owner.kind_run_ms[request.kind.name]
    end_ms = clock.monotonic_ms() + wait_ms + run_ms
    return end_ms > request.deadline_ms
