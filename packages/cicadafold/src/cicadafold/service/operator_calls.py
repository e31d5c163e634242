"""Calls of operators: configuration, cell, drain, burn report."""

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
    """Shows the configuration in force on this entry host."""
    return codec.json_response(node.tail.state.configuration)


@registry.call("GET", "/v1/configuration/history", registry.Role.OPERATOR)
async def history(node, request):
    """Lists the accepted changes, newest last."""
    return codec.json_response(
        messages.History(entries=node.tail.state.history)
    )


@registry.call("POST", "/v1/configuration", registry.Role.OPERATOR)
async def apply_configuration(node, request):
    """Replaces the configuration that the change is based on.

    The call is answered once this member has folded the change, so that a
    lost answer to the append does no harm: the history tells.
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
    """Refuses a configuration that contradicts itself."""
    for values, noun in (
        (configuration.kinds, "kind"),
        (configuration.teams, "team"),
    ):
        names = [value.name for value in values]
        twice = {name for name in names if names.count(name) > 1}
        if twice:
            raise exception.InvalidCall(
                message=f"The {noun} {min(twice)!r} is there twice.",
                remedy=f"Name each {noun} once.",
            )
    for kind in configuration.kinds:
        check_kind(kind)


def check_kind(kind):
    """Refuses a kind whose policy does not exist or makes no sense."""
    if kind.placement not in policies.POLICIES:
        known = ", ".join(sorted(policies.POLICIES))
        raise exception.InvalidCall(
            message=f"There is no placement policy {kind.placement!r}.",
            remedy=f"Use one of {known}.",
        )
    if kind.tasks > 1 and kind.shape is not messages.Shape.gang:
        raise exception.InvalidCall(
            message=f"The kind {kind.name!r} has tasks but is no gang.",
            remedy="Set its shape to gang, or its tasks to 1.",
        )


def is_in_history(state, change):
    """Whether the history holds a change."""
    return any(e.change_id == change.change_id for e in state.history)


def check_base_revision(state, change):
    """Refuses a change that is based on another revision."""
    if change.base_revision != state.configuration.revision:
        raise revision_conflict_error(state)


def revision_conflict_error(state):
    """Builds the error of a change that lost a race."""
    current = state.configuration.revision
    return exception.RevisionConflict(
        message=f"The configuration is at revision {current}.",
        remedy="Show it, merge your change, and apply it on that base.",
    )


async def append_change(node, change):
    """Appends a change and waits until it is folded here."""
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
    """Builds the error of a change that may yet be in force."""
    return exception.OutcomeUnknown(
        message="The log did not confirm the change.",
        remedy="Apply the same change id again; it is applied once.",
        retry_after_ms=clock.MILLISECONDS,
    )


@registry.call("GET", "/v1/cell", registry.Role.OPERATOR)
async def cell(node, request):
    """Shows members, racks and their owners."""
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
    """Returns the row of one member."""
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
    """Returns the row of one rack."""
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
    """Drains this entry host and stops it gracefully."""
    node.stop_requested.set()
    return codec.json_response(
        messages.DrainReply(member=node.name, state="draining"), status=202
    )


@registry.call("GET", "/v1/reports/burn", registry.Role.OPERATOR)
async def report_burn(node, request):
    """Reports service-level burn over all reachable entry hosts."""
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
    """Returns this member's own burn report."""
    return node.burn.report(node.name, node.tail.state.configuration.kinds)
