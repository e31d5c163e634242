"""Tests of decoding the platform's data, and where its names are used."""

import json
import pathlib
import re

import pytest

import cicadafold
from cicadafold import exception
from cicadafold.platform import boot
from cicadafold.platform import wire
from cicadafold.platform import worker_client

# Names in the platform's messages for which the other packages have names of
# their own; none of these may occur outside the adapter.
PLATFORM_NAMES = (
    "ackedThrough",
    "admissionCheck",
    "affinity",
    "apiKeys",
    "checkpointEnabled",
    "clockMs",
    "dependsOn",
    "estimateMs",
    "gangWaitMs",
    "holdMaxMs",
    "longRunning",
    "maxAttempts",
    "maxPerServer",
    "mayMiss",
    "memMb",
    "pathPrefix",
    "requiredLabel",
    "run-start",
    "sameRack",
    "targetLatencyMs",
    "tenant",
    "waitMs",
)


def test_platform_names_are_used_only_in_the_adapter():
    """No module outside of ``platform`` contains a name of its messages."""
    root = pathlib.Path(cicadafold.__file__).parent
    pattern = re.compile("|".join(map(re.escape, PLATFORM_NAMES)))
    found = [
        f"{path.relative_to(root)}: {match.group()}"
        for path in root.rglob("*.py")
        if "platform" not in path.relative_to(root).parts
        for match in pattern.finditer(path.read_text())
    ]
    assert found == []


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        b'{"service":"s"}',
        b'{"service":3,"address":"1","state":"ready","capacity":{}}',
        b'{"service":"s","address":"1","state":"odd","capacity":{}}',
    ],
)
def test_invalid_registry_entry_is_ignored(value):
    """An entry that is malformed or has an unknown state gives no report."""
    assert wire.parse_worker_report("i-1", value) is None


ENTRY = {
    "service": "p",
    "address": "127.0.0.1:8001",
    "state": "ready",
    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
    "zone": "z",
    "labels": ["a", "r1-3"],
    "born": 1_796_000_000_000,
    "sequence": 4,
}
FOREIGN_FIELDS = [
    {"sequence": 2**70},
    {"sequence": -1},
    {"sequence": 1.5},
    {"born": 2**64},
    {"born": -(2**63)},
    {"remainingMs": 2**64},
    {"capacity": {"cpu": 2**64}},
    {"capacity": {"memMb": -1}},
    {"capacity": {"gpu": 2**64}},
    {"service": "p" * 300},
    {"zone": "z" * 261_780},
    {"labels": ["a" * 300]},
    {"labels": ["a"] * 40_000},
    {"address": "h" * 64 + ":8001"},
    {"address": "localhost:8001"},
    {"address": "127.0.0.1"},
    {"address": "127.0.0.1:0"},
    {"address": "127.0.0.1:\u00b2"},
    {"address": "127.0.0.1:99999"},
    {"address": "127.0.0.1\n:8001"},
]


@pytest.mark.parametrize("fields", FOREIGN_FIELDS)
def test_entry_of_another_writer_names_no_worker(fields):
    """Each of these stopped all scheduling, or grew the journal's records."""
    value = json.dumps(ENTRY | fields).encode()
    assert wire.parse_worker_report("i-1", value) is None


@pytest.mark.parametrize("worker", ["", "i 1", "i\n1", "i" * 65, "i\u0000"])
def test_entry_under_an_unusable_name_names_no_worker(worker):
    """Each call of the worker carries its name in a header."""
    value = json.dumps(ENTRY).encode()
    assert wire.parse_worker_report("i-1", value) is not None
    assert wire.parse_worker_report(worker, value) is None


ANSWER = {
    "clockMs": 5,
    "born": 7,
    "running": [["ab.0.0.1", 2, "c", 41, 3]],
    "finished": [[58, "ab.0.0.2", 1, "done", ""]],
}


@pytest.mark.parametrize(
    "fields",
    [
        {"clockMs": 2**70},
        {"clockMs": -1},
        {"born": 2**64},
        {"running": [["ab.0.0.1", 2**64, "", 1, 0]]},
        {"finished": [[2**64, "ab.0.0.2", 1, "done", ""]]},
        {"finished": [[58, "ab.0.0.2", 2**64, "done", ""]]},
        {"finished": [[58, "ab.0.0.2", -1, "done", ""]]},
        {"running": [["x", 1, "", 1, 0]] * (wire.MAX_ROWS + 1)},
    ],
)
def test_inventory_with_a_number_out_of_range_is_refused(fields):
    """The journal cannot hold it, and the term ended when it was recorded."""
    with pytest.raises(exception.TargetUnreachable):
        worker_client.decode_inventory(json.dumps(ANSWER | fields).encode())


@pytest.mark.parametrize(
    "name", ["ab.0.0." + "9" * 30, "a" * 100 + ".0.0.1", "ab.0.0.-1"]
)
def test_task_name_out_of_range_is_not_parsed(name):
    """The names of a worker's tasks are recorded for the next term."""
    body = json.dumps(ANSWER | {"running": [[name, 2, "", 41, 3]]}).encode()
    assert worker_client.decode_inventory(body).running[0].name is None


def test_checkpoint_that_is_too_long_is_left_out():
    """A record of the job with it was refused, and all others behind it."""
    body = json.dumps(
        ANSWER | {"running": [["ab.0.0.1", 2, "c" * 300_000, 41, 3]]}
    ).encode()
    assert worker_client.decode_inventory(body).running[0].checkpoint == ""


def test_registry_entry_is_decoded():
    """A report has the entry's values; an unknown field is ignored."""
    value = {
        "service": "s",
        "address": "10.0.0.1:80",
        "state": "draining",
        "remainingMs": 400,
        "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 2},
        "labels": ["a", "r1-3"],
        "born": 7,
        "new": {"field": 1},
    }
    report = wire.parse_worker_report("i-1", json.dumps(value).encode())
    assert report.draining
    assert report.capacity.accelerators == 2
    assert (report.born_ms, report.remaining_ms) == (7, 400)


def test_task_names_round_trip():
    """A formatted name is parsed back; other texts give None."""
    name = wire.parse_task_name("ab.0.1.17")
    assert wire.format_task_name(name) == "ab.0.1.17"
    assert wire.parse_task_name("ab.0.x.1") is None
    assert wire.parse_task_name("") is None


def test_all_invalid_settings_are_listed():
    """Missing, mistyped and out-of-range fields are reported together."""
    document = {
        "nodeName": 3,
        "zone": "a",
        "region": "r",
        "ip": "127.0.0.1",
        "portRange": [9, 1],
        "listen": {"front": "127.0.0.1:1", "ready": "x"},
        "bounds": {"holdMaxMs": -1},
    }
    invalid = boot.check_document(document).error
    assert {setting.key for setting in invalid} == {
        "nodeName",
        "portRange",
        "listen.ready",
        "bounds.holdMaxMs",
        "platform.address",
    }
    assert all(setting.remedy for setting in invalid)
