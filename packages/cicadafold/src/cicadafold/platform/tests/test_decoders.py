"""Fuzzed tests of all decoders: bad input is refused, nothing else happens.

Each decoder gets random bytes, random JSON, and valid documents with values
replaced at random. It may return a result or raise the errors that its
callers handle; any other error would end a component of the process.
"""

import asyncio
import json
import unittest.mock
import zlib

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
import pytest

from cicadafold.configuration import changes as configuration_changes
from cicadafold.configuration import history
from cicadafold.election import terms
from cicadafold import exception
from cicadafold.jobs import model
from cicadafold.journal import records
from cicadafold.peers import messages
from cicadafold.platform import boot
from cicadafold.platform import codec
from cicadafold.platform import configuration_source
from cicadafold.platform import log_store
from cicadafold.platform import registry
from cicadafold.platform import wire
from cicadafold.platform import worker_client
from cicadafold.telemetry import metrics

RULE = model.QueueRule(name="q", authority="h", prefix="/", pool="p")
STEP = {"count": 2, "cpu": 500, "dependsOn": [], "gang": True}
ROUTE = {
    "name": "q",
    "host": "h",
    "pathPrefix": "/q/",
    "service": "p",
    "advice": {"decideMs": 1, "eachMs": 2, "validMs": 3},
}
TENANT = {
    "name": "t",
    "apiKeys": ["key-1", "key-2"],
    "weight": 2.5,
    "cap": {"cpu": 1000, "memMb": 10, "gpu": 0},
}
DOCUMENTS = [
    {"spec": "x", "steps": [STEP], "repeats": 2, "intervalMs": 5},
    {"version": 3, "routes": [ROUTE], "services": [{"name": "p"}]},
    {
        "version": 4,
        "routes": [ROUTE | {"anonymous": True}],
        "tenants": [TENANT, {"name": "other", "apiKeys": []}],
    },
    {
        "service": "p",
        "address": "a:1",
        "state": "ready",
        "capacity": {"cpu": 1},
        "labels": ["r1-3"],
        "born": 5,
    },
    {
        "clockMs": 5,
        "born": 7,
        "running": [["ab.0.0.1", 2, "c", 41, 3]],
        "finished": [[58, "ab.0.0.2", 1, "done", ""]],
    },
    {"items": [{"key": "k", "value": "YQ==", "offset": 3}], "end": 4},
    {"generation": 3, "parts": [["t", 0, 0]]},
    {"offset": 3, "end": 4},
    {"reason": "seq", "sequence": 4},
    {"member": "m", "address": "a:1", "term": 3},
    ["state", 3, "ab"],
    {
        "base": -1,
        "revision": 4,
        "version": 3,
        "pools": {"p": {"name": "p"}},
        "max_body_bytes": 9,
        "removed": ["q"],
        "count": 0,
        "checksum": 0,
    },
    {
        "base": -1,
        "revision": 4,
        "version": 3,
        "pools": {},
        "max_body_bytes": 9,
        "removed": [],
        "count": 0,
        "checksum": 0,
        "teams": {"t": {"name": "t", "weight": 2.5, "cap": [1, 2, 3]}},
        "keys": {},
    },
    {"t": ["0123456789abcdef0123456789abcdef"]},
    ["state", 3, "ab", "t"],
    {"type": "state-is", "number": 3, "ready": True, "foreign": True},
    {"nodeName": "n", "listen": {"front": "1.2.3.4:5"}, "bounds": {}},
]
LEAVES = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False)
    | st.sampled_from([1e308, -1, 2**70, "", "²", "a.²", "ab.0.0.1"])
    | st.text(max_size=5)
)
VALUES = st.recursive(
    LEAVES,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=4), inner, max_size=4)
    ),
    max_leaves=8,
)


@st.composite
def damaged(draw):
    """Draws a valid document in which some values are replaced."""

    def damage(value):
        if draw(st.integers(0, 5)) == 0:
            return draw(VALUES)
        if isinstance(value, dict):
            return {key: damage(each) for key, each in value.items()}
        if isinstance(value, list):
            return [damage(each) for each in value]
        return value

    return damage(draw(st.sampled_from(DOCUMENTS)))


def pack(document):
    """Encodes a document as MessagePack, or as text if it cannot be."""
    try:
        return msgspec.msgpack.encode(document)
    except OverflowError:
        return repr(document).encode()


BODIES = (
    st.binary(max_size=60)
    | damaged().map(lambda found: json.dumps(found).encode())
    | damaged().map(pack)
    | st.sampled_from([b"[" * 5000, b'{"a":' * 5000, b"1e999", b"\xff"])
)


