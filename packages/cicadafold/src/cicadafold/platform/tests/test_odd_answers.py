"""Tests of odd settings, configurations, registry entries and answers."""

import asyncio
import json
import logging
import unittest.mock

import aiohttp
import pytest

from cicadafold import exception
from cicadafold.platform import advice_client
from cicadafold.platform import boot
from cicadafold.platform import codec
from cicadafold.platform import configuration_source
from cicadafold.platform import registry
from cicadafold.platform import store_answers
from cicadafold.platform import wire
from cicadafold.platform import wire_configuration

SETTINGS = {
    "nodeName": "n",
    "zone": "a",
    "region": "r",
    "ip": "127.0.0.1",
    "portRange": [9, 10],
    "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"},
    "platform": {"address": "127.0.0.1:3"},
}
ODD_NUMBERS = [float("nan"), float("inf"), 10**400, 1e308, -1, 0, "1", [1]]
NUMBERS = ["bounds.holdMaxMs", "platform.ttlMinMs", "bounds.checkpointS"]
ODD_PORTS = [[0, 1], [-2, -1], [65535, 65536], [70000, 70001], [False, True]]
ROUTE = {"name": "q", "host": "h", "pathPrefix": "/q/", "service": "p"}
ODD_ROUTES = [
    {"priority": 2**70},
    {"maxAttempts": 2**70},
    {"stretch": 1e308},
    {"stretch": -1.0},
    {"targetLatencyMs": 1e308},
    {"targetLatencyMs": -1},
    {"advice": {"decideMs": 1e308, "eachMs": 1e308}},
]
ENTRY = {
    "service": "p",
    "address": "127.0.0.1:9001",
    "state": "ready",
    "capacity": {"cpu": 1},
}
ODD_ENTRIES = [
    b"[" * 100_000,
    b'{"a":' * 100_000,
    b"9" * 5000,
    b"\xff",
    *(
        json.dumps(ENTRY | odd).encode()
        for odd in (
            {"born": 2**64},
            {"born": -1},
            {"sequence": 2**64},
            {"capacity": {"cpu": 2**64}},
            {"capacity": {"cpu": -1}},
            {"address": "127.0.0.1:65536"},
            {"address": "127.0.0.1:\u0663"},
            {"address": 7},
            {"labels": ["x"] * 1000},
            {"state": "odd"},
        )
    ),
]
ODD_ROWS = [
    ["ab.0.0.\u0661", 1, "", 1, 0],
    ["ab.0.0.1", 1, "", "nan", 0],
    ["ab.0.0.1", 1, "", "inf", "inf"],
    ["ab.0.0.1", 1, "", 10**300, "nan"],
    ["ab.0.0.1", 1, "", -5, 0],
]


@pytest.mark.parametrize("value", ODD_NUMBERS, ids=repr)
@pytest.mark.parametrize("path", NUMBERS)
def test_odd_number_of_the_settings_is_reported(path, value):
    """An infinite one ended the process with an error of its own."""
    section, _, name = path.partition(".")
    changed = SETTINGS.get(section, {}) | {name: value}
    found = boot.check_document(SETTINGS | {section: changed})
    assert [setting.key for setting in found.error] == [path]


@pytest.mark.parametrize("ports", ODD_PORTS)
def test_odd_port_range_of_the_settings_is_reported(ports):
    """The process ended when it listened on such a port."""
    found = boot.check_document(SETTINGS | {"portRange": ports})
    assert [setting.key for setting in found.error] == ["portRange"]


@pytest.mark.parametrize("odd", ODD_ROUTES, ids=repr)
def test_configuration_with_an_odd_rule_is_not_used(odd):
    """No job of the queue could be recorded, or each ended the term."""
    body = json.dumps({"version": 1, "routes": [ROUTE | odd]}).encode()
    with pytest.raises(ValueError, match="out of range"):
        wire_configuration.parse_configuration(body)


@pytest.mark.parametrize(
    "document",
    [
        {"version": 2**70},
        {"version": -1},
        {"version": 1, "limits": {"maxBodyBytes": 2**70}},
        {"version": 1, "limits": {"maxBodyBytes": -1}},
    ],
    ids=repr,
)
def test_configuration_with_an_odd_number_is_not_used(document):
    """It could not be encoded for the peers."""
    body = json.dumps(document).encode()
    with pytest.raises(ValueError, match="out of range"):
        wire_configuration.parse_configuration(body)


