"""Tests of claims and their numbers."""

import asyncio
import types

import msgspec
import pytest

from cicadafold import clock
from cicadafold.election import candidate
from cicadafold.election import terms
from cicadafold import exception
from cicadafold.peers import messages
from cicadafold.platform import log_store


class FakeStore:
    """A store with one partition that answers reads when told to."""

    def __init__(self):
        self.entries = []
        self.release = asyncio.Event()
        self.lose_answers = False

    async def newest(self, topic, partition):
        """Returns no records yet."""
        return [], len(self.entries)

    async def read(self, topic, partition, start, *, wait_ms=0):
        """Waits for the release and returns what follows."""
        await self.release.wait()
        return log_store.Page(len(self.entries), self.entries[start:])

    async def append(self, topic, partition, entries, *, at=None):
        """Appends if the partition still ends there."""
        if at is not None and at != len(self.entries):
            raise exception.LogEndMoved(end=len(self.entries))
        offset = len(self.entries)
        self.entries.extend(entries)
        if self.lose_answers:
            raise exception.LinkLost(message="Lost.", remedy="")
        return log_store.AppendResult(offset, len(self.entries))


def claim_entry(member):
    """Returns the entry of a claim."""
    claim = terms.Claim(member=member, address="127.0.0.1:1")
    return (terms.KEY, msgspec.json.encode(claim))


@pytest.fixture
def claims():
    """Claims that a tail has taken, in order."""
    return []


def test_overlapping_reads_give_a_claim_one_term(claims):
    """Two reads at once give a claim the term of its own offset."""

    async def scenario():
        store = FakeStore()
        tail = terms.ClaimsTail(store=store, on_claim=claims.append)
        await tail.read_once(wait_ms=0)
        reads = [
            asyncio.create_task(tail.read_once(wait_ms=0)) for _ in range(2)
        ]
        await asyncio.sleep(0)
        store.entries.append(claim_entry("a"))
        store.release.set()
        await asyncio.gather(*reads)
        assert [claim.term for claim in claims] == [1]
        store.entries.append(claim_entry("b"))
        await tail.read_once(wait_ms=0)
        assert [claim.term for claim in claims] == [1, 2]

    asyncio.run(scenario())


def test_claim_behind_another_does_not_hold(claims):
    """A claim is refused when another came first."""

    async def scenario():
        store = FakeStore()
        store.release.set()
        tail = terms.ClaimsTail(store=store, on_claim=claims.append)
        await tail.read_once(wait_ms=0)
        store.entries.append(claim_entry("a"))
        mine = terms.Claim(member="b", address="127.0.0.1:2")
        tail.read_once = lambda *, wait_ms: asyncio.sleep(0)
        assert await terms.claim_term(store, tail, mine, after=0) is None
        assert len(store.entries) == 1

    asyncio.run(scenario())


def test_claim_does_not_follow_another_that_came_first(claims):
    """A process that finds a newer claim while claiming gives way."""

    async def scenario():
        store = FakeStore()
        store.release.set()
        tail = terms.ClaimsTail(store=store, on_claim=claims.append)
        await tail.read_once(wait_ms=0)
        store.entries.append(claim_entry("a"))
        mine = terms.Claim(member="b", address="127.0.0.1:2")
        assert await terms.claim_term(store, tail, mine, after=0) is None
        assert len(store.entries) == 1

    asyncio.run(scenario())


def test_claim_with_lost_answer_is_found_by_its_tail(claims):
    """A claim whose answer is lost begins when the tail shows it."""

    async def scenario():
        store = FakeStore()
        store.release.set()
        store.lose_answers = True
        tail = terms.ClaimsTail(store=store, on_claim=claims.append)
        mine = terms.Claim(member="b", address="127.0.0.1:2")
        await tail.read_once(wait_ms=0)
        assert await terms.claim_term(store, tail, mine, after=0) is None
        await tail.read_once(wait_ms=0)
        assert [(claim.member, claim.term) for claim in claims] == [("b", 1)]

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("newest", "health", "serving", "age_ms", "served"),
    [
        (None, messages.Health.HEALTHY, True, 9000.0, False),
        ("other", messages.Health.HEALTHY, False, 9000.0, True),
        ("other", messages.Health.DEGRADED, False, 9000.0, False),
        ("other", None, False, 9000.0, False),
        ("other", None, False, 100.0, True),
        ("me", None, True, 9000.0, True),
        ("me", messages.Health.HEALTHY, False, 100.0, False),
    ],
)
def test_working_term_is_not_ended(newest, health, serving, age_ms, served):
    """A chosen process claims only if no scheduler does its work."""

    async def scenario():
        tail = terms.ClaimsTail(store=None, on_claim=None)
        if newest is not None:
            tail.newest = terms.Claim(member=newest, address="", term=3)
            tail.newest_at_ms = clock.monotonic_ms() - age_ms

        async def ask(*, timeout_s):
            return health

        made = candidate.Candidate(
            store=types.SimpleNamespace(last_failed_ms=-1e12),
            claims=tail,
            member="me",
            address="",
            ttl_ms=1000,
            is_serving=lambda: serving,
            health=ask,
            scheduler_gone=lambda: False,
            delegate_claim=None,
            election_priority=1.0,
        )
        assert await made.scheduler_serves() is served

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("strength", "strong_claims", "claims"),
    [(0.2, True, 0), (0.2, False, 1), (2.0, True, 1)],
)
def test_weak_host_lets_a_strong_one_claim(strength, strong_claims, claims):
    """It claims itself only if no strong host does."""
    asked, made = [], []

    async def scenario():
        tail = terms.ClaimsTail(store=None, on_claim=None)
        tail.newest = terms.Claim(member="other", address="a:1", term=3)

        async def delegate_claim(term, *, without):
            asked.append((term, without))
            return strong_claims

        async def claim(*, after):
            made.append(after)

        found = candidate.Candidate(
            store=None,
            claims=tail,
            member="me",
            address="",
            ttl_ms=1000,
            is_serving=None,
            health=None,
            scheduler_gone=None,
            delegate_claim=delegate_claim,
            election_priority=strength,
        )
        found.claim = claim
        await found.claim_or_delegate()

    asyncio.run(scenario())
    assert made == [3] * claims
    assert asked == ([(3, "a:1")] if strength < 1.0 else [])
