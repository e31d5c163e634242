"""Tests of the peer directory and its broadcasts of addresses."""

import asyncio
import types

import pytest

from cicadafold.election import loss
from cicadafold.election import terms
from cicadafold.peers import directory
from cicadafold.peers import messages


class Peer:
    """A link to a peer that records the messages sent over it."""

    def __init__(self):
        self.sent = []

    async def send_if_open(self, message):
        """Records a message."""
        self.sent.append(message)


def make_directory(session=None, on_take_over=None):
    """Returns the directory of a process at a:1."""
    return directory.PeerDirectory(
        session=session,
        address="a:1",
        on_claim=None,
        on_take_over=on_take_over,
        on_claim_intent=None,
        newest_term=lambda: 0,
    )


def test_peers_that_connect_together_get_one_broadcast(monkeypatch):
    """Messages of a new term grow with the peers, not with their square."""
    monkeypatch.setattr(directory, "BROADCAST_DELAY_S", 0.02)

    async def scenario():
        peer_directory = make_directory()
        peers = {}
        broadcaster = directory.AddressBroadcaster(
            peer_directory=peer_directory, peers=peers
        )
        for number in range(40):
            peers[Peer()] = number
            peer_directory.add([f"b:{number}"])
            broadcaster.schedule()
        await broadcaster.task
        return peers, broadcaster

    peers, broadcaster = asyncio.run(scenario())
    assert [len(peer.sent) for peer in peers] == [1] * 40
    assert len(next(iter(peers)).sent[0].addresses) == 41
    assert not broadcaster.requested


def test_peer_that_connects_during_a_broadcast_gets_the_next_one(monkeypatch):
    """A peer that connects while a broadcast runs gets the addresses too."""
    monkeypatch.setattr(directory, "BROADCAST_DELAY_S", 0.0)

    async def scenario():
        peer_directory = make_directory()
        peers = {}
        broadcaster = directory.AddressBroadcaster(
            peer_directory=peer_directory, peers=peers
        )
        late = Peer()

        class First(Peer):
            async def send_if_open(self, message):
                await super().send_if_open(message)
                if late not in peers:
                    await asyncio.sleep(0)
                    peers[late] = None
                    broadcaster.schedule()

        peers[First()] = None
        broadcaster.schedule()
        await broadcaster.task
        return late

    assert len(asyncio.run(scenario()).sent) == 1


@pytest.mark.parametrize(
    ("known", "asked"), [(True, ["b:1"]), (False, ["b:1", "c:1"])]
)
def test_preferred_hosts_are_asked_to_replace_a_scheduler(known, asked):
    """Hosts are asked until one knows a later term; the old one never is."""
    calls = []

    async def on_take_over(term, reason):
        assert term == 3
        return known

    other = make_directory(on_take_over=on_take_over)

    class Call:
        """An HTTP call that the other process handles."""

        def __init__(self, data):
            self.data = data

        async def read(self):
            return self.data

        async def __aenter__(self):
            return await other.handle_take_over(self)

        async def __aexit__(self, *_):
            return None

    def post(url, *, data, timeout):
        calls.append(url.split("/")[2])
        return Call(data)

    async def scenario():
        peer_directory = make_directory(
            session=types.SimpleNamespace(post=post)
        )
        peer_directory.add(["w:1"], ["a:1", "b:1", "c:1", "old:1"])
        return await peer_directory.request_take_over(
            3, loss.LossReason.NO_ANSWER, without="old:1"
        )

    assert asyncio.run(scenario()) is known
    assert calls == asked


class Answer:
    """The answer of a process, or its error, as a session gives it."""

    def __init__(self, answer):
        self.answer = answer

    async def __aenter__(self):
        if isinstance(self.answer, Exception):
            raise self.answer
        return self

    async def __aexit__(self, *_):
        pass

    async def read(self):
        """Returns the body."""
        return self.answer


@pytest.mark.parametrize(
    ("answer", "known"),
    [
        (b'{"term": 3}', 3),
        (b'{"term": 0}', 0),
        (ConnectionRefusedError(), messages.PROCESS_ENDED),
        (ConnectionResetError(), None),
        (TimeoutError(), None),
        (b"", None),
        (b'{"term": -1}', None),
        (b'{"term": "3"}', None),
        (b'{"term": 1e400}', None),
        (b"[" * 100_000, None),
    ],
)
def test_only_a_refused_connection_shows_that_a_process_has_ended(
    answer, known
):
    """Any other failure leaves open whether it has claimed a term."""

    async def scenario():
        session = types.SimpleNamespace(post=lambda *_, **__: Answer(answer))
        claim = terms.Claim(member="a/1", address="127.0.0.1:1", term=3)
        peer_directory = make_directory(session)
        return await peer_directory.ask_newest_term("127.0.0.1:2", claim)

    assert asyncio.run(scenario()) == known
