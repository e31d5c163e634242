"""Tests of how processes learn each other's addresses."""

import asyncio
import types

import pytest

from cicadafold.peers import directory


class Peer:
    """A peer that keeps what it is sent."""

    def __init__(self):
        self.taken = []

    async def send_if_open(self, message):
        """Keeps a message."""
        self.taken.append(message)


def make_roster(session=None, on_take_over=None):
    """Returns the roster of a process at a:1."""
    return directory.PeerDirectory(
        session=session,
        address="a:1",
        on_claim=None,
        on_take_over=on_take_over,
    )


def test_peers_that_come_together_are_told_once(monkeypatch):
    """The messages of a new term grow with the peers, not their square."""
    monkeypatch.setattr(directory, "BROADCAST_DELAY_S", 0.02)

    async def scenario():
        known = make_roster()
        peers = {}
        broadcaster = directory.AddressBroadcaster(
            peer_directory=known, peers=peers
        )
        for number in range(40):
            peers[Peer()] = number
            known.add([f"b:{number}"])
            broadcaster.schedule()
        await broadcaster.task
        return peers, broadcaster

    peers, broadcaster = asyncio.run(scenario())
    assert [len(peer.taken) for peer in peers] == [1] * 40
    assert len(next(iter(peers)).taken[0].addresses) == 41
    assert not broadcaster.requested


def test_peer_that_comes_while_others_are_told_is_told_next(monkeypatch):
    """No peer is left without the addresses."""
    monkeypatch.setattr(directory, "BROADCAST_DELAY_S", 0.0)

    async def scenario():
        known = make_roster()
        peers = {}
        broadcaster = directory.AddressBroadcaster(
            peer_directory=known, peers=peers
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

    assert len(asyncio.run(scenario()).taken) == 1


@pytest.mark.parametrize(
    ("known", "asked"), [(True, ["b:1"]), (False, ["b:1", "c:1"])]
)
def test_strong_hosts_are_asked_to_replace_a_scheduler(known, asked):
    """One that knows a later term then has done it; the old one is not."""
    calls = []

    async def on_take_over(term):
        assert term == 3
        return known

    other = make_roster(on_take_over=on_take_over)

    class Call:
        """A call that the other process answers."""

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
        made = make_roster(session=types.SimpleNamespace(post=post))
        made.add(["w:1"], ["a:1", "b:1", "c:1", "old:1"])
        return await made.request_take_over(3, without="old:1")

    assert asyncio.run(scenario()) is known
    assert calls == asked
