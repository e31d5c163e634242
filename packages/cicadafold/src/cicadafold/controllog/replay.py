"""Replays the control log: applies its records to the control state.

A registry holds one function per type of record. All of them are
deterministic, so that processes which apply the same entries hold the same
state. Conflicting records are thereby decided by their order on the log.
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
    """Returns a decorator that registers the function of a record type.

    Args:
        record_type: Class of the records that the function applies. Its
            arguments are the state, the record, and the log entry that
            holds the record.
    """

    def register(function):
        APPLY_FUNCTIONS[record_type] = function
        return function

    return register


@applies(records.Join)
def apply_join(state, record, entry):
    """Adds a process to the state; replaces its earlier incarnation."""
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
    """Marks a process as left, unless a newer incarnation has joined."""
    member = state.members.get(record.member)
    if member and member.incarnation == record.incarnation:
        member.left = True


@applies(records.Claim)
def apply_claim(state, record, entry):
    """Makes the claiming process the owner of a rack.

    A claim whose ``previous`` is no longer the rack's term has no effect.
    """
    owner = state.owners.get(record.rack)
    current_term = owner.term if owner else 0
    if record.previous != current_term:
        return
    state.owners[record.rack] = control_state.Ownership(
        member=record.member,
        incarnation=record.incarnation,
        term=entry.offset,
    )


@applies(records.RackHosts)
def apply_rack_hosts(state, record, entry):
    """Sets the workers on which the owner of a rack may start tasks.

    A record of an earlier term of the rack has no effect.
    """
    owner = state.owners.get(record.rack)
    if owner is not None and owner.term == record.term:
        state.rack_hosts[record.rack] = record.hosts


@applies(records.Accept)
def apply_accept(state, record, entry):
    """Adds a request to the state.

    A second accept record of the same request id has no effect, unless the
    request ended as not run: then it may be submitted again under its id.
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
    """Sets a new coordinator for an open request.

    A record whose ``previous`` is no longer the request's attempt has no
    effect.
    """
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
    """Sets the outcome of a request; only the first one has an effect."""
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
    """Marks an open request as cancelled."""
    request = state.requests.get(record.request_id)
    if request is not None and control_state.is_open(request):
        request.cancelled = True


@applies(records.Change)
def apply_change(state, record, entry):
    """Replaces the configuration and adds the change to the history.

    The change has no effect if it has been applied before, or if its base
    is not the current revision.
    """
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
    """Does nothing: the state already contains what the snapshot holds."""


def expire_requests(state, now_ms):
    """Removes requests that ended before the deduplication window.

    The requests are in the order of their acceptance, so that the search
    stops at the first one that was accepted within the window.

    Args:
        state: The state to change.
        now_ms: Log time of the last applied entry in milliseconds.
    """
    window_start_ms = now_ms - DEDUPLICATION_WINDOW_MS
    expired = []
    for request in state.requests.values():
        if request.accepted_ms > window_start_ms:
            break
        if request.outcome is not None and request.done_ms < window_start_ms:
            expired.append(request.request_id)
    for request_id in expired:
        del state.requests[request_id]


def apply_entry(state, entry):
    """Applies one entry of the log to the state.

    Args:
        state: The state after the preceding entry; changed in place.
        entry: The entry at offset ``state.offset + 1``.

    Returns:
        The records that the entry holds.
    """
    applied = records.decode_entry(entry.body)
    for record in applied:
        APPLY_FUNCTIONS[type(record)](state, record, entry)
    state.offset = entry.offset
    expire_requests(state, entry.at_ms)
    return applied


class StateReplay:
    """Replay of the control log in one process, with its state.

    A process that starts reads from the oldest entry that the log retains.
    Unless that is the first entry ever appended, the state is incomplete
    until a snapshot has been read that covers all entries before the first
    one read. Entries are buffered until then.

    Attributes:
        state: The state after the last applied entry.
        complete: Whether the state contains all entries of the log so far.
        buffer: Entries that wait for a snapshot.
    """

    def __init__(self):
        self.state = control_state.ControlState()
        self.complete = False
        self.buffer = []

    def start(self, oldest):
        """Sets whether the log still retains its first entry.

        Args:
            oldest: Offset of the oldest entry that the log retains.
        """
        self.complete = oldest <= 1

    def apply_entry(self, entry):
        """Applies the next entry, or buffers it while a snapshot is missing.

        Returns:
            The records that were applied; empty if the entry was buffered
            or is contained in the state already.
        """
        if self.complete:
            if entry.offset <= self.state.offset:
                return []
            return apply_entry(self.state, entry)
        return self.buffer_until_snapshot(entry)

    def buffer_until_snapshot(self, entry):
        """Buffers an entry; starts from a snapshot that the entry holds.

        A snapshot can be used if it covers all entries before the first
        buffered one.

        Returns:
            The records that were applied; empty without such a snapshot.
        """
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
        """Applies the buffered entries although earlier ones are lost."""
        self.complete = True
        entries, self.buffer = self.buffer, []
        for entry in entries:
            self.apply_entry(entry)

    def start_from_snapshot(self, snapshot):
        """Replaces the state by a snapshot and applies the entries after it.

        Returns:
            The records of the buffered entries that were applied.
        """
        self.state = msgspec.json.decode(
            snapshot.state, type=control_state.ControlState
        )
        self.complete = True
        applied = []
        for entry in self.buffer:
            if entry.offset > self.state.offset:
                applied.extend(apply_entry(self.state, entry))
        self.buffer = []
        return applied
