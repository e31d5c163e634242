"""Tests of the leases that a term may grant."""

import asyncio
import types

import pytest

from cicadafold import clock
from cicadafold.dispatch import leases
from cicadafold import exception

TERM = 7
HORIZON_MS = 4200.0
LEASE_MS = 3600.0


@pytest.fixture
def now(monkeypatch):
    """Returns the time since the host has booted, which tests set."""
    found = types.SimpleNamespace(ms=100000.0)
    monkeypatch.setattr(clock, "boot_ms", lambda: found.ms)
    return found


@pytest.fixture
def cell():
    """Returns what a proof sees of its cell, which tests set.

    Peers are listed as pairs of a process and the newest term that it knows,
    None if it does not answer. The address of a process is its name.
    """
    return types.SimpleNamespace(
        store_answers=True, ended=False, confirmed=0, peers=[], addresses=set()
    )


@pytest.fixture
def proof(cell, now):
    """Returns the proof of a term that has been proved by nobody yet."""

    async def read_newest_claim():
        if not cell.store_answers:
            raise exception.LinkLost(message="lost", remedy="")

    def make_handle(member, term):
        async def newest_term():
            return term

        return types.SimpleNamespace(
            member=member, address=member, newest_term=newest_term
        )

    def confirm():
        cell.confirmed += 1

    lease = leases.LeaseTimes(max_lease_ms=6000.0)
    lease.proof = leases.TermProof(
        term=TERM,
        read_newest_claim=read_newest_claim,
        list_peers=lambda: [
            types.SimpleNamespace(member="own/1", newest_term=None),
            *(make_handle(*peer) for peer in cell.peers),
        ],
        known_addresses=lambda: cell.addresses,
        lease=lease,
        ended=lambda: cell.ended,
        on_confirmed=confirm,
    )
    return lease.proof


def prove(proof, cell, now, seconds, *, peers=()):
    """Lets the store prove the term for some time, with linked peers."""
    cell.peers = list(peers)
    for _ in range(int(seconds)):
        proof.on_store_proof(now.ms)
        now.ms += 1000.0


def ask_once(loop_function):
    """Runs one round of a loop that never ends by itself."""

    async def scenario():
        async with asyncio.timeout(2 * leases.PROOF_PERIOD_S):
            await loop_function()

    with pytest.raises(TimeoutError):
        asyncio.run(scenario())


def test_no_lease_before_the_first_proof(proof):
    """A later claim may be in the log already."""
    assert proof.lease.grantable_ms() == 0.0


def test_leases_end_within_the_horizon_of_the_last_proof(proof, now):
    """The next term takes them as lapsed then."""
    proof.on_store_proof(now.ms)
    assert proof.lease.grantable_ms() == LEASE_MS
    for age_ms in (500.0, 1000.0, 4000.0, 4200.0, 9000.0):
        now.ms = 100000.0 + age_ms
        granted_ms = proof.lease.grantable_ms()
        assert granted_ms == max(0.0, min(LEASE_MS, HORIZON_MS - age_ms))


def test_time_of_a_suspended_host_counts(proof, now, monkeypatch):
    """The monotonic clock stands still meanwhile, so leases went on."""
    proof.on_store_proof(now.ms)
    monkeypatch.setattr(clock, "monotonic_ms", lambda: 0.0)
    now.ms += 60000.0
    assert not proof.valid()


def test_proof_counts_from_the_question(proof, cell, now):
    """A later term may have started before the answer arrived."""

    async def read_slowly():
        now.ms += 1000.0

    proof.read_newest_claim = read_slowly
    ask_once(proof.ask_store_repeatedly)
    assert proof.age_ms() >= 1000.0


def test_answer_that_ends_the_term_proves_nothing(proof, cell):
    """Reading a later claim is a successful read too."""
    cell.ended = True
    ask_once(proof.ask_store_repeatedly)
    assert not proof.valid()


@pytest.mark.parametrize(
    ("peers", "proves"),
    [
        ([("a/1", TERM), ("b/1", TERM)], True),
        ([("a/1", TERM), ("b/1", TERM - 1)], True),
        ([("a/2", TERM), ("b/1", TERM), ("c/1", TERM)], True),
        ([("a/1", TERM), ("b/1", TERM + 1)], False),
        ([("a/1", TERM), ("b/1", None)], False),
        ([("a/1", TERM)], False),
        ([], False),
    ],
)
def test_outage_of_the_store_is_outlived_only_with_all_peers(
    proof, cell, now, peers, proves
):
    """One that does not answer may have claimed the next term."""
    prove(proof, cell, now, 4, peers=[("a/1", TERM), ("b/1", TERM)])
    now.ms += HORIZON_MS
    assert not proof.valid()
    cell.store_answers = False
    cell.peers = peers
    ask_once(proof.ask_peers_repeatedly)
    assert proof.valid() is proves


@pytest.mark.parametrize("linked", ["a/1", "b/1"])
def test_new_term_waits_for_links_of_known_processes(proof, cell, now, linked):
    """One whose link is not open yet may have claimed the next term."""
    prove(proof, cell, now, 1)
    cell.store_answers = False
    cell.addresses = {"a/1"}
    cell.peers = [(linked, TERM)]
    now.ms += HORIZON_MS
    ask_once(proof.ask_peers_repeatedly)
    assert proof.valid() is (linked == "a/1")


def test_process_that_was_never_linked_is_a_witness_too(proof, cell, now):
    """It was cut off before the term, and forgotten by the directory."""
    cell.addresses = {"a/1", "b/1"}
    prove(proof, cell, now, 3, peers=[("a/1", TERM)])
    cell.addresses = {"a/1"}
    prove(proof, cell, now, 3, peers=[("a/1", TERM)])
    cell.store_answers = False
    now.ms += HORIZON_MS
    ask_once(proof.ask_peers_repeatedly)
    assert not proof.valid()


def test_host_that_was_linked_in_the_outage_only_is_a_witness(
    proof, cell, now
):
    """Its link may close again before the store answers."""
    prove(proof, cell, now, 3, peers=[("a/1", TERM)])
    cell.store_answers = False
    now.ms += HORIZON_MS
    cell.peers = [("a/1", TERM), ("b/1", TERM)]
    ask_once(proof.ask_peers_repeatedly)
    assert proof.valid()
    now.ms += HORIZON_MS
    cell.peers = [("a/1", TERM)]
    ask_once(proof.ask_peers_repeatedly)
    assert not proof.valid()


def test_host_that_left_long_ago_is_not_waited_for(proof, cell, now):
    """Otherwise no outage could be outlived after a host was removed."""
    cell.addresses = {"c/1"}
    prove(proof, cell, now, 3, peers=[("a/1", TERM), ("b/1", TERM)])
    prove(proof, cell, now, 70, peers=[("a/1", TERM)])
    cell.store_answers = False
    now.ms += HORIZON_MS
    ask_once(proof.ask_peers_repeatedly)
    assert proof.valid()


def test_placement_resumes_with_the_proof(proof, cell, now):
    """Nothing else wakes it after an outage."""
    proof.on_store_proof(now.ms)
    now.ms += HORIZON_MS
    proof.notice_changes()
    assert cell.confirmed == 0
    proof.on_store_proof(now.ms)
    proof.notice_changes()
    assert cell.confirmed == 1
