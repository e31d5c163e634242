"""The size of a gossip message has a bound, and news still spread."""

import asyncio
import random

import msgspec
import pytest

from cicadafold.controllog import state as control_state
from cicadafold.membership import gossip
from cicadafold.membership import messages
from cicadafold.membership import view


def make_gossiper(name, state):
    seen = view.MembershipView(name=name, incarnation="i", state=lambda: state)
    return gossip.Gossiper(
        view=seen,
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
def test_messages_have_a_bound(count):
    state = make_state(count)
    made = make_gossiper("m0", state)
    for i in range(1, count):
        made.view.peer_record(state.members[f"m{i}"]).counter = 10_000
    for i in range(400):
        made.view.merge_digest(
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
    message = made.build_message(made.view.heartbeats())
    assert len(msgspec.json.encode(message)) < 1024


def test_counters_spread_to_all_members():
    """Within the suspicion time every counter has advanced everywhere."""
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
        heard = sum(r.counter > 0 for r in member.view.peers.values())
        assert heard >= 22


def test_silent_peer_does_not_keep_others_from_being_heard():
    """Failed before: an exchange with a cut-off peer held up the rest."""

    async def go():
        state = make_state(4)
        made = make_gossiper("m0", state)
        asked = []

        async def exchange(peer):
            asked.append(peer.name)
            if peer.name in ("m1", "m2"):
                await asyncio.sleep(3600)

        made.exchange = exchange
        task = asyncio.create_task(made.run())
        async with asyncio.timeout(20):
            while asked.count("m3") < 3:
                await asyncio.sleep(0.05)
        task.cancel()
        return asked

    asked = asyncio.run(go())
    assert asked.count("m1") <= 1 and asked.count("m2") <= 1


def test_record_on_the_log_shows_that_its_writer_lives():
    state = make_state(2)
    made = make_gossiper("m0", state)
    member = state.members["m1"]
    made.view.peer_record(member).last_alive_s -= view.SUSPICION_S + 1.0
    assert not made.view.is_alive(member)
    made.view.record_log_append("m1", "other-incarnation")
    assert not made.view.is_alive(member)
    made.view.record_log_append("m1", "i")
    assert made.view.is_alive(member)
