"""API calls of callers: submit, status, wait, cancel, explain."""

import asyncio
import time

import aiohttp
from cicadafold_schema import messages
import msgspec

from cicadafold import clock
from cicadafold.controllog import records
from cicadafold.controllog import state as control_state
from cicadafold.coordination import answers
from cicadafold.coordination import request_dispatcher
from cicadafold import exception
from cicadafold.peerlink import frames
from cicadafold.service import codec
from cicadafold.service import registry

__all__ = ["cancel", "explain", "status", "submit", "wait"]

ANSWER_TIMEOUT_S = 30.0
PEER_TIMEOUT_S = 1.0
CATCH_UP_TIMEOUT_S = 1.0
US_PER_S = 1_000_000

SUBMIT_DECODER = msgspec.json.Decoder(messages.SubmitRequest)
EXPLANATION_DECODER = msgspec.json.Decoder(messages.Explanation)


def require_ready(node):
    """Checks that this process has joined the cell and can serve callers.

    Raises:
        Starting: The process is still starting.
    """
    if not node.is_ready():
        raise exception.Starting(
            message="This entry host is starting.",
            remedy="Make the call again after retry_after_ms.",
            retry_after_ms=clock.MS_PER_S,
        )


def require_kind_and_team(node, submit):
    """Checks the kind and the team of a request, and returns the kind.

    Args:
        node: ``Node`` of this process.
        submit: The caller's request.

    Raises:
        UnknownKind: The configuration has no such kind.
        UnknownTeam: The configuration has no such team.
    """
    kind = node.kind(submit.kind)
    if kind is None:
        raise exception.UnknownKind(
            message=f"There is no kind {submit.kind!r}.",
            remedy="Use a kind that `cicadafold kind list` shows.",
        )
    if node.team(submit.team) is None:
        raise exception.UnknownTeam(
            message=f"There is no team {submit.team!r}.",
            remedy="Use a team that `cicadafold team list` shows.",
        )
    return kind


@registry.call("POST", "/v1/requests", registry.Role.CALLER)
async def submit(node, request):
    """Runs a request and answers with its result.

    If the caller does not wait, the answer says that it was accepted.
    """
    start_s = time.perf_counter()
    body = await codec.read_body(request)
    submit_request = codec.decode(SUBMIT_DECODER, body)
    require_ready(node)
    kind = require_kind_and_team(node, submit_request)
    good = False
    try:
        answer = await run_request(node, submit_request, kind)
        good = answer.outcome is not messages.Outcome.failed
    except exception.CicadafoldError as error:
        node.metrics.count(
            "answers", kind=kind.name, outcome=error.outcome.value
        )
        raise
    finally:
        elapsed_s = time.perf_counter() - start_s
        in_time = elapsed_s * clock.MS_PER_S <= kind.objective_ms
        node.answer_counts.count_answer(kind.name, good=good and in_time)
    record_answer_metrics(node, kind, answer, elapsed_s)
    accepted = answer.outcome is messages.Outcome.accepted
    return codec.json_response(answer, status=202 if accepted else 200)


def record_answer_metrics(node, kind, answer, elapsed_s):
    """Records the metrics of an answered request.

    Args:
        node: ``Node`` of this process.
        kind: Kind of the request.
        answer: The answer.
        elapsed_s: Seconds from the arrival of the call to the answer.
    """
    metrics = node.metrics
    metrics.count("answers", kind=kind.name, outcome=answer.outcome.value)
    metrics.record_us("answer_time", elapsed_s * US_PER_S, kind=kind.name)
    if answer.decision_us:
        metrics.record_us("decision", answer.decision_us, kind=kind.name)
    metrics.record_us("waiting", answer.waited_us, kind=kind.name)


