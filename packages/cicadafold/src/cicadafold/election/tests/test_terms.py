"""Tests of claims, of their terms and of when a process claims."""

import asyncio
import types

import msgspec
import pytest

from cicadafold import clock
from cicadafold.election import candidate
from cicadafold.election import loss
from cicadafold.election import terms
from cicadafold import exception
from cicadafold.peers import messages
from cicadafold.platform import store_answers
from cicadafold.telemetry import metrics


class FakeStore:
    """A store with one partition, whose reads wait until allowed."""

    def __init__(self):
        self.entries = []
        self.reads_allowed = asyncio.Event()
        self.lose_answers = False

    async def newest(self, topic, partition):
        """Returns no records, and the end of the partition."""
        return [], len(self.entries)

    async def read(self, topic, partition, start, *, wait_ms=0):
        """Returns the entries from an offset on, once reads are allowed."""
        await self.reads_allowed.wait()
        return store_answers.Page(len(self.entries), self.entries[start:])

    async def append(self, topic, partition, entries, *, at=None):
        """Appends entries if the partition ends at the expected offset."""
        if at is not None and at != len(self.entries):
            raise exception.LogEndMoved(end=len(self.entries))
        offset = len(self.entries)
        self.entries.extend(entries)
        if self.lose_answers:
            raise exception.LinkLost(message="Lost.", remedy="")
        return store_answers.AppendResult(offset, len(self.entries))


def claim_entry(member):
    """Returns the log entry of a claim by a member."""
    claim = terms.Claim(member=member, address="127.0.0.1:1")
    return (terms.KEY, msgspec.json.encode(claim))


@pytest.fixture
def claims():
    """List for the claims that a tail has applied, in order."""
    return []


def test_overlapping_reads_apply_a_claim_once(claims):
    """The term is that of the claim's offset, whichever read returns it."""

    async def scenario():
        store = FakeStore()
        tail = terms.ClaimsTail(store=store, on_claim=claims.append)
        await tail.read_once(wait_ms=0)
        reads = [
            asyncio.create_task(tail.read_once(wait_ms=0)) for _ in range(2)
        ]
        await asyncio.sleep(0)
        store.entries.append(claim_entry("a"))
        store.reads_allowed.set()
        await asyncio.gather(*reads)
        assert [claim.term for claim in claims] == [1]
        store.entries.append(claim_entry("b"))
        await tail.read_once(wait_ms=0)
        assert [claim.term for claim in claims] == [1, 2]

    asyncio.run(scenario())


def test_append_fails_if_another_claim_came_first(claims):
    """The store refuses a claim whose tail has not seen a newer one."""

    async def scenario():
        store = FakeStore()
        store.reads_allowed.set()
        tail = terms.ClaimsTail(store=store, on_claim=claims.append)
        await tail.read_once(wait_ms=0)
        store.entries.append(claim_entry("a"))
        own_claim = terms.Claim(member="b", address="127.0.0.1:2")
        tail.read_once = lambda *, wait_ms: asyncio.sleep(0)
        assert await terms.claim_term(store, tail, own_claim, after=0) is None
        assert len(store.entries) == 1

    asyncio.run(scenario())


def test_nothing_is_appended_if_a_newer_claim_is_read(claims):
    """A process that reads a newer claim before its append gives up."""

    async def scenario():
        store = FakeStore()
        store.reads_allowed.set()
        tail = terms.ClaimsTail(store=store, on_claim=claims.append)
        await tail.read_once(wait_ms=0)
        store.entries.append(claim_entry("a"))
        own_claim = terms.Claim(member="b", address="127.0.0.1:2")
        assert await terms.claim_term(store, tail, own_claim, after=0) is None
        assert len(store.entries) == 1

    asyncio.run(scenario())


def test_unconfirmed_claim_is_applied_by_the_tail(claims):
    """A claim whose answer is lost holds once the tail has read it."""

    async def scenario():
        store = FakeStore()
        store.reads_allowed.set()
        store.lose_answers = True
        tail = terms.ClaimsTail(store=store, on_claim=claims.append)
        own_claim = terms.Claim(member="b", address="127.0.0.1:2")
        await tail.read_once(wait_ms=0)
        assert await terms.claim_term(store, tail, own_claim, after=0) is None
        await tail.read_once(wait_ms=0)
        assert [(claim.member, claim.term) for claim in claims] == [("b", 1)]

    asyncio.run(scenario())


async def ask_no_peer(*, without):
    """Returns the health that no peer has told."""
    return []


