"""Who counts as alive, and what hearsay can and cannot do."""

import pytest

from cicadafold.controllog import state as control_state
from cicadafold.membership import messages
from cicadafold.membership import view


JOINED_AT = {"a": 1, "b": 2}


@pytest.fixture
def clock(monkeypatch):
    """A clock that a test advances itself."""

    class Clock:
        now_s = 1000.0

        def monotonic(self):
            return self.now_s

    made = Clock()
    monkeypatch.setattr(view, "time", made)
    return made


@pytest.fixture
def seen(clock):
    """The view of member a on members a and b."""
    state = control_state.ControlState(
        members={
            name: control_state.MemberEntry(
                name=name,
                incarnation="i1",
                address="127.0.0.1:1",
                failure_domain="d",
                region="r",
                joined_at=JOINED_AT[name],
            )
            for name in ("a", "b")
        }
    )
    return view.MembershipView(name="a", incarnation="i1", state=lambda: state)


def heartbeat_gossip(counter, **fields):
    found = messages.Heartbeat(
        joined_at=JOINED_AT["b"], counter=counter, **fields
    )
    return messages.Gossip(sender="c", heartbeats=[found], digests=[])


def test_silent_member_is_suspected_in_time(seen, clock):
    member = seen.state().members["b"]
    assert seen.is_alive(member)
    clock.now_s += view.SUSPICION_S + 0.1
    assert not seen.is_alive(member)


def test_old_counters_do_not_revive_a_refused_member(seen, clock):
    """Failed before: counters from before the death went round."""
    member = seen.state().members["b"]
    seen.merge(heartbeat_gossip(5))
    seen.record_refusal(member)
    clock.now_s += 0.5
    seen.merge(heartbeat_gossip(6))
    assert not seen.is_alive(member)
    clock.now_s += view.SUSPICION_S + 1.0
    seen.merge(heartbeat_gossip(7))
    assert seen.is_alive(member)


def test_one_reset_is_an_accident_and_two_are_not(seen):
    member = seen.state().members["b"]
    seen.record_reset(member)
    assert seen.is_alive(member)
    seen.record_reset(member)
    assert not seen.is_alive(member)


def test_hearsay_of_a_death_only_raises_doubt(seen):
    member = seen.state().members["b"]
    seen.merge(
        heartbeat_gossip(3, flags=int(messages.HeartbeatFlags.UNREACHABLE))
    )
    assert seen.is_alive(member)
    assert seen.members_to_probe == {"b"}


def test_other_incarnation_is_ignored(seen, clock):
    clock.now_s += view.SUSPICION_S + 0.1
    seen.peer_record(seen.state().members["b"]).last_alive_s = 0.0
    gossip = heartbeat_gossip(9)
    gossip.heartbeats[0].joined_at = 77
    seen.merge(gossip)
    assert not seen.is_alive(seen.state().members["b"])