def store_with(body):
    """Returns a store client whose every call is answered with a body."""
    store = log_store.LogStore(
        session=unittest.mock.MagicMock(),
        address="127.0.0.1:1",
        metrics=metrics.Metrics(),
    )
    answer = store.session.request.return_value.__aenter__.return_value
    answer.status = 200
    answer.read = unittest.mock.AsyncMock(return_value=body)
    return store


def decode_store_answers(body):
    """Decodes a body as the answer to each call of the store."""
    store = store_with(body)
    for call in (
        lambda: store.append("t", 0, [("k", b"v")]),
        lambda: store.read("t", 0, 0),
        lambda: store.newest("t", 0),
        lambda: store.join("g", "m", "t", ttl_ms=1000, generation=0),
    ):
        try:
            asyncio.run(call())
        except (exception.LogUnavailable, exception.LinkLost):
            continue


def read_configuration(body):
    """Reads a body as the newest configuration in the store."""
    record = codec.encode_keyed(configuration_source.KEY, body)
    answer = codec.BOUNDS.pack(1, 0) + codec.encode_records([record])
    source = configuration_source.ConfigurationSource(store=store_with(answer))
    reading = asyncio.run(source.next(0, wait_ms=0))
    assert reading.end == 1


def read_changes(body):
    """Reads a body as changes of the configuration, as it is and packed."""
    for each in (body, zlib.compress(body), zlib.compress(body + b"\n")):
        try:
            changes = asyncio.run(configuration_changes.decode(each))
            history.History().apply(changes)
        except (msgspec.DecodeError, exception.ChangesDoNotFit):
            continue


def read_registry(body):
    """Reads a body as the entry of a worker in the store."""
    source = registry.RegistrySource(store=None)

    async def changes():
        return {"i-1": body}, True

    source.tail.changes = changes
    asyncio.run(source.changes())


def read_claim(body):
    """Reads a body as a claim in the log."""
    tail = terms.ClaimsTail(store=None, on_claim=lambda claim: None)
    tail.apply_record(terms.KEY, body, 3)


def read_keys(body):
    """Reads a body as a line of keys in changes of the configuration."""
    changes = configuration_changes.Changes(
        base=-1,
        revision=1,
        version=1,
        pools={},
        max_body_bytes=1,
        removed=[],
        count=0,
        checksum=0,
        keys={},
    )
    configuration_changes.add_keys(changes, body)


DECODERS = {
    "job": (
        lambda body: wire.parse_job(body, job="a", rule=RULE, accepted_ms=1),
        (ValueError, msgspec.MsgspecError),
    ),
    "configuration": (read_configuration, ()),
    "configuration changes": (read_changes, ()),
    "configuration keys": (read_keys, (msgspec.DecodeError,)),
    "registry entry": (read_registry, ()),
    "claim": (read_claim, ()),
    "inventory": (
        worker_client.decode_inventory,
        (exception.TargetUnreachable,),
    ),
    "command": (lambda body: worker_client.command_result(409, body), ()),
    "peer message": (messages.decode, (msgspec.MsgspecError,)),
    "job record": (records.decode_spec, (msgspec.MsgspecError,)),
    "progress": (records.decode_progress, (msgspec.MsgspecError,)),
    "workers": (records.decode_workers, (msgspec.MsgspecError,)),
    "record key": (
        lambda body: records.parse_key(body.decode(errors="replace")),
        (),
    ),
    "store answer": (decode_store_answers, ()),
}


@pytest.mark.parametrize("name", DECODERS)
@settings(max_examples=300, deadline=None, derandomize=True)
@given(body=BODIES)
def test_decoder_refuses_bad_input(name, body):
    """It returns a result or raises only what its callers handle."""
    decode, refusals = DECODERS[name]
    try:
        decode(body)
    except refusals:
        pass


@settings(max_examples=200, deadline=None, derandomize=True)
@given(document=damaged())
def test_settings_file_is_checked(document):
    """Every fault of the settings is reported, whatever the values are."""
    if isinstance(document, dict):
        boot.check_document(document)


def test_job_with_too_many_tasks_is_refused():
    """The scheduler keeps each task of a job in memory."""
    body = json.dumps({"steps": [{"count": 100_000}] * 300}).encode()
    with pytest.raises(ValueError, match="tasks in total"):
        wire.parse_job(body, job="a", rule=RULE, accepted_ms=1)
