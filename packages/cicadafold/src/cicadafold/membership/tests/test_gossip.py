"""Tests of the size of gossip messages and the spread of heartbeats."""

import asyncio
import random

import msgspec
import pytest

from cicadafold.controllog import state as control_state
from cicadafold.membership import gossip
from cicadafold.membership import messages
from cicadafold.membership import view


def make_gossiper(name, state):
    membership_view = view.MembershipView(
        name=name, incarnation="i", state=lambda: state
    )
    return gossip.Gossiper(
        view=membership_view,
        session=None,
        resolve=None,
        token="",
        own_digests=list,
    )


def make_state(count):
    return control_state.ControlState(
        members={
            f"m{i}": control_state.MemberEntry(
                name=f"m{i}",
                incarnation="i",
                address="127.0.0.1:1",
                failure_domain="d",
                region="r",
                joined_at=i + 1,
            )
            for i in range(count)
        }
    )


@pytest.mark.parametrize("count", [7, 24, 100])
def test_message_size_is_bounded(count):
    state = make_state(count)
    gossiper = make_gossiper("m0", state)
    for i in range(1, count):
        gossiper.view.peer_record(state.members[f"m{i}"]).counter = 10_000
    for i in range(400):
        gossiper.view.merge_digest(
            messages.Digest(
                rack=f"rack-{i}",
                term=100_000,
                serial=1,
                free_slots=64,
                patient_slots=56,
                queued=0,
                wait_ms=0,
            )
        )
    message = gossiper.build_message(gossiper.view.heartbeats())
    assert len(msgspec.json.encode(message)) < 1024


def test_heartbeats_spread_to_all_members():
    """Heartbeats of nearly all members reach all within two suspicion times.

    Each member must have a counter of at least 22 of its 23 peers.
    """
    random.seed(3)
    state = make_state(24)
    members = [make_gossiper(name, state) for name in state.members]
    periods = int(view.SUSPICION_S / gossip.PERIOD_S)
    for _ in range(periods * 2):
        for member in members:
            member.view.advance_heartbeat()
            peer = random.choice([m for m in members if m is not member])
            body = gossip.encode(
                member.build_message(member.view.heartbeats())
            )
            member.view.merge(gossip.decode(peer.handle_message(body)))
    for member in members:
        known_peers = sum(r.counter > 0 for r in member.view.peers.values())
        assert known_peers >= 22


def test_exchange_with_silent_peer_does_not_delay_others():
    """Exchanges with unreachable peers do not block those with others.

    Guards against a regression in which each exchange waited for the one
    before it.
    """

    async def run():
        state = make_state(4)
        gossiper = make_gossiper("m0", state)
        contacted = []

        async def exchange(peer):
            contacted.append(peer.name)
            if peer.name in ("m1", "m2"):
                await asyncio.sleep(3600)

        gossiper.exchange = exchange
        task = asyncio.create_task(gossiper.run())
        async with asyncio.timeout(20):
            while contacted.count("m3") < 3:
                await asyncio.sleep(0.05)
        task.cancel()
        return contacted

    contacted = asyncio.run(run())
    assert contacted.count("m1") <= 1 and contacted.count("m2") <= 1


def test_log_append_is_a_sign_of_life_of_its_writer():
    state = make_state(2)
    gossiper = make_gossiper("m0", state)
    member = state.members["m1"]
    gossiper.view.peer_record(member).last_alive_s -= view.SUSPICION_S + 1.0
    assert not gossiper.view.is_alive(member)
    gossiper.view.record_log_append("m1", "other-incarnation")
    assert not gossiper.view.is_alive(member)
    gossiper.view.record_log_append("m1", "i")
    assert gossiper.view.is_alive(member)