async def run_request(node, submit_request, kind):
    """Runs a request and returns its answer.

    A request that is durable, a service or not idempotent is recorded on
    the control log before it is placed; others are placed at once.

    Args:
        node: ``Node`` of this process.
        submit_request: The caller's request.
        kind: Its kind.

    Raises:
        CicadafoldError: The request was not done.
    """
    budget_ms = submit_request.deadline_ms or kind.deadline_ms
    deadline_ms = clock.monotonic_ms() + budget_ms
    is_service = kind.shape is messages.Shape.service
    if kind.durable or is_service or not kind.idempotent:
        return await node.coordinator.submit(submit_request, kind, deadline_ms)
    request = request_dispatcher.PendingRequest(
        submit=submit_request,
        kind=kind,
        deadline_ms=deadline_ms,
        first=submit_request.attempt == 1,
    )
    reply = await node.coordinator.dispatcher.dispatch(request)
    return answers.answer_of_reply(submit_request.request_id, reply)


async def recorded_entry(node, request_id):
    """Returns the entry of a recorded request.

    If the control state has no entry, the control log is read to its end
    first, as another entry host may just have accepted the request.

    Raises:
        Starting: The process is still starting.
        UnknownRequest: The control log has no record of the request.
        OutcomeUnknown: The control log did not answer in time, so there may
            be a record of the request.
    """
    require_ready(node)
    entry = node.tail.state.requests.get(request_id)
    if entry is None:
        caught_up = await node.tail.catch_up(timeout_s=CATCH_UP_TIMEOUT_S)
        entry = node.tail.state.requests.get(request_id)
        if entry is None:
            raise missing_entry_error(caught_up)
    return entry


def missing_entry_error(caught_up):
    """Returns the error for a request without an entry.

    Args:
        caught_up: Whether the control log has been read to its end.
    """
    if caught_up:
        return exception.UnknownRequest(
            message="There is no record of this request.",
            remedy="Submit it again with the same request id and attempt 2.",
        )
    return exception.OutcomeUnknown(
        message="The control log did not answer, and this entry host has no "
        "record of the request.",
        remedy="Make the call again after retry_after_ms.",
        retry_after_ms=clock.MS_PER_S,
    )


@registry.call("GET", "/v1/requests/{request_id}", registry.Role.CALLER)
async def status(node, request):
    """Reports the state of a recorded request without waiting."""
    entry = await recorded_entry(node, request.match_info["request_id"])
    return codec.json_response(status_answer(node, entry))


def status_answer(node, entry):
    """Returns the state of a recorded request as an ``Answer``."""
    outcome = entry.outcome
    if outcome is None:
        running = entry.request_id in node.coordinator.running_replies
        outcome = messages.Outcome.accepted
        if running:
            outcome = messages.Outcome.running
    return messages.Answer(
        request_id=entry.request_id,
        outcome=outcome,
        result=entry.result,
        worker=entry.worker,
    )


@registry.call("POST", "/v1/requests/{request_id}/wait", registry.Role.CALLER)
async def wait(node, request):
    """Waits for the final answer of a recorded request."""
    entry = await recorded_entry(node, request.match_info["request_id"])
    submit_request = messages.SubmitRequest(
        request_id=entry.request_id, kind=entry.kind, team=entry.team
    )
    deadline_ms = clock.monotonic_ms() + ANSWER_TIMEOUT_S * clock.MS_PER_S
    answer = await node.coordinator.wait_for_answer(
        submit_request, deadline_ms
    )
    return codec.json_response(answer)


@registry.call(
    "POST", "/v1/requests/{request_id}/cancel", registry.Role.CALLER
)
async def cancel(node, request):
    """Cancels a request and stops its running tasks.

    The owners of all racks are called in turn until one has the request, as
    no record says which rack it was placed on.
    """
    require_ready(node)
    request_id = request.match_info["request_id"]
    entry = node.tail.state.requests.get(request_id)
    if entry is not None and not control_state.is_open(entry):
        return codec.json_response(status_answer(node, entry))
    lane = messages.Lane.urgent
    for rack in list(node.hosts.racks):
        reply = await cancel_on_rack(node, rack, request_id, lane)
        if reply is None or reply.status is frames.ReplyStatus.REFUSED:
            continue
        return codec.json_response(answer_cancellation(node, entry, reply))
    if entry is None:
        raise exception.UnknownRequest(
            message="No owner of a rack has this request.",
            remedy="Check the request id; it has ended or was never accepted.",
        )
    raise exception.OutcomeUnknown(
        message="The owner of the request could not be reached.",
        remedy="Cancel it again after retry_after_ms.",
        retry_after_ms=clock.MS_PER_S,
    )