def make_candidate(**arguments):
    """Returns a candidate of full priority with some given arguments."""
    known = {
        "store": None,
        "member": "me",
        "address": "",
        "ttl_ms": 1000,
        "is_serving": None,
        "health": None,
        "scheduler_gone": None,
        "delegate_claim": None,
        "ask_health": ask_no_peer,
        "announce_intent": lambda term: None,
        "election_priority": 1.0,
        "metrics": metrics.Metrics(),
    }
    return candidate.Candidate(**(known | arguments))


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
def test_successor_claims_only_if_no_term_is_served(
    newest, health, serving, age_ms, served
):
    """A new term, and one whose scheduler is healthy, count as served.

    Otherwise the successor would end them whenever the group changes.
    """

    async def scenario():
        tail = terms.ClaimsTail(store=None, on_claim=None)
        if newest is not None:
            tail.newest = terms.Claim(member=newest, address="", term=3)
            tail.newest_at_ms = clock.monotonic_ms() - age_ms

        async def ask_health(*, timeout_s):
            return health

        process = make_candidate(
            store=types.SimpleNamespace(last_failed_ms=-1e12),
            claims=tail,
            is_serving=lambda: serving,
            health=ask_health,
            scheduler_gone=lambda: False,
        )
        assert (await process.judge.find_loss() is None) is served

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("known", "lost"),
    [
        ([(3, messages.Health.HEALTHY)], None),
        ([(3, None), (3, messages.Health.HEALTHY)], None),
        ([(4, None)], None),
        ([(2, messages.Health.HEALTHY)], loss.LossReason.NO_ANSWER),
        ([(3, None)], loss.LossReason.NO_ANSWER),
        ([(3, messages.Health.DEGRADED)], loss.LossReason.DEGRADED),
        ([(3, messages.Health.NO_TERM)], loss.LossReason.NO_TERM_SERVED),
        ([], loss.LossReason.NO_ANSWER),
    ],
)
def test_scheduler_that_answers_a_peer_is_not_replaced(known, lost):
    """One process that did not reach the scheduler ended its term for all."""

    async def scenario():
        tail = terms.ClaimsTail(store=None, on_claim=None)
        tail.newest = terms.Claim(member="other", address="a:1", term=3)

        async def ask_health(*, without):
            assert without == "a:1"
            return [messages.KnownHealth(*each) for each in known]

        async def no_answer(*, timeout_s):
            return None

        process = make_candidate(
            store=types.SimpleNamespace(last_failed_ms=-1e12),
            claims=tail,
            health=no_answer,
            ask_health=ask_health,
        )
        assert await process.judge.find_loss() is lost

    asyncio.run(scenario())


def known_term(replaced, age_ms=1000.0):
    """Returns a claims tail that knows a term of another process."""
    tail = terms.ClaimsTail(store=None, on_claim=None)
    tail.newest = terms.Claim(
        member="other", address="a:1", term=3, replaced=replaced
    )
    tail.newest_at_ms = clock.monotonic_ms() - age_ms
    return tail


@pytest.mark.parametrize(
    ("replaced", "age_ms", "reason", "expected"),
    [
        (2, 1000.0, loss.LossReason.NO_ANSWER, 3),
        (2, 1000.0, loss.LossReason.DEGRADED, 3),
        (2, 1000.0, loss.LossReason.HANDED_OVER, 3),
        (2, 1000.0, loss.LossReason.PREFERRED, 2),
        (2, 1000.0, loss.LossReason.STOPPING, 2),
        (2, 1000.0, loss.LossReason.PROCESS_ENDED, 2),
        (2, 59_000.0, loss.LossReason.NO_ANSWER, 3),
        (2, 60_000.0, loss.LossReason.NO_ANSWER, 1),
        (2, 60_000.0, loss.LossReason.PROCESS_ENDED, 0),
        (terms.MAX_REPLACED, 0.0, loss.LossReason.DEGRADED, 1 << 16),
    ],
)
def test_terms_that_are_judged_one_after_the_other_are_counted(
    replaced, age_ms, reason, expected
):
    """The count is bounded, and begins anew after a term that has settled."""
    process = make_candidate(claims=known_term(replaced, age_ms))
    assert process.judge.count_replaced(reason) == expected


@pytest.mark.parametrize(
    ("replaced", "reason", "checks"),
    [
        (0, loss.LossReason.DEGRADED, 1),
        (2, loss.LossReason.DEGRADED, 4),
        (60, loss.LossReason.DEGRADED, 8),
        (60, loss.LossReason.NO_ANSWER, 3),
        (60, loss.LossReason.NO_TERM_SERVED, 1),
    ],
)
def test_term_after_others_has_to_be_found_lost_more_often(
    replaced, reason, checks
):
    """Terms replaced each other without end, each judged like the last."""
    judge = make_candidate(claims=known_term(replaced)).judge
    for _ in range(checks - 1):
        assert not judge.patience_is_exhausted(reason)
    assert not judge.patience_is_exhausted(None)
    for _ in range(checks - 1):
        assert not judge.patience_is_exhausted(reason)
    assert judge.patience_is_exhausted(reason)


