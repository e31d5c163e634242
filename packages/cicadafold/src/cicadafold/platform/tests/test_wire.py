"""Tests of the adapter: decoding, and that its words stay in it."""

import json
import pathlib
import re

import pytest

import cicadafold
from cicadafold.platform import boot
from cicadafold.platform import wire

# Names of the platform's messages that mean something else in this project
# or nothing at all; none may appear outside the adapter.
FOREIGN_WORDS = (
    "ackedThrough",
    "admissionCheck",
    "affinity",
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
    "waitMs",
)


def test_words_of_the_platform_stay_in_the_adapter():
    """No module outside the adapter knows the platform's names."""
    root = pathlib.Path(cicadafold.__file__).parent
    pattern = re.compile("|".join(map(re.escape, FOREIGN_WORDS)))
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
def test_damaged_entry_names_no_worker(value):
    """An entry that cannot be read is left out."""
    assert wire.parse_host_report("i-1", value) is None


def test_entry_of_a_worker_is_read():
    """Capacity, labels and the start of its life are decoded."""
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
    report = wire.parse_host_report("i-1", json.dumps(value).encode())
    assert report.draining
    assert report.capacity.accelerators == 2
    assert (report.born_ms, report.remaining_ms) == (7, 400)


def test_task_names_round_trip():
    """A task's name is read as it was written; others name nothing."""
    name = wire.parse_task_name("ab.0.1.17")
    assert wire.format_task_name(name) == "ab.0.1.17"
    assert wire.parse_task_name("ab.0.x.1") is None
    assert wire.parse_task_name("") is None


def test_all_faults_of_the_settings_are_listed():
    """Missing, mistyped and senseless fields are named together."""
    document = {
        "nodeName": 3,
        "zone": "a",
        "region": "r",
        "ip": "127.0.0.1",
        "portRange": [9, 1],
        "listen": {"front": "127.0.0.1:1", "ready": "x"},
        "bounds": {"holdMaxMs": -1},
    }
    faults = boot.check_document(document).error
    assert {fault.key for fault in faults} == {
        "nodeName",
        "portRange",
        "listen.ready",
        "bounds.holdMaxMs",
        "platform.address",
    }
    assert all(fault.remedy for fault in faults)
