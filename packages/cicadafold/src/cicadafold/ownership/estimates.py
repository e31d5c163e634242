"""How long work waits and runs, and refusals of what is too late."""

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
    """Refuses work that would miss its deadline."""
    owner.requests.pop(request.request_id, None)
    status = Status.UNKNOWN if request.may_have_run else Status.REFUSED
    request.finish(
        status,
        code=messages.ErrorCode.overloaded.value,
        text=f"The wait at {owner.name} is longer than the deadline.",
        retry_after_ms=max(MIN_RETRY_AFTER_MS, int(wait_ms)),
    )


def expected_wait_ms(owner, request):
    """Estimates how long work that arrives now would wait."""
    slots = sum(
        link.capacity.slots
        for link in owner.links.values()
        if link.is_available()
    )
    lane = request.kind.lane
    if lane is messages.Lane.urgent:
        ahead = owner.lanes.urgent_count
    else:
        ahead = len(owner.lanes)
    if not slots:
        return 0.0
    return ahead * owner.mean_run_ms[lane] / slots


def lacks_workers(owner):
    """Whether no worker has taken work for longer than a takeover takes."""
    if clock.monotonic_ms() - owner.started_ms < TAKEOVER_MS:
        return False
    return not any(link.is_available() for link in owner.links.values())


def would_be_late(owner, request, wait_ms):
    """Whether work that waits would end after its deadline."""
    run_ms = owner.kind_run_ms[request.kind.name]
    end_ms = clock.monotonic_ms() + wait_ms + run_ms
    return end_ms > request.deadline_ms
