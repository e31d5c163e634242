"""Decides when this process claims the next term of the scheduler."""

import asyncio
import random

from cicadafold import clock
from cicadafold.election import judge
from cicadafold.election import loss
from cicadafold.election import terms
from cicadafold import exception
from cicadafold.peers import messages
from cicadafold.telemetry import logs

__all__ = ["Candidate"]

GROUP = "schedulers"
TOPIC = "keyed.control"
# The member that holds this partition of the topic is the successor.
SUCCESSOR_PARTITION = 0
# Joins per time to live of the membership, so that two successive ones may be
# lost. The settings hold the shortest time to live that the store accepts.
JOINS_PER_TTL = 3.0
MS_PER_S = 1000
LOST_CLAIM_PAUSE_S = 0.3
# Bounds of the random pause between two checks for a lost scheduler. They
# differ by more than the duration of a claim, so that processes seldom claim
# at the same time.
LOSS_CHECK_PAUSE_S = (0.1, 0.35)
# Election priority of a host with a whole core and an ample link. Processes
# on hosts below it wait longer before they claim.
FULL_PRIORITY = 1.0
LOW_PRIORITY_DELAY_S = 0.3
# Time for which a process lets a peer that has announced it claim a term.
# A claim takes a few calls to the store, which are slow at times.
CLAIM_HOLD_MS = 500.0
CLAIM_CALLS = 4
LOG = logs.get_logger("election")


