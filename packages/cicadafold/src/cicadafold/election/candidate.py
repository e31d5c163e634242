"""Decides when this process claims the scheduler's role."""

import asyncio
import random

from cicadafold import clock
from cicadafold.election import terms
from cicadafold import exception
from cicadafold.peers import messages
from cicadafold.telemetry import logs

__all__ = ["Candidate"]

GROUP = "schedulers"
TOPIC = "keyed.control"
SUCCESSOR_PARTITION = 0
# The store's lowest time to live is in the settings; joins come at a third
# of it, so that two may be lost.
JOINS_PER_TTL = 3.0
MILLISECONDS = 1000
LOST_CLAIM_PAUSE_S = 0.3
# Pause between looks at a scheduler that may be gone; its spread is wider
# than the time of a claim.
LOSS_CHECK_PAUSE_S = (0.1, 0.35)
# A host of one whole core on an ample link is strong; others wait longer.
FULL_PRIORITY = 1.0
LOW_PRIORITY_DELAY_S = 0.3
# A healthy scheduler answers within a round trip between regions.
HEALTH_TIMEOUT_S = 0.25
# A scheduler that the store serves again is well within a few reads.
UNWELL_GRACE_MS = 1000.0
# Time in which a new term is not judged by the group's choice.
# It covers the recovery on a host with a narrow link.
NEW_TERM_GRACE_MS = 3000.0

LOG = logs.get_logger("election")


class Candidate:
    """Keeps this process in the group and claims a term when it leads.

    The group only chooses who claims next and notices deaths. What counts
    is the order of claims in the log, and the fence at each worker.

    Args:
        store: Client of the store.
        claims: Tail of the claims.
        member: Name of this process, new at each start.
        address: IP number and port for the links of the peers.
        ttl_ms: Milliseconds after which the store drops a silent member.
        serving: Function that tells whether this process serves the
            newest claim of its own.
        health: Coroutine function that asks the scheduler of the newest
            claim how its term is; None means no answer.
        scheduler_gone: Function that tells whether the process of the
            newest claim is known to be gone.
        ask_strong: Coroutine function that asks strong hosts to replace a
            term, without the address of its scheduler; tells whether one
            has.
        strength: How well this host can carry a scheduler; weak hosts let
            others go first.
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
        election_priority,
    ):
        self.store = store
        self.claims = claims
        self.member = member
        self.address = address
        self.ttl_ms = ttl_ms
        self.is_serving = is_serving
        self.health = health
        self.scheduler_gone = scheduler_gone
        self.delegate_claim = delegate_claim
        self.low_priority = election_priority < FULL_PRIORITY
        self.claim_delay_s = LOW_PRIORITY_DELAY_S if self.low_priority else 0.0
        self.generation = 0
        self.is_successor = False
        self.leaving = False

    async def run(self):
        """Joins again and again until the process leaves."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.maintain_membership())
            group.create_task(self.replace_lost_scheduler())

    async def replace_lost_scheduler(self):
        """Claims at once when the scheduler's process is gone.

        All processes may see that; a random pause lets one be first, and
        the others find its claim in the log.
        """
        while not self.leaving:
            pause_s = random.uniform(*LOSS_CHECK_PAUSE_S)
            await asyncio.sleep(pause_s + self.claim_delay_s)
            newest = self.claims.newest
            if newest is None or newest.member == self.member:
                continue
            if self.scheduler_gone() or await self.term_ended():
                await self.take_over(newest.term)

    async def term_ended(self):
        """Whether the process of the newest claim serves no term."""
        health = await self.health(timeout_s=HEALTH_TIMEOUT_S)
        return health is messages.Health.NO_TERM

    async def take_over(self, term):
        """Claims the next term unless another process has done so.

        Args:
            term: Newest term, which has ended.

        Returns:
            Whether a later term is known now.
        """
        if self.leaving:
            return False
        try:
            await self.claims.read_once(wait_ms=0)
            if self.newest_term() <= term:
                LOG.info("A term has ended.", fields={"term": term})
                await self.claim(after=term)
        except (exception.LogUnavailable, exception.LinkLost) as error:
            LOG.debug("The claims cannot be read: %s", error)
        return self.newest_term() > term

    async def maintain_membership(self):
        """Stays in the group and claims when it names this process."""
        pause_s = self.ttl_ms / MILLISECONDS / JOINS_PER_TTL
        while not self.leaving:
            try:
                await self.join_once()
                if self.is_successor and not await self.scheduler_serves():
                    await self.claim_or_delegate()
            except (exception.LogUnavailable, exception.LinkLost) as error:
                LOG.debug("The group cannot be joined: %s", error)
            await asyncio.sleep(pause_s)

    async def claim_or_delegate(self):
        """Claims the next term, if no strong host does it for a weak one.

        A weak host takes seconds to read the journal, and its link is full
        meanwhile, so that it seems to be gone itself.
        """
        newest = self.claims.newest
        term = self.newest_term()
        if self.low_priority and newest is not None:
            if await self.delegate_claim(term, without=newest.address):
                return
        await self.claim(after=term)

    async def join_once(self):
        """Stays in the group and notes whether this process leads."""
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
                "The group names this process the next scheduler."
                if is_successor
                else "The group names another process.",
                fields={"generation": found.generation},
            )
        self.is_successor = is_successor

    async def scheduler_serves(self):
        """Whether a scheduler does its work, here or elsewhere.

        The group moves its choice whenever members come and go; a term
        that works is not ended for that.
        """
        newest = self.claims.newest
        if newest is None:
            return False
        if newest.member == self.member:
            return self.is_serving()
        age_ms = clock.monotonic_ms() - self.claims.newest_at_ms
        if age_ms < NEW_TERM_GRACE_MS:
            # Links to a new scheduler are still made; one whose process
            # ends meanwhile is replaced without the group.
            return True
        health = await self.health(timeout_s=HEALTH_TIMEOUT_S)
        if health is messages.Health.DEGRADED:
            # After an outage the scheduler needs a moment, as we did.
            served_ms = clock.monotonic_ms() - self.store.last_failed_ms
            return served_ms < UNWELL_GRACE_MS
        return health is messages.Health.HEALTHY

    def newest_term(self):
        """Returns the newest term known, 0 if there is none."""
        newest = self.claims.newest
        return 0 if newest is None else newest.term

    async def claim(self, *, after):
        """Claims the term after another; the tail of the claims begins it."""
        claim = terms.Claim(member=self.member, address=self.address)
        term = await terms.claim_term(
            self.store, self.claims, claim, after=after
        )
        await self.claims.read_once(wait_ms=0)
        if term is None:
            await asyncio.sleep(LOST_CLAIM_PAUSE_S)

    async def leave(self):
        """Leaves the group, so that the next process need not wait."""
        self.leaving = True
        self.is_successor = False
        try:
            await self.store.leave(GROUP, self.member)
        except (exception.LogUnavailable, exception.LinkLost) as error:
            LOG.warning("The group could not be left: %s", error)
