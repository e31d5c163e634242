"""API calls of operators: configuration, cell, drain, burn report."""

import asyncio

from cicadafold_schema import messages
import msgspec

from cicadafold import clock
from cicadafold.controllog import records
from cicadafold import exception
from cicadafold.placement import policies
from cicadafold.reports import burn
from cicadafold.service import caller_calls
from cicadafold.service import codec
from cicadafold.service import registry

__all__ = ["apply_configuration", "cell", "drain", "report_burn"]

APPLY_TIMEOUT_S = 3.0

CHANGE_DECODER = msgspec.json.Decoder(messages.ConfigurationChange)
BURN_DECODER = msgspec.json.Decoder(messages.BurnReport)


@registry.call("GET", "/v1/configuration", registry.Role.CALLER)
async def show_configuration(node, request):
    """Returns the configuration in force on this entry host."""
    return codec.json_response(node.tail.state.configuration)


@registry.call("GET", "/v1/configuration/history", registry.Role.OPERATOR)
async def history(node, request):
    """Returns the accepted changes of the configuration, newest last."""
    return codec.json_response(
        messages.History(entries=node.tail.state.history)
    )


@registry.call("POST", "/v1/configuration", registry.Role.OPERATOR)
async def apply_configuration(node, request):
    """Replaces the configuration and returns the one then in force.

    The call is answered after this process has applied the change. If the
    caller gets no answer, it can repeat the call: a change whose identifier
    is in the history is not applied again.

    Raises:
        Starting: The process is still starting.
        InvalidCall: The new configuration contradicts itself.
        RevisionConflict: The change is not based on the current revision.
        LogUnavailable: The change was not appended and never will be.
        OutcomeUnknown: The change may have been applied.
    """
    body = await codec.read_body(request)
    change = codec.decode(CHANGE_DECODER, body)
    caller_calls.require_ready(node)
    check_configuration(change.configuration)
    state = node.tail.state
    if not is_in_history(state, change):
        check_base_revision(state, change)
        await append_change(node, change)
    state = node.tail.state
    if not is_in_history(state, change):
        raise revision_conflict_error(state)
    return codec.json_response(state.configuration)


def check_configuration(configuration):
    """Checks a configuration for repeated names and invalid kinds.

    Raises:
        InvalidCall: The configuration contradicts itself.
    """
    for values, noun in (
        (configuration.kinds, "kind"),
        (configuration.teams, "team"),
    ):
        names = [value.name for value in values]
        repeated = {name for name in names if names.count(name) > 1}
        if repeated:
            raise exception.InvalidCall(
                message=f"The {noun} {min(repeated)!r} is defined twice.",
                remedy=f"Define each {noun} once.",
            )
    for kind in configuration.kinds:
        check_kind(kind)


def check_kind(kind):
    """Checks the placement policy of a kind, and its shape against its tasks.

    Raises:
        InvalidCall: There is no such policy, or a kind that is no gang has
            more than one task.
    """
    if kind.placement not in policies.POLICIES:
        known = ", ".join(sorted(policies.POLICIES))
        raise exception.InvalidCall(
            message=f"There is no placement policy {kind.placement!r}.",
            remedy=f"Use one of {known}.",
        )
    if kind.tasks > 1 and kind.shape is not messages.Shape.gang:
        raise exception.InvalidCall(
            message=f"The kind {kind.name!r} has several tasks, but its shape "
            "is not gang.",
            remedy="Set its shape to gang, or its tasks to 1.",
        )


def is_in_history(state, change):
    """Whether a change is in the history of the configuration."""
    return any(e.change_id == change.change_id for e in state.history)


def check_base_revision(state, change):
    """Checks that a change is based on the current revision.

    Raises:
        RevisionConflict: The change is based on another revision.
    """
    if change.base_revision != state.configuration.revision:
        raise revision_conflict_error(state)


def revision_conflict_error(state):
    """Returns the error for a change that is based on another revision."""
    current = state.configuration.revision
    return exception.RevisionConflict(
        message=f"The current revision is {current}, not that of the change.",
        remedy="Merge the change into the current revision and apply that.",
    )


async def append_change(node, change):
    """Appends a change to the control log and waits until it is applied here.

    Raises:
        LogUnavailable: The change was not appended and never will be.
        OutcomeUnknown: The change may have been appended.
    """
    record = records.Change(
        change_id=change.change_id,
        base_revision=change.base_revision,
        author=change.author,
        configuration=change.configuration,
    )
    tail = node.tail
    try:
        async with asyncio.timeout(APPLY_TIMEOUT_S):
            offset = await node.appender.append(record)
    except (exception.LinkLost, TimeoutError) as error:
        raise change_unconfirmed_error() from error
    applied = await tail.wait_until(
        lambda: tail.state.offset >= offset, timeout_s=APPLY_TIMEOUT_S
    )
    if not applied:
        raise change_unconfirmed_error()


def change_unconfirmed_error():
    """Returns the error for a change that may have been applied."""
    return exception.OutcomeUnknown(
        message="The control log did not confirm the change in time.",
        remedy="Repeat it with the same change id; it is applied once.",
        retry_after_ms=clock.MS_PER_S,
    )


@registry.call("GET", "/v1/cell", registry.Role.OPERATOR)
async def cell(node, request):
    """Returns the members, the racks and their owners, as seen here."""
    state = node.tail.state
    return codec.json_response(
        messages.Cell(
            member=node.name,
            revision=state.configuration.revision,
            log_offset=state.offset,
            members=[
                describe_member(node, member)
                for member in state.members.values()
                if not member.left
            ],
            racks=[
                describe_rack(node, rack) for rack in node.hosts.racks.values()
            ],
        )
    )


def describe_member(node, member):
    """Returns a member with its state: alive, draining or gone."""
    state = "alive" if node.view.is_alive(member) else "gone"
    if state == "alive" and node.view.is_draining(member):
        state = "draining"
    return messages.Member(
        name=member.name,
        address=member.address,
        failure_domain=member.failure_domain,
        region=member.region,
        state=state,
    )


def describe_rack(node, rack):
    """Returns a rack with its owner and the figures of its last digest."""
    owner = node.tail.state.owners.get(rack.name)
    digest = node.view.digests.get(rack.name)
    return messages.Rack(
        name=rack.name,
        region=rack.region,
        owner=owner.member if owner else "",
        term=owner.term if owner else 0,
        workers=len(rack.hosts),
        free_slots=digest.free_slots if digest else 0,
        queued=digest.queued if digest else 0,
    )


@registry.call("POST", "/v1/drain", registry.Role.OPERATOR)
async def drain(node, request):
    """Starts the drain of this entry host, after which it stops."""
    node.stop_requested.set()
    return codec.json_response(
        messages.DrainReply(member=node.name, state="draining"), status=202
    )


@registry.call("GET", "/v1/reports/burn", registry.Role.OPERATOR)
async def report_burn(node, request):
    """Returns the burn report merged over all reachable entry hosts."""
    reports = [local_burn_report(node)]
    unreachable = []
    peers = caller_calls.alive_peers(node)
    bodies = await asyncio.gather(
        *(
            caller_calls.get_from_peer(node, peer, "/peer/burn")
            for peer in peers
        )
    )
    for peer, body in zip(peers, bodies, strict=True):
        if body is None:
            unreachable.append(peer.name)
        else:
            reports.append(BURN_DECODER.decode(body))
    return codec.json_response(burn.merge_reports(reports, unreachable))


def local_burn_report(node):
    """Returns the burn report of the answers of this process."""
    return node.answer_counts.report(
        node.name, node.tail.state.configuration.kinds
    )