async def cancel_on_rack(node, rack, request_id, lane):
    """Cancels a request at the owner of a rack.

    A redirected request is cancelled at the rack that it was redirected to.

    Args:
        node: ``Node`` of this process.
        rack: Name of the rack.
        request_id: Identifier of the request.
        lane: Priority lane of the call.

    Returns:
        The owner's reply; None if the rack has no live owner, or if the
        owner did not answer or no longer owns the rack.
    """
    owner = node.coordinator.dispatcher.live_owner(rack)
    if owner is None:
        return None
    frame = frames.CancelFrame(serial=0, rack=rack, request_id=request_id)
    try:
        reply = await node.call_member(
            owner, lane, frame, timeout_s=ANSWER_TIMEOUT_S
        )
    except (exception.LinkNotOpen, exception.LinkLost, TimeoutError):
        return None
    if reply.status is frames.ReplyStatus.MOVED:
        return None
    if reply.status is frames.ReplyStatus.REDIRECT:
        return await cancel_on_rack(node, reply.rack, request_id, lane)
    return reply


def answer_cancellation(node, entry, reply):
    """Returns the answer to a cancellation.

    A cancelled request with an entry is recorded as done on the control log.

    Args:
        node: ``Node`` of this process.
        entry: Entry of the request, or None if it was not recorded.
        reply: Reply of the owner of the rack.
    """
    outcome = answers.OUTCOME_BY_STATUS[reply.status]
    request_id = entry.request_id if entry else ""
    if entry is not None and outcome is messages.Outcome.cancelled:
        node.appender.append_in_background(
            records.Done(request_id=request_id, outcome=outcome)
        )
    return messages.Answer(
        request_id=request_id or "-",
        outcome=outcome,
        result=reply.result,
        worker=reply.worker,
    )


@registry.call(
    "GET", "/v1/requests/{request_id}/explain", registry.Role.CALLER
)
async def explain(node, request):
    """Returns the events of a request from all live members, oldest first.

    They say why a request waits, or where and why it was placed.
    """
    request_id = request.match_info["request_id"]
    found = node.events.events(request_id)
    for events in await asyncio.gather(
        *(
            fetch_peer_events(node, peer, request_id)
            for peer in alive_peers(node)
        )
    ):
        found.extend(events)
    if not found:
        raise exception.UnknownRequest(
            message="No reachable member has events of this request.",
            remedy="Check the request id; events of old requests are dropped.",
        )
    found.sort(key=lambda event: event.at_ms)
    return codec.json_response(
        messages.Explanation(request_id=request_id, events=found)
    )


def alive_peers(node):
    """Returns the other members that are considered alive."""
    members = node.view.alive_members()
    return [m for m in members if not node.view.is_self(m)]


async def fetch_peer_events(node, peer, request_id):
    """Returns the events of a request from a peer; none if it fails."""
    path = f"/peer/events/{request_id}"
    body = await get_from_peer(node, peer, path)
    if body is None:
        return []
    return EXPLANATION_DECODER.decode(body).events


async def get_from_peer(node, peer, path):
    """Makes a GET call to a peer.

    Args:
        node: ``Node`` of this process.
        peer: Member to call.
        path: URL path of the call.

    Returns:
        The body of the reply; None if the peer did not answer within
        ``PEER_TIMEOUT_S`` or answered with another status than 200.
    """
    url = f"http://{node.resolve(peer.address)}{path}"
    timeout = aiohttp.ClientTimeout(total=PEER_TIMEOUT_S)
    try:
        async with node.session.get(
            url, timeout=timeout, headers=node.peer_headers()
        ) as reply:
            return await reply.read() if reply.status == 200 else None
    except (aiohttp.ClientError, TimeoutError, OSError):
        return None
