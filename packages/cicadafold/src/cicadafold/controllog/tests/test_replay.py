"""Replay agrees with a naive scan, also when it starts from a snapshot."""

from hypothesis import given
from hypothesis import strategies as st
import msgspec

from cicadafold.controllog import records
from cicadafold.controllog import replay
from cicadafold.platform import messages as platform
from cicadafold_schema import messages

MEMBERS = st.sampled_from(["a", "b", "c"])
RACKS = st.sampled_from(["r1", "r2"])
REQUESTS = st.sampled_from(["q1", "q2", "q3"])
PREVIOUS = st.integers(0, 12)


def configuration():
    return messages.Configuration(revision=0, kinds=[], teams=[])


claims = st.builds(
    records.Claim,
    rack=RACKS,
    member=MEMBERS,
    incarnation=st.just("i"),
    previous=PREVIOUS,
)
accepts = st.builds(
    records.Accept,
    request_id=REQUESTS,
    member=MEMBERS,
    incarnation=st.just("i"),
    nonce=st.uuids().map(str),
    kind=st.just("k"),
    team=st.just("t"),
    region=st.just("r"),
    deadline_ms=st.just(1000),
)
adopts = st.builds(
    records.Adopt,
    request_id=REQUESTS,
    member=MEMBERS,
    incarnation=st.just("i"),
    previous=PREVIOUS,
)
dones = st.builds(
    records.Done,
    request_id=REQUESTS,
    outcome=st.sampled_from([messages.Outcome.done, messages.Outcome.not_run]),
)
changes = st.builds(
    records.Change,
    change_id=st.sampled_from(["c1", "c2", "c3", "c4"]),
    base_revision=st.integers(0, 3),
    author=st.just(""),
    configuration=st.builds(configuration),
)
streams = st.lists(
    st.lists(claims | accepts | adopts | dones | changes, max_size=3),
    max_size=12,
)


def entries_of(stream):
    """Returns log entries, one for each batch of records."""
    return [
        platform.LogEntry(
            offset=offset,
            at_ms=offset * 10,
            body=msgspec.Raw(records.encode_entry(batch)),
        )
        for offset, batch in enumerate(stream, start=1)
    ]


def replay_all(entries):
    """Returns the state after entries that start with the log's first."""
    state_replay = replay.StateReplay()
    state_replay.start(1)
    for entry in entries:
        state_replay.apply_entry(entry)
    return state_replay.state


def naive_owner(stream, rack):
    """Returns owner and term of a rack by a scan of its claims."""
    term = 0
    owner = None
    for offset, batch in enumerate(stream, start=1):
        for record in batch:
            if isinstance(record, records.Claim) and record.rack == rack:
                if record.previous == term:
                    term, owner = offset, record.member
    return (owner, term)


def naive_attempt(stream, request_id):
    """Returns coordinator, attempt and outcome of a request by a scan."""
    found = None
    for offset, batch in enumerate(stream, start=1):
        for record in batch:
            if getattr(record, "request_id", None) != request_id:
                continue
            if isinstance(record, records.Accept):
                if found is None or found[2] is messages.Outcome.not_run:
                    found = (record.member, offset, None)
            elif found is None or found[2] is not None:
                continue
            elif isinstance(record, records.Done):
                found = (*found[:2], record.outcome)
            elif record.previous == found[1]:
                found = (record.member, offset, None)
    return found


@given(streams)
def test_owners_agree_with_naive_scan(stream):
    state = replay_all(entries_of(stream))
    for rack in ("r1", "r2"):
        owner = state.owners.get(rack)
        found = (owner.member, owner.term) if owner else (None, 0)
        assert found == naive_owner(stream, rack)


@given(streams)
def test_requests_agree_with_naive_scan(stream):
    state = replay_all(entries_of(stream))
    for request_id in ("q1", "q2", "q3"):
        entry = state.requests.get(request_id)
        found = entry and (entry.coordinator, entry.attempt, entry.outcome)
        assert found == naive_attempt(stream, request_id)


@given(streams)
def test_revision_increases_once_per_change(stream):
    state_replay = replay.StateReplay()
    state_replay.start(1)
    last = 0
    for entry in entries_of(stream):
        state_replay.apply_entry(entry)
        revision = state_replay.state.configuration.revision
        assert last <= revision
        last = revision
    identifiers = [e.change_id for e in state_replay.state.history]
    assert len(identifiers) == len(set(identifiers)) == last


@given(streams, st.integers(0, 12), st.integers(0, 12))
def test_replay_from_snapshot_equals_full_replay(stream, through, cut):
    """A process that cannot read the first entries gets the same state."""
    entries = entries_of(stream)
    through = min(through, len(entries))
    cut = min(cut, through)
    snapshot = records.Snapshot(
        through=through,
        state=msgspec.Raw(msgspec.json.encode(replay_all(entries[:through]))),
    )
    last = platform.LogEntry(
        offset=len(entries) + 1,
        at_ms=len(entries) * 10 + 10,
        body=msgspec.Raw(records.encode_entry([snapshot])),
    )
    partial_replay = replay.StateReplay()
    partial_replay.start(max(2, cut + 1))
    for entry in [*entries[cut:], last]:
        partial_replay.apply_entry(entry)
    full_state = replay_all([*entries, last])
    assert partial_replay.complete
    assert msgspec.to_builtins(partial_replay.state) == msgspec.to_builtins(
        full_state
    )


def test_replay_without_first_entry_or_snapshot_is_incomplete():
    partial_replay = replay.StateReplay()
    partial_replay.start(7)
    partial_replay.apply_entry(
        platform.LogEntry(offset=7, at_ms=1, body=msgspec.Raw(b"[]"))
    )
    assert not partial_replay.complete


def test_ended_requests_are_removed_after_deduplication_window():
    accept = records.Accept(
        request_id="q",
        member="a",
        incarnation="i",
        nonce="n",
        kind="k",
        team="t",
        region="r",
        deadline_ms=1,
    )
    done = records.Done(request_id="q", outcome=messages.Outcome.done)
    state_replay = replay.StateReplay()
    state_replay.start(1)
    window = replay.DEDUPLICATION_WINDOW_MS
    times = [0, 1, window - 1, window + 2]
    batches = [[accept], [done], [], []]
    kept = []
    for offset, (at_ms, batch) in enumerate(
        zip(times, batches, strict=True), start=1
    ):
        body = msgspec.Raw(records.encode_entry(batch))
        state_replay.apply_entry(
            platform.LogEntry(offset=offset, at_ms=at_ms, body=body)
        )
        kept.append("q" in state_replay.state.requests)
    assert kept == [True, True, True, False]
