"""Tests of addresses that a peer or another writer has damaged.

The HTTP library raises errors of its own kind for some of them, which ended
the components that call peers, and after some restarts the process.
"""

import asyncio
import json
import logging
import types

from aiohttp import web
import msgspec
import pytest

from cicadafold.election import terms
from cicadafold.peers import directory
from cicadafold.peers import messages
from cicadafold.settings import table

GOOD = "127.0.0.1:9001"
ODD_ADDRESSES = [
    "",
    ":",
    "127.0.0.1",
    "127.0.0.1:",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:65536",
    "127.0.0.1:99999",
    "127.0.0.1:" + "9" * 40,
    "127.0.0.1:" + "9" * 5000,
    "127.0.0.1:x",
    "127.0.0.1:\u0663\u0663",
    "127.0.0.1:\u00b2",
    "[::1:9001",
    "::1]:9001",
    "[[::1]]:9001",
    "a..b:9001",
    "x" * 70 + ":9001",
    "localhost:9001",
    "127.0.0.1/x:9001",
    "127.0.0.1:9001/x",
    "127.0.0.1:9001\r\nx: y",
]
ODD_TERMS = [-1, 2**62, 10**40, 1.5, None, "3"]


@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_odd_address_is_not_one(address):
    """A port of 5,000 digits raised an error in place of the answer."""
    assert not table.is_address(address)


def test_addresses_of_both_families_are_valid():
    """The check of brackets must not refuse them."""
    assert all(map(table.is_address, (GOOD, "[::1]:9001", "[fe80::1]:1")))


@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_claim_with_an_odd_address_is_ignored_and_logged(address, caplog):
    """All processes asked it for the configuration, and ended."""
    claims = []
    tail = terms.ClaimsTail(store=None, on_claim=claims.append)
    good = {"member": "a", "address": GOOD}
    with caplog.at_level(logging.WARNING):
        odd = json.dumps(good | {"address": address}).encode()
        tail.apply_record(terms.KEY, odd, 3)
    assert len(caplog.records) == 1
    tail.apply_record(terms.KEY, json.dumps(good).encode(), 4)
    assert [claim.term for claim in claims] == [5]


@pytest.mark.parametrize(
    "change",
    [
        *({"address": address} for address in ODD_ADDRESSES),
        *({"term": term} for term in ODD_TERMS),
        {"member": 7},
    ],
)
def test_announced_claim_that_is_odd_is_refused(change):
    """A term too large was taken as the newest one for good."""
    claims = []
    peers = directory.PeerDirectory(
        session=None,
        address=GOOD,
        on_claim=claims.append,
        on_take_over=None,
        on_claim_intent=None,
        newest_term=lambda: 0,
    )
    document = {"member": "a", "address": GOOD, "term": 3} | change

    async def read():
        return json.dumps(document).encode()

    request = types.SimpleNamespace(read=read, remote="127.0.0.1")
    answer = asyncio.run(peers.handle_claim(request))
    assert isinstance(answer, web.Response)
    assert answer.status == 400
    assert claims == []


@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_odd_address_of_a_peer_is_not_called(address):
    """One of a roster ended the calls to all others."""
    peers = directory.PeerDirectory(
        session=None,
        address="127.0.0.1:9000",
        on_claim=None,
        on_take_over=None,
        on_claim_intent=None,
        newest_term=lambda: 0,
    )
    node = types.SimpleNamespace(peer_directory=peers)
    roster = messages.PeerAddresses([address, GOOD], [address, GOOD])
    asyncio.run(directory.handle_peer_addresses(node, roster, None))
    assert peers.addresses == peers.preferred == {GOOD}
    hello = {
        "type": "hello",
        "member": "a",
        "term": 1,
        "address": address,
        "strength": 1.0,
    }
    with pytest.raises(msgspec.DecodeError):
        messages.decode(json.dumps(hello))


@pytest.mark.parametrize("route", ["handle_take_over", "handle_claim_intent"])
@pytest.mark.parametrize(
    "body",
    [
        b"[" * 100_000,
        b'{"term":' * 100_000,
        b'{"term": ' + b"9" * 5000 + b"}",
        b'{"term": 1e400}',
        b'{"term": -1}',
        b'{"type": "take-over", "term": 18446744073709551616}',
        b"\xff",
        b"",
    ],
)
def test_odd_message_over_http_is_refused(route, body):
    """A term too large replaced a scheduler that was well."""
    called = []

    async def on_take_over(term, reason):
        called.append(term)

    peers = directory.PeerDirectory(
        session=None,
        address=GOOD,
        on_claim=None,
        on_take_over=on_take_over,
        on_claim_intent=called.append,
        newest_term=lambda: 0,
    )

    async def read():
        return body

    request = types.SimpleNamespace(read=read, remote="127.0.0.1")
    answer = asyncio.run(getattr(peers, route)(request))
    assert answer.status == 400
    assert called == []


@pytest.mark.parametrize("term", ODD_TERMS)
def test_odd_term_of_a_peer_ends_no_term(term):
    """A scheduler stepped down for a first message with a term too large."""
    hello = {"type": "hello", "member": "a", "address": GOOD, "strength": 1.0}
    with pytest.raises(msgspec.DecodeError):
        messages.decode(json.dumps(hello | {"term": term}))
