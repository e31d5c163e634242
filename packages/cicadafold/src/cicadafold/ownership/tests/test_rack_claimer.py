"""Tests of the choice of a rack's claimant and of handovers."""

import asyncio
import types

import pytest

from cicadafold.controllog import state as control_state
from cicadafold import hosts as host_tables
from cicadafold.membership import view
from cicadafold.ownership import assignment
from cicadafold.ownership import rack_claimer
from cicadafold_standins import fakes


def make_claimer(domains):
    """Returns the rack claimer of m0.

    Args:
        domains: Failure domains of the members m0, m1, ...; the rack is in
            d2.
    """
    state = control_state.ControlState()
    for index, domain in enumerate(domains):
        state.members[f"m{index}"] = control_state.MemberEntry(
            name=f"m{index}",
            incarnation="i",
            address="127.0.0.1:1",
            failure_domain=domain,
            region="r",
            joined_at=1,
        )
    table = host_tables.HostTable(source=None, recorded=dict)
    host = fakes.make_host("w0")
    host.failure_domain = "d2"
    table.listed = [host]
    table.rebuild()
    member_view = view.MembershipView(
        name="m0", incarnation="i", state=lambda: state
    )
    node = types.SimpleNamespace(
        name="m0",
        incarnation="i",
        region="r",
        hosts=table,
        view=member_view,
        tail=types.SimpleNamespace(state=state),
        own_member=lambda: state.members["m0"],
    )
    return rack_claimer.RackClaimer(node=node)


def successor(claimer, owned_for_s):
    """Returns the name of the rack's successor, or None.

    Args:
        claimer: The ``RackClaimer`` of m0, which owns the rack.
        owned_for_s: Seconds since when m0 owns it.
    """

    async def run():
        now_s = asyncio.get_running_loop().time()
        claimer.owned_since_s["rack"] = now_s - owned_for_s
        member = claimer.successor("rack", claimer.eligible_members())
        return member.name if member else None

    return asyncio.run(run())


def test_rack_is_handed_over_to_a_member_of_its_failure_domain():
    claimer = make_claimer(["d1", "d2", "d3"])
    assert successor(claimer, rack_claimer.MIN_OWNED_S + 1) == "m1"


def test_rack_is_not_handed_back_at_once():
    """Guards against two members that hand a rack to each other repeatedly.

    A member that received a rack from a draining one handed it back at once.
    """
    claimer = make_claimer(["d1", "d2"])
    assert successor(claimer, 0.1) is None


def test_draining_member_hands_over_at_once():
    claimer = make_claimer(["d2", "d1"])
    claimer.draining = True
    assert successor(claimer, 0.1) == "m1"


def test_rack_stays_in_its_failure_domain():
    claimer = make_claimer(["d2", "d2", "d1"])
    assert successor(claimer, 60.0) is None


@pytest.mark.parametrize("gone", ["m1", "m2"])
def test_all_members_agree_on_the_claimant(gone):
    state = make_claimer(["d1", "d2", "d2"]).node.tail.state
    members = [m for m in state.members.values() if m.name != gone]
    chosen = {
        assignment.preferred_owner(
            rack="rack",
            failure_domain="d2",
            region="r",
            members=order,
            owned={"m0": 0},
        ).name
        for order in (members, members[::-1])
    }
    assert len(chosen) == 1
