"""Tests of decoding the platform's data, and where its names are used."""

import json
import pathlib
import re

import pytest

import cicadafold
from cicadafold.platform import boot
from cicadafold.platform import wire

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