def test_configuration_after_an_odd_one_is_read(caplog):
    """The reader must go on, and log the odd one once."""
    bodies = [
        json.dumps({"version": 1, "routes": [ROUTE | ODD_ROUTES[0]]}),
        "[" * 100_000,
        json.dumps({"version": 2, "routes": [ROUTE]}),
    ]
    store = unittest.mock.Mock()
    store.read = unittest.mock.AsyncMock(
        side_effect=[
            store_answers.Page(3, [("config", body.encode())])
            for body in bodies
        ]
    )
    source = configuration_source.ConfigurationSource(store=store)

    async def read_all():
        return [await source.next(end, wait_ms=0) for end in range(3)]

    with caplog.at_level(logging.WARNING):
        readings = asyncio.run(read_all())
    assert [each.configuration is None for each in readings] == [1, 1, 0]
    assert len(caplog.records) == 2


@pytest.mark.parametrize("value", ODD_ENTRIES, ids=range(len(ODD_ENTRIES)))
def test_odd_registry_entry_hides_no_other_worker(value, caplog):
    """Each reading must yield the others and log the odd entry once."""
    source = registry.RegistrySource(store=None)
    good = json.dumps(ENTRY).encode()

    async def changes():
        return {"odd": value, "i-1": good}, True

    source.tail.changes = changes
    with caplog.at_level(logging.WARNING):
        for _ in range(3):
            found = asyncio.run(source.changes())
            assert found["odd"] is None
            assert found["i-1"].address == ENTRY["address"]
    assert len(caplog.records) == 1


@pytest.mark.parametrize("row", ODD_ROWS, ids=repr)
def test_odd_progress_of_a_worker_is_in_range(row):
    """Numbers that are not finite reached the estimates of all workers."""
    report = wire.parse_run_report(row)
    assert 0 <= report.percent <= 100
    assert abs(report.reading) < float("inf")
    assert report.name is None or report.name.index == 1
    assert (report.name is None) == (not row[0].isascii())


def test_record_without_a_text_key_is_skipped():
    """A number as key ended the component that read the partition."""
    items = [
        {"key": 5, "value": "YQ=="},
        {"key": None, "value": "YQ=="},
        {"key": ["a"], "value": "YQ=="},
        {"key": "a", "value": 7},
        {"key": "a", "value": "YQ==", "offset": "x"},
        [],
        None,
        {"key": "good", "value": "YQ==", "offset": 3},
    ]
    body = json.dumps({"items": items, "end": 9}).encode()
    page = store_answers.decode_newest(body)
    assert [record.key for record in page.records] == ["good"]


@pytest.mark.parametrize("size", [0, 1, 5, 255])
def test_odd_record_of_a_page_leaves_the_others(size):
    """A key that is cut, or not UTF-8, must not hide later records."""
    odd = bytes((size,)) + b"\xff" * (size // 2)
    body = codec.BOUNDS.pack(2, 0) + codec.encode_records(
        [odd, codec.encode_keyed("good", b"v")]
    )
    assert store_answers.decode_page(body).entries[1] == ("good", b"v")


@pytest.mark.parametrize(
    "body",
    [
        b"[" * 100_000,
        b"9" * 5000,
        b'{"granted": [["i-1"]]}',
        b'{"granted": [["i-1", 7]]}',
        b'{"granted": {"i-1": "t"}}',
        b'{"granted": [[["i-1"], "t"]]}',
        b"\xff",
        b"",
    ],
)
def test_odd_answer_to_advice_is_no_answer(body):
    """Its step must ask again, as for a service that does not answer."""
    session = unittest.mock.MagicMock(spec=aiohttp.ClientSession)
    answer = session.post.return_value.__aenter__.return_value
    answer.status = 200
    answer.read = unittest.mock.AsyncMock(return_value=body)
    client = advice_client.AdviceClient(session=session, address="a:1")
    with pytest.raises(exception.TargetUnreachable):
        asyncio.run(client.advise("ab", 0, 0, ["i-1"], timeout_s=1.0))
