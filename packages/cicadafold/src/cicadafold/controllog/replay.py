"""Folds records into the agreed state, by a registry of functions.

Every function is deterministic: members that fold the same entries hold
the same state, which is what makes the order of the log decide.
"""

from cicadafold_schema import messages
import msgspec

from cicadafold.controllog import records
from cicadafold.controllog import state as control_state

__all__ = ["DEDUPLICATION_WINDOW_MS", "StateReplay", "apply_entry"]

DEDUPLICATION_WINDOW_MS = 600_000
MAX_HISTORY = 1000

APPLY_FUNCTIONS = {}


def applies(record_type):
    """Registers the function that folds one type of record."""

    def register(function):
        APPLY_FUNCTIONS[record_type] = function
        return function

    return register


@applies(records.Join)
def apply_join(state, record, entry):
    """Registers a member; its older incarnation counts as gone."""
    state.members[record.member] = control_state.MemberEntry(
        name=record.member,
        incarnation=record.incarnation,
        address=record.address,
        failure_domain=record.failure_domain,
        region=record.region,
        joined_at=entry.offset,
    )


@applies(records.Leave)
def apply_leave(state, record, entry):
    """Marks the incarnation of a member as gone."""
    member = state.members.get(record.member)
    if member and member.incarnation == record.incarnation:
        member.left = True


@applies(records.Claim)
def apply_claim(state, record, entry):
    """Gives a rack a new owner if nobody else came first."""
    owner = state.owners.get(record.rack)
    current = owner.term if owner else 0
    if record.previous != current:
        return
    state.owners[record.rack] = control_state.Ownership(
        member=record.member,
        incarnation=record.incarnation,
        term=entry.offset,
    )


@applies(records.RackHosts)
def apply_rack_hosts(state, record, entry):
    """Records the workers that the owner of a rack may use."""
    owner = state.owners.get(record.rack)
    if owner is not None and owner.term == record.term:
        state.rack_hosts[record.rack] = record.hosts


@applies(records.Accept)
def apply_accept(state, record, entry):
    """Records a request; a later accept of the same id is a duplicate.

    A request that was not run may be submitted again under its id.
    """
    known = state.requests.get(record.request_id)
    if known is not None:
        if known.outcome is not messages.Outcome.not_run:
            return
        del state.requests[record.request_id]
    state.requests[record.request_id] = control_state.RequestEntry(
        request_id=record.request_id,
        coordinator=record.member,
        incarnation=record.incarnation,
        nonce=record.nonce,
        attempt=entry.offset,
        kind=record.kind,
        team=record.team,
        region=record.region,
        accepted_ms=entry.at_ms,
        deadline_ms=record.deadline_ms,
        payload=record.payload,
    )


@applies(records.Adopt)
def apply_adopt(state, record, entry):
    """Gives an open request a new coordinator."""
    request = state.requests.get(record.request_id)
    if request is None or not control_state.is_open(request):
        return
    if request.attempt != record.previous:
        return
    request.coordinator = record.member
    request.incarnation = record.incarnation
    request.attempt = entry.offset


@applies(records.Done)
def apply_done(state, record, entry):
    """Closes a request; the first outcome holds."""
    request = state.requests.get(record.request_id)
    if request is None or not control_state.is_open(request):
        return
    request.outcome = record.outcome
    request.result = record.result
    request.worker = record.worker
    request.code = record.code
    request.done_ms = entry.at_ms
    request.payload = ""


@applies(records.CancelMark)
def apply_cancel(state, record, entry):
    """Marks a request as cancelled."""
    request = state.requests.get(record.request_id)
    if request is not None and control_state.is_open(request):
        request.cancelled = True


@applies(records.Change)
def apply_change(state, record, entry):
    """Puts a configuration in force if its base is the current one."""
    if any(e.change_id == record.change_id for e in state.history):
        return
    if record.base_revision != state.configuration.revision:
        return
    record.configuration.revision = record.base_revision + 1
    state.configuration = record.configuration
    state.history.append(
        messages.HistoryEntry(
            revision=state.configuration.revision,
            change_id=record.change_id,
            author=record.author,
            at_ms=entry.at_ms,
        )
    )
    del state.history[:-MAX_HISTORY]


@applies(records.Snapshot)
def apply_snapshot(state, record, entry):
    """Needs nothing: a member that folds has this state already."""


def expire_requests(state, now_ms):
    """Forgets requests that were done before the window.

    Requests are in the order of their acceptance, so that only the oldest
    are looked at.
    """
    limit = now_ms - DEDUPLICATION_WINDOW_MS
    expired = []
    for request in state.requests.values():
        if request.accepted_ms > limit:
            break
        if request.outcome is not None and request.done_ms < limit:
            expired.append(request.request_id)
    for request_id in expired:
        del state.requests[request_id]


def apply_entry(state, entry):
    """Folds one entry of the log into the state.

    Args:
        state: The state after the entry before this one.
        entry: The entry at offset ``state.offset + 1``.

    Returns:
        The records that the entry holds.
    """
    found = records.decode_entry(entry.body)
    for record in found:
        APPLY_FUNCTIONS[type(record)](state, record, entry)
    state.offset = entry.offset
    expire_requests(state, entry.at_ms)
    return found


class StateReplay:
    """Folds entries, and starts from a snapshot where needed.

    A new member sees entries from the oldest that the log keeps. Unless
    this is the first ever, its state is incomplete until a snapshot whose
    ``through`` is not before the oldest entry seen has come by.
    """

    def __init__(self):
        self.state = control_state.ControlState()
        self.complete = False
        self.buffer = []

    def start(self, oldest):
        """Notes the oldest entry that the log keeps."""
        self.complete = oldest <= 1

    def apply_entry(self, entry):
        """Takes the next entry and returns the records it holds."""
        if self.complete:
            if entry.offset <= self.state.offset:
                return []
            return apply_entry(self.state, entry)
        return self.buffer_until_snapshot(entry)

    def buffer_until_snapshot(self, entry):
        """Buffers an entry until a usable snapshot is found."""
        self.buffer.append(entry)
        first = self.buffer[0].offset
        for record in records.decode_entry(entry.body):
            usable = (
                isinstance(record, records.Snapshot)
                and record.through >= first - 1
            )
            if usable:
                return self.start_from_snapshot(record)
        return []

    def start_without_snapshot(self):
        """Folds what was buffered although earlier entries are lost."""
        self.complete = True
        entries, self.buffer = self.buffer, []
        for entry in entries:
            self.apply_entry(entry)

    def start_from_snapshot(self, snapshot):
        """Takes over a snapshot and folds what came after it."""
        self.state = msgspec.json.decode(
            snapshot.state, type=control_state.ControlState
        )
        self.complete = True
        found = []
        for entry in self.buffer:
            if entry.offset > self.state.offset:
                found.extend(apply_entry(self.state, entry))
        self.buffer = []
        return found
