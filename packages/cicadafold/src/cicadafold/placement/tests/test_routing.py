"""Tests of the choice of racks for new and for redirected requests."""

import pytest

from cicadafold.controllog import state as control_state
from cicadafold import hosts as host_tables
from cicadafold.membership import messages as gossip
from cicadafold.membership import view
from cicadafold.placement import routing
from cicadafold_schema import messages
from cicadafold_standins import fakes


@pytest.fixture
def router():
    """Returns routing over two racks in region r0 and one in r1."""
    table = host_tables.HostTable(source=None, recorded=dict)
    for index, region in enumerate(("r0", "r0", "r1")):
        host = fakes.make_host(f"w{index}")
        host.rack = f"rack-{index}"
        host.region = region
        table.listed.append(host)
    table.rebuild()
    state = control_state.ControlState()
    membership_view = view.MembershipView(
        name="m", incarnation="i", state=lambda: state
    )
    return routing.Routing(hosts=table, view=membership_view, region="r0")


def set_digest(router, rack, *, free, patient=0):
    router.view.merge_digest(
        gossip.Digest(
            rack=rack,
            term=1,
            serial=1,
            free_slots=free,
            patient_slots=patient,
            queued=0,
            wait_ms=0,
        )
    )


def find_rack(router, *, wait_ms=0, lane=messages.Lane.urgent):
    kind = fakes.make_kind(lane=lane)
    return router.find_redirect_rack(
        "rack-0", kind, wait_ms=wait_ms, price_ms=200, headroom=0
    )


def test_rack_in_the_same_region_is_preferred(router):
    set_digest(router, "rack-1", free=1)
    set_digest(router, "rack-2", free=50)
    assert find_rack(router, wait_ms=10_000) == "rack-1"


@pytest.mark.parametrize(
    ("wait_ms", "expected"), [(100, None), (300, "rack-2")]
)
def test_other_region_is_used_only_above_its_price(router, wait_ms, expected):
    set_digest(router, "rack-1", free=0)
    set_digest(router, "rack-2", free=5)
    assert find_rack(router, wait_ms=wait_ms) == expected


def test_headroom_is_not_offered_to_patient_requests(router):
    set_digest(router, "rack-1", free=1, patient=0)
    assert find_rack(router, lane=messages.Lane.patient) is None


def test_redirects_are_deducted_from_the_digest(router):
    set_digest(router, "rack-1", free=2)
    assert [find_rack(router) for _ in range(3)] == ["rack-1", "rack-1", None]


def test_assigned_rack_is_stable_and_in_the_region_of_origin(router):
    kind = fakes.make_kind()
    first_racks = set()
    for number in range(200):
        found = list(router.candidates(f"q{number}", "r0", kind, 0))
        again = list(router.candidates(f"q{number}", "r0", kind, 0))
        assert found == again and set(found) == {"rack-0", "rack-1"}
        first_racks.add(found[0])
    assert first_racks == {"rack-0", "rack-1"}


def test_request_that_no_rack_of_the_region_fits_goes_to_another_region(
    router,
):
    router.hosts.listed[2].cores = 64.0
    router.hosts.merged = None
    router.hosts.rebuild()
    kind = fakes.make_kind(cores=32)
    assert list(router.candidates("q", "r0", kind, 0)) == ["rack-2"]
