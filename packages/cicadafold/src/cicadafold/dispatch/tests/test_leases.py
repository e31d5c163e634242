"""Tests of the leases that a term may grant."""

import asyncio
import types

import pytest

from cicadafold import clock
from cicadafold.dispatch import leases
from cicadafold import exception
from cicadafold.peers import messages

TERM = 7
HORIZON_MS = 4800.0
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

    Terms are the newest ones that processes know, by address; None for one
    that does not answer.
    """
    return types.SimpleNamespace(
        store_answers=True,
        ended=False,
        confirmed=0,
        known=set(),
        linked=set(),
        terms={},
    )


@pytest.fixture
def proof(cell, now):
    """Returns the proof of a term that has been proved by nobody yet."""

    async def read_newest_claim():
        if not cell.store_answers:
            raise exception.LinkLost(message="lost", remedy="")

    async def ask_newest_term(address):
        return cell.terms.get(address)

    def confirm():
        cell.confirmed += 1

    return leases.TermProof(
        term=TERM,
        read_newest_claim=read_newest_claim,
        known_addresses=lambda: cell.known,
        linked_addresses=lambda: cell.linked,
        ask_newest_term=ask_newest_term,
        horizon_ms=HORIZON_MS,
        ended=lambda: cell.ended,
        on_confirmed=confirm,
    )


@pytest.fixture
def lease(proof):
    """Returns the leases that the proof limits."""
    found = leases.LeaseTimes(max_lease_ms=6000.0)
    found.proof = proof
    return found


def lose_store(proof, cell, now, known, *, seconds=3):
    """Lets the store prove the term for some time, and then fail.

    Args:
        known: Addresses that are known meanwhile.
        seconds: Time for which the store proves the term.
    """
    cell.known = known
    for _ in range(seconds):
        proof.on_store_proof(now.ms)
        now.ms += 1000.0
    cell.store_answers = False
    now.ms += HORIZON_MS
    assert not proof.valid()


def ask_once(loop_function):
    """Runs one round of a loop that never ends by itself."""

    async def scenario():
        async with asyncio.timeout(1.5 * leases.WITNESS_PERIOD_S):
            await loop_function()

    with pytest.raises(TimeoutError):
        asyncio.run(scenario())


def test_no_lease_before_the_first_proof(lease):
    """A later claim may be in the log already."""
    assert lease.grantable_ms() == 0.0


def test_leases_end_within_the_horizon_of_the_last_proof(lease, proof, now):
    """The next term takes them as lapsed then."""
    assert lease.horizon_ms == HORIZON_MS
    proof.on_store_proof(now.ms)
    assert lease.grantable_ms() == LEASE_MS
    for age_ms in (500.0, 1500.0, 4000.0, 4800.0, 9000.0):
        now.ms = 100000.0 + age_ms
        granted_ms = lease.grantable_ms()
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
    ("terms", "proves"),
    [
        ({"a": TERM, "b": TERM}, True),
        ({"a": TERM, "b": TERM - 1}, True),
        ({"a": TERM, "b": 0}, True),
        ({"a": TERM, "b": messages.PROCESS_ENDED}, True),
        ({"a": TERM, "b": TERM + 1}, False),
        ({"a": TERM, "b": None}, False),
    ],
)
def test_outage_of_the_store_is_outlived_only_with_all_processes(
    proof, cell, now, terms, proves
):
    """One that does not answer may have claimed the next term."""
    lose_store(proof, cell, now, {"a", "b"})
    cell.terms = terms
    ask_once(proof.ask_witnesses_repeatedly)
    assert proof.valid() is proves


def test_end_of_a_process_that_did_not_answer_proves_nothing(proof, cell, now):
    """Its successor behind the cut has another address."""
    lose_store(proof, cell, now, {"a", "b"})
    cell.terms = {"a": TERM, "b": None}
    ask_once(proof.ask_witnesses_repeatedly)
    cell.terms = {"a": TERM, "b": messages.PROCESS_ENDED}
    ask_once(proof.ask_witnesses_repeatedly)
    assert not proof.valid()
    cell.terms = {"a": TERM, "b": TERM}
    ask_once(proof.ask_witnesses_repeatedly)
    assert proof.valid()


def test_process_without_any_peer_proves_nothing(proof, cell, now):
    """It may have started behind a cut."""
    lose_store(proof, cell, now, set())
    ask_once(proof.ask_witnesses_repeatedly)
    assert not proof.valid()


@pytest.mark.parametrize(("seconds", "proves"), [(3, False), (70, True)])
def test_process_that_the_directory_forgot_is_a_witness_for_a_while(
    proof, cell, now, seconds, proves
):
    """It was cut off, and may reach the store."""
    cell.linked = {"a"}
    lose_store(proof, cell, now, {"a", "b"}, seconds=1)
    lose_store(proof, cell, now, {"a"}, seconds=seconds)
    cell.terms = {"a": TERM}
    ask_once(proof.ask_witnesses_repeatedly)
    assert proof.valid() is proves


def test_process_that_left_the_cell_is_no_witness_for_the_whole_term(
    proof, cell, now
):
    """The directory knows it, so that no outage could be outlived."""
    cell.linked = {"a", "b"}
    lose_store(proof, cell, now, {"a", "b"})
    cell.linked = {"a"}
    lose_store(proof, cell, now, {"a", "b"}, seconds=70)
    cell.terms = {"a": TERM}
    ask_once(proof.ask_witnesses_repeatedly)
    assert proof.valid()


def test_process_that_became_known_in_the_outage_is_a_witness(
    proof, cell, now
):
    """The directory may forget it before the store answers."""
    lose_store(proof, cell, now, {"a"})
    cell.terms = {"a": TERM, "b": TERM}
    cell.known = {"a", "b"}
    ask_once(proof.ask_witnesses_repeatedly)
    assert proof.valid()
    now.ms += HORIZON_MS
    cell.known, cell.terms = {"a"}, {"a": TERM}
    ask_once(proof.ask_witnesses_repeatedly)
    assert not proof.valid()


def test_placement_resumes_with_the_proof(proof, cell, now):
    """Nothing else wakes it after an outage."""
    proof.on_store_proof(now.ms)
    now.ms += HORIZON_MS
    proof.notice_changes()
    assert cell.confirmed == 0
    proof.on_store_proof(now.ms)
    proof.notice_changes()
    assert cell.confirmed == 1
