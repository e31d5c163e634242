"""Tests of how processes learn each other's addresses."""

import asyncio

from cicadafold.peers import roster


class Peer:
    """A peer that keeps what it is sent."""

    def __init__(self):
        self.taken = []

    async def send_if_open(self, message):
        """Keeps a message."""
        self.taken.append(message)


def test_peers_that_come_together_are_told_once(monkeypatch):
    """The messages of a new term grow with the peers, not their square."""
    monkeypatch.setattr(roster, "SHARE_PAUSE_S", 0.02)

    async def scenario():
        known = roster.Roster(session=None, address="a:1", on_claim=None)
        peers = {}
        sharing = roster.Sharing(roster=known, peers=peers)
        for number in range(40):
            peers[Peer()] = number
            known.add([f"b:{number}"])
            sharing.peer_came()
        await sharing.task
        return peers, sharing

    peers, sharing = asyncio.run(scenario())
    assert [len(peer.taken) for peer in peers] == [1] * 40
    assert len(next(iter(peers)).taken[0].addresses) == 41
    assert not sharing.wanted


def test_peer_that_comes_while_others_are_told_is_told_next(monkeypatch):
    """No peer is left without the addresses."""
    monkeypatch.setattr(roster, "SHARE_PAUSE_S", 0.0)

    async def scenario():
        known = roster.Roster(session=None, address="a:1", on_claim=None)
        peers = {}
        sharing = roster.Sharing(roster=known, peers=peers)
        late = Peer()

        class First(Peer):
            async def send_if_open(self, message):
                await super().send_if_open(message)
                if late not in peers:
                    await asyncio.sleep(0)
                    peers[late] = None
                    sharing.peer_came()

        peers[First()] = None
        sharing.peer_came()
        await sharing.task
        return late

    assert len(asyncio.run(scenario()).taken) == 1