@pytest.mark.parametrize("replaced", [-1, terms.MAX_REPLACED + 1])
def test_claim_with_an_odd_count_is_refused(replaced):
    """A count out of range would exceed any time when it is doubled."""
    body = msgspec.json.encode(
        {"member": "a", "address": "127.0.0.1:1", "replaced": replaced}
    )
    with pytest.raises(msgspec.DecodeError):
        terms.decode(body)


@pytest.mark.parametrize(
    ("strength", "other_claims", "claims"),
    [(0.2, True, 0), (0.2, False, 1), (2.0, True, 1)],
)
def test_low_priority_process_claims_only_if_no_other_does(
    strength, other_claims, claims
):
    """It first asks processes on hosts of high priority to claim."""
    asked, claimed = [], []

    async def scenario():
        tail = terms.ClaimsTail(store=None, on_claim=None)
        tail.newest = terms.Claim(member="other", address="a:1", term=3)

        async def delegate_claim(term, reason, *, without):
            asked.append((term, without))
            return other_claims

        async def claim(*, after, reason):
            claimed.append(after)

        process = make_candidate(
            claims=tail,
            delegate_claim=delegate_claim,
            election_priority=strength,
        )
        process.claim = claim
        await process.claim_or_delegate(loss.LossReason.NO_ANSWER)

    asyncio.run(scenario())
    assert claimed == [3] * claims
    assert asked == ([(3, "a:1")] if strength < 1.0 else [])


def losing_candidate(priority, taken_over):
    """Returns a candidate whose scheduler is gone.

    Args:
        priority: Election priority of its host.
        taken_over: List to which each term that it replaces is added.
    """
    tail = terms.ClaimsTail(store=None, on_claim=None)
    tail.newest = terms.Claim(member="other", address="a:1", term=3)

    async def take_over(term, reason):
        taken_over.append(term)
        process.leaving = True

    process = make_candidate(
        store=types.SimpleNamespace(mean_answer_ms=264.0),
        claims=tail,
        scheduler_gone=lambda: True,
        election_priority=priority,
    )
    process.take_over = take_over
    return process


@pytest.mark.parametrize("priority", [0.2, 2.0])
def test_announced_claim_of_a_peer_is_awaited(priority):
    """A process claims only once the peer has had time to do so."""
    taken_over = []

    async def scenario():
        process = losing_candidate(priority, taken_over)
        process.hold_claims(3)
        running = asyncio.create_task(process.replace_lost_scheduler())
        await asyncio.sleep(0.9)
        assert taken_over == []
        assert process.held(3) and not process.held(4)
        await asyncio.wait_for(running, 2.0)

    asyncio.run(scenario())
    assert taken_over == [3]


def test_process_of_low_priority_waits_after_noticing_the_loss():
    """A process of full priority that notices it later claims before it."""
    taken_over = []

    async def scenario():
        weak = losing_candidate(0.2, taken_over)
        running = asyncio.create_task(weak.replace_lost_scheduler())
        await asyncio.sleep(candidate.LOSS_CHECK_PAUSE_S[1])
        assert taken_over == []
        weak.hold_claims(3)
        await asyncio.sleep(candidate.LOW_PRIORITY_DELAY_S + 0.1)
        assert taken_over == []
        running.cancel()

    asyncio.run(scenario())


def test_membership_is_renewed_while_the_scheduler_is_judged():
    """The successor lost its role as it waited for answers of its peers."""
    joined_s = []

    async def scenario():
        loop = asyncio.get_running_loop()

        async def join_once():
            joined_s.append(loop.time())
            process.is_successor = True

        async def find_loss():
            await asyncio.sleep(1.0)

        async def healthy(*, timeout_s):
            return messages.Health.HEALTHY

        process = make_candidate(
            claims=known_term(0),
            ttl_ms=300,
            health=healthy,
            scheduler_gone=lambda: False,
        )
        process.join_once = join_once
        process.judge.find_loss = find_loss
        running = asyncio.create_task(process.run())
        await asyncio.sleep(1.0)
        running.cancel()

    asyncio.run(scenario())
    assert len(joined_s) >= 5


def test_term_that_began_during_a_judgement_is_not_replaced():
    """The peers were asked about the last one, which had been lost."""
    claimed = []

    async def scenario():
        tail = known_term(0, age_ms=9000.0)

        async def no_answer(*, timeout_s):
            return None

        async def ask_health(*, without):
            tail.newest = terms.Claim(member="new", address="b:1", term=4)
            tail.newest_at_ms = clock.monotonic_ms()
            return []

        async def claim(*, after, reason):
            claimed.append(after)
            process.leaving = True

        process = make_candidate(
            store=types.SimpleNamespace(last_failed_ms=-1e12),
            claims=tail,
            ttl_ms=30,
            health=no_answer,
            ask_health=ask_health,
        )
        process.claim = claim
        process.is_successor = process.joined = True
        judging = asyncio.create_task(process.replace_judged_scheduler())
        await asyncio.sleep(0.2)
        judging.cancel()

    asyncio.run(scenario())
    assert claimed == []