class Candidate:
    """Keeps this process in the group of candidates and claims terms.

    The store's group membership detects failed processes and assigns the
    role of the successor, which should claim next, to one member. It does not
    decide who is the scheduler: that is the order of the claims in the log,
    enforced by the fence at each worker.

    Args:
        store: Client of the store.
        claims: ``ClaimsTail`` of this process.
        member: Name of this process, different after each start.
        address: IP number and port at which peers open links to it.
        ttl_ms: Milliseconds after which the store removes a member that does
            not join again.
        is_serving: Function that returns whether this process serves a term.
        health: Coroutine function that returns the ``Health`` of the term of
            the newest claim, or None if its process does not answer.
        scheduler_gone: Function that returns whether the process of the
            newest claim is known to have ended.
        delegate_claim: Coroutine function that asks hosts of high priority to
            replace a term, except the one at the given address, and returns
            whether one has done so.
        ask_health: Coroutine function that returns the ``KnownHealth`` of
            some processes, without the one at the given address.
        announce_intent: Function that tells all processes that this one
            claims the term after the given one.
        election_priority: How well this host can carry a scheduler. Processes
            on hosts below ``FULL_PRIORITY`` let others claim first.
        metrics: Metrics that count the replaced terms by reason.

    Attributes:
        judge: ``SchedulerJudge`` of this process.
        low_priority: Whether the priority is below ``FULL_PRIORITY``.
        claim_delay_s: Seconds between noticing that the scheduler is lost and
            claiming, in which a host of higher priority can claim.
        join_pause_s: Seconds between two renewals of the membership.
        generation: Number of the group's last change known to this process.
        joined: Whether the last renewal of the membership succeeded.
        is_successor: Whether the group has assigned this process the role of
            the successor.
        leaving: Whether this process is leaving the group.
        held_term: Term that a peer is about to replace.
        held_until_ms: Monotonic time in milliseconds until which this process
            lets that peer claim.
    """

    def __init__(
        self,
        *,
        store,
        claims,
        member,
        address,
        ttl_ms,
        is_serving,
        health,
        scheduler_gone,
        delegate_claim,
        ask_health,
        announce_intent,
        election_priority,
        metrics,
    ):
        self.metrics = metrics
        self.store = store
        self.claims = claims
        self.member = member
        self.address = address
        self.ttl_ms = ttl_ms
        self.health = health
        self.judge = judge.SchedulerJudge(
            store=store,
            claims=claims,
            member=member,
            is_serving=is_serving,
            health=health,
            ask_health=ask_health,
        )
        self.scheduler_gone = scheduler_gone
        self.delegate_claim = delegate_claim
        self.announce_intent = announce_intent
        self.low_priority = election_priority < FULL_PRIORITY
        self.claim_delay_s = LOW_PRIORITY_DELAY_S if self.low_priority else 0.0
        self.join_pause_s = ttl_ms / MS_PER_S / JOINS_PER_TTL
        self.generation = 0
        self.joined = False
        self.is_successor = False
        self.leaving = False
        self.held_term = 0
        self.held_until_ms = 0.0

    def hold_claims(self, term):
        """Lets a peer replace a term, as it has announced.

        Appends to the log of claims are executed one after another; claims of
        all processes at once would delay all of them while the store is slow.

        Args:
            term: Term that has ended.
        """
        if term < self.held_term:
            return
        hold_ms = max(CLAIM_HOLD_MS, CLAIM_CALLS * self.store.mean_answer_ms)
        self.held_term = term
        self.held_until_ms = clock.monotonic_ms() + hold_ms

    def held(self, term):
        """Whether a peer is claiming the term after the given one."""
        return (
            term <= self.held_term
            and clock.monotonic_ms() < self.held_until_ms
        )

    async def run(self):
        """Renews the membership and watches the scheduler until it leaves."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.maintain_membership())
            group.create_task(self.replace_judged_scheduler())
            group.create_task(self.replace_lost_scheduler())

    async def replace_lost_scheduler(self):
        """Claims the next term when the scheduler's process is lost.

        All processes may detect that at the same time. With a random pause
        between checks, one usually claims first and the others find its claim
        in the log.
        """
        while not self.leaving:
            await asyncio.sleep(random.uniform(*LOSS_CHECK_PAUSE_S))
            newest = self.claims.newest
            if newest is None or newest.member == self.member:
                continue
            if self.scheduler_gone():
                reason = loss.LossReason.PROCESS_ENDED
            elif await self.term_ended():
                reason = loss.LossReason.NO_TERM_SERVED
            else:
                continue
            await asyncio.sleep(self.claim_delay_s)
            if not self.held(newest.term):
                await self.take_over(newest.term, reason)

    async def term_ended(self):
        """Whether the process of the newest claim answers with no term."""
        health = await self.health(timeout_s=judge.HEALTH_TIMEOUT_S)
        return health is messages.Health.NO_TERM

    async def take_over(self, term, reason):
        """Claims the next term unless another process has done so.

        Args:
            term: Term that has ended.
            reason: ``LossReason`` for which it is replaced.

        Returns:
            Whether a term later than that is known now.
        """
        if self.leaving:
            return False
        try:
            await self.claims.read_once(wait_ms=0)
            if self.claims.newest_term() <= term and not self.held(term):
                await self.claim(after=term, reason=reason)
        except (exception.LogUnavailable, exception.LinkLost) as error:
            LOG.debug("The next term could not be claimed: %s", error)
        return self.claims.newest_term() > term

    async def maintain_membership(self):
        """Renews the membership until this process leaves the group."""
        while not self.leaving:
            try:
                await self.join_once()
                self.joined = True
            except (exception.LogUnavailable, exception.LinkLost) as error:
                self.joined = False
                LOG.debug("Joining the group failed, retrying: %s", error)
            await asyncio.sleep(self.join_pause_s)

    async def replace_judged_scheduler(self):
        """Judges the scheduler, and replaces it, if this is the successor.

        A judgement and the requests to other hosts take longer than the time
        between two renewals of the membership.
        """
        while not self.leaving:
            await asyncio.sleep(self.join_pause_s)
            if not (self.is_successor and self.joined):
                continue
            term = self.claims.newest_term()
            if self.held(term):
                continue
            try:
                reason = await self.judge.find_loss()
                if self.claims.newest_term() != term:
                    # The judgement is about a term that was replaced.
                    continue
                if self.judge.patience_is_exhausted(reason):
                    await self.claim_or_delegate(reason)
            except (exception.LogUnavailable, exception.LinkLost) as error:
                LOG.debug("Claiming a term failed, retrying: %s", error)

    async def claim_or_delegate(self, reason):
        """Claims the next term unless a host of higher priority does so.

        A process of low priority first asks hosts of high priority to claim.
        It would take seconds to read the journal itself, and its saturated
        link would make it look lost to its peers meanwhile.

        Args:
            reason: ``LossReason`` for which the newest term is replaced.
        """
        newest = self.claims.newest
        term = self.claims.newest_term()
        if self.low_priority and newest is not None:
            LOG.info(
                "Asking hosts of high priority to replace the scheduler.",
                fields={"term": term, "reason": reason.value},
            )
            if await self.delegate_claim(term, reason, without=newest.address):
                return
        await self.claim(after=term, reason=reason)

    async def join_once(self):
        """Joins the group, or renews the membership, and updates the role."""
        found = await self.store.join(
            GROUP,
            self.member,
            TOPIC,
            ttl_ms=self.ttl_ms,
            generation=self.generation,
        )
        self.generation = found.generation
        is_successor = (TOPIC, SUCCESSOR_PARTITION) in found.assigned
        if is_successor != self.is_successor:
            LOG.info(
                "This process is now the successor of the scheduler."
                if is_successor
                else "This process is no longer the successor of the "
                "scheduler.",
                fields={"generation": found.generation},
            )
        self.is_successor = is_successor

    async def claim(self, *, after, reason):
        """Tries to claim the next term.

        If the claim holds, the claims tail reads it and starts the term.

        Args:
            after: Newest term that the claim may replace.
            reason: ``LossReason`` for which it is replaced.
        """
        age_ms = clock.monotonic_ms() - self.claims.newest_at_ms
        LOG.info(
            "A term has ended; claiming the next one.",
            fields={
                "term": after,
                "reason": reason.value,
                "known_for_ms": round(age_ms) if after else None,
                "replaced_in_a_row": self.judge.count_replaced(reason),
            },
        )
        self.metrics.count("term_claims", reason=reason.name.lower())
        self.announce_intent(after)
        claim = terms.Claim(
            member=self.member,
            address=self.address,
            replaced=self.judge.count_replaced(reason),
            spares_unheard=True,
        )
        term = await terms.claim_term(
            self.store, self.claims, claim, after=after
        )
        await self.claims.read_once(wait_ms=0)
        if term is None:
            await asyncio.sleep(LOST_CLAIM_PAUSE_S)

    async def leave(self):
        """Leaves the group, so that the next successor is assigned at once."""
        self.leaving = True
        self.is_successor = False
        try:
            await self.store.leave(GROUP, self.member)
        except (exception.LogUnavailable, exception.LinkLost) as error:
            LOG.warning(
                "The group could not be left; the store removes this process "
                "when its membership expires: %s",
                error,
            )
