"""Tests of when a member counts as alive, and of relayed heartbeats."""

import pytest

from cicadafold.controllog import state as control_state
from cicadafold.membership import messages
from cicadafold.membership import view


JOINED_AT = {"a": 1, "b": 2}


@pytest.fixture
def clock(monkeypatch):
    """Returns a clock that replaces the view's and is set by the test."""

    class Clock:
        now_s = 1000.0

        def monotonic(self):
            return self.now_s

    fake_clock = Clock()
    monkeypatch.setattr(view, "time", fake_clock)
    return fake_clock


@pytest.fixture
def membership_view(clock):
    """Returns member a's view of members a and b."""
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
    heartbeat = messages.Heartbeat(
        joined_at=JOINED_AT["b"], counter=counter, **fields
    )
    return messages.Gossip(sender="c", heartbeats=[heartbeat], digests=[])


def test_silent_member_counts_as_dead_after_the_suspicion_time(
    membership_view, clock
):
    member = membership_view.state().members["b"]
    assert membership_view.is_alive(member)
    clock.now_s += view.SUSPICION_S + 0.1
    assert not membership_view.is_alive(member)


def test_old_heartbeats_do_not_revive_a_refused_member(membership_view, clock):
    """A refused member stays dead while old heartbeats are still relayed.

    Guards against a regression in which a heartbeat sent before the member
    ended, but relayed after its address refused a connection, marked the
    member as alive.
    """
    member = membership_view.state().members["b"]
    membership_view.merge(heartbeat_gossip(5))
    membership_view.record_refusal(member)
    clock.now_s += 0.5
    membership_view.merge(heartbeat_gossip(6))
    assert not membership_view.is_alive(member)
    clock.now_s += view.SUSPICION_S + 1.0
    membership_view.merge(heartbeat_gossip(7))
    assert membership_view.is_alive(member)


def test_member_counts_as_dead_after_two_resets(membership_view):
    member = membership_view.state().members["b"]
    membership_view.record_reset(member)
    assert membership_view.is_alive(member)
    membership_view.record_reset(member)
    assert not membership_view.is_alive(member)


def test_relayed_unreachable_flag_only_causes_a_probe(membership_view):
    member = membership_view.state().members["b"]
    membership_view.merge(
        heartbeat_gossip(3, flags=int(messages.HeartbeatFlags.UNREACHABLE))
    )
    assert membership_view.is_alive(member)
    assert membership_view.members_to_probe == {"b"}


def test_heartbeat_of_another_incarnation_is_ignored(membership_view, clock):
    clock.now_s += view.SUSPICION_S + 0.1
    membership_view.peer_record(
        membership_view.state().members["b"]
    ).last_alive_s = 0.0
    gossip = heartbeat_gossip(9)
    gossip.heartbeats[0].joined_at = 77
    membership_view.merge(gossip)
    assert not membership_view.is_alive(membership_view.state().members["b"])
