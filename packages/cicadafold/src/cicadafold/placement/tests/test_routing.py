"""Where a request goes when its rack is full."""

import pytest

from cicadafold.controllog import state as control_state
from cicadafold import hosts as host_tables
from cicadafold.membership import messages as gossip
from cicadafold.membership import view
from cicadafold.placement import routing
from cicadafold_schema import messages
from cicadafold_standins import fakes


@pytest.fixture
def made():
    """Routing over two racks in region r0 and one in r1."""
    table = host_tables.HostTable(source=None, recorded=dict)
    for index, region in enumerate(("r0", "r0", "r1")):
        host = fakes.make_host(f"w{index}")
        host.rack = f"rack-{index}"
        host.region = region
        table.listed.append(host)
    table.rebuild()
    state = control_state.ControlState()
    seen = view.MembershipView(name="m", incarnation="i", state=lambda: state)
    return routing.Routing(hosts=table, view=seen, region="r0")


def show(made, rack, *, free, patient=0):
    made.view.merge_digest(
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


def choose(made, *, wait_ms=0, lane=messages.Lane.urgent):
    kind = fakes.make_kind(lane=lane)
    return made.find_redirect_rack(
        "rack-0", kind, wait_ms=wait_ms, price_ms=200, headroom=0
    )


def test_room_in_the_region_goes_first(made):
    show(made, "rack-1", free=1)
    show(made, "rack-2", free=50)
    assert choose(made, wait_ms=10_000) == "rack-1"


@pytest.mark.parametrize(
    ("wait_ms", "expected"), [(100, None), (300, "rack-2")]
)
def test_other_region_must_save_its_price(made, wait_ms, expected):
    show(made, "rack-1", free=0)
    show(made, "rack-2", free=5)
    assert choose(made, wait_ms=wait_ms) == expected


def test_headroom_is_no_room_for_patient_work(made):
    show(made, "rack-1", free=1, patient=0)
    assert choose(made, lane=messages.Lane.patient) is None


def test_a_burst_does_not_follow_one_old_figure(made):
    show(made, "rack-1", free=2)
    assert [choose(made) for _ in range(3)] == ["rack-1", "rack-1", None]


def test_home_is_the_same_on_all_members_and_stays_in_its_region(made):
    kind = fakes.make_kind()
    first_racks = set()
    for number in range(200):
        found = list(made.candidates(f"q{number}", "r0", kind, 0))
        again = list(made.candidates(f"q{number}", "r0", kind, 0))
        assert found == again and set(found) == {"rack-0", "rack-1"}
        first_racks.add(found[0])
    assert first_racks == {"rack-0", "rack-1"}


def test_kind_that_fits_nowhere_near_goes_where_it_fits(made):
    made.hosts.listed[2].cores = 64.0
    made.hosts.merged = None
    made.hosts.rebuild()
    kind = fakes.make_kind(cores=32)
    assert list(made.candidates("q", "r0", kind, 0)) == ["rack-2"]
