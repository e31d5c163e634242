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


def pulse(counter, **fields):
    found = messages.Pulse(joined_at=JOINED_AT["b"], counter=counter, **fields)
    return messages.Gossip(sender="c", pulses=[found], digests=[])


def test_silent_member_is_suspected_in_time(seen, clock):
    member = seen.state().members["b"]
    assert seen.is_alive(member)
    clock.now_s += view.SUSPICION_S + 0.1
    assert not seen.is_alive(member)


def test_old_counters_do_not_revive_a_refused_member(seen, clock):
    """Failed before: counters from before the death went round."""
    member = seen.state().members["b"]
    seen.merge(pulse(5))
    seen.note_refused(member)
    clock.now_s += 0.5
    seen.merge(pulse(6))
    assert not seen.is_alive(member)
    clock.now_s += view.SUSPICION_S + 1.0
    seen.merge(pulse(7))
    assert seen.is_alive(member)


def test_one_reset_is_an_accident_and_two_are_not(seen):
    member = seen.state().members["b"]
    seen.note_reset(member)
    assert seen.is_alive(member)
    seen.note_reset(member)
    assert not seen.is_alive(member)


def test_hearsay_of_a_death_only_raises_doubt(seen):
    member = seen.state().members["b"]
    seen.merge(pulse(3, flags=int(messages.Flags.GONE)))
    assert seen.is_alive(member)
    assert seen.doubted == {"b"}


def test_other_incarnation_is_ignored(seen, clock):
    clock.now_s += view.SUSPICION_S + 0.1
    seen.record(seen.state().members["b"]).advanced_s = 0.0
    gossip = pulse(9)
    gossip.pulses[0].joined_at = 77
    seen.merge(gossip)
    assert not seen.is_alive(seen.state().members["b"])
