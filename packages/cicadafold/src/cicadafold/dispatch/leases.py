"""Leases that a term may grant, and the proof that it is the newest term.

A scheduler may be replaced without noticing it, and goes on to extend the
leases on the workers that its successor does not reach. So no lease ends
later than a fixed time after a moment at which no later term had started. The
successor waits for that time before it takes such leases as lapsed.
"""

import asyncio

from cicadafold import clock
from cicadafold import exception
from cicadafold.peers import messages
from cicadafold.telemetry import logs

__all__ = ["LeaseTimes", "TermProof"]

PROOF_PERIOD_S = 0.4
# Peers are asked only if the store has not answered for this time.
STORE_PROOF_AGE_MS = 800.0
WITNESS_PERIOD_S = 0.5
# A process that has not been linked for this time counts as one that has left
# the cell.
WITNESS_MEMORY_MS = 12000.0

LOG = logs.get_logger("term")


class LeaseTimes:
    """Durations of leases, in milliseconds.

    Args:
        max_lease_ms: Longest lease that a worker grants.

    Attributes:
        lease_ms: Length of the leases that the scheduler requests.
        horizon_ms: Longest time from the last proof that a term is the newest
            one to the end of a lease that it grants.
        proof: ``TermProof`` that limits the leases, or None.
    """

    # Requested share of the longest lease. All processes can restart within
    # such a lease, and the tasks of a dead worker are soon started again.
    SHARE = 0.6
    # The difference leaves time for the next proof, also in a short outage of
    # the store.
    HORIZON_SHARE = 0.8

    def __init__(self, *, max_lease_ms):
        self.max_lease_ms = max_lease_ms
        self.lease_ms = max_lease_ms * self.SHARE
        self.horizon_ms = max_lease_ms * self.HORIZON_SHARE
        self.proof = None

    def grantable_ms(self):
        """Returns the length of a lease that may be granted now, 0 for none.

        Without a proof to limit them, all leases have the usual length.
        """
        if self.proof is None:
            return self.lease_ms
        return max(0.0, min(self.lease_ms, self.proof.left_ms()))


class TermProof:
    """Proves again and again that no later term has started.

    The store proves it by answering a read of the newest claim. In an outage
    of the store for all processes no term can be claimed; then it is proved
    by all other processes, none of which knows a later claim.

    Args:
        term: Number of the term.
        read_newest_claim: Coroutine function that reads the newest claim;
            reading a later one ends the term.
        known_addresses: Function that returns the addresses of the other
            processes, as far as they are known.
        linked_addresses: Function that returns those whose link is open.
        ask_newest_term: Coroutine function that returns the newest term that
            the process at an address knows, 0 for none, ``PROCESS_ENDED``
            if it has ended, None if it does not answer.
        horizon_ms: Milliseconds after a proof by which leases have to end.
        ended: Function that returns whether the term has to end.
        on_confirmed: Function called when leases can be granted again.

    Attributes:
        proved_ms: Time of the last proof, in milliseconds since the host has
            booted, or None.
        store_proved_ms: Time of the last one by the store, or None.
        witnesses: By address of a process that may claim a term, time at
            which it was linked last, or else became known.
        forgotten: Known addresses that have not been linked for so long that
            their processes count as gone.
        unanswered: Addresses of the witnesses that did not answer last.
        doubtful: Addresses of the witnesses that have not answered once since
            the store or they themselves told the newest term.
        lapsed: Whether no leases can be granted.
    """

    def __init__(
        self,
        *,
        term,
        read_newest_claim,
        known_addresses,
        linked_addresses,
        ask_newest_term,
        horizon_ms,
        ended,
        on_confirmed,
    ):
        self.term = term
        self.read_newest_claim = read_newest_claim
        self.known_addresses = known_addresses
        self.linked_addresses = linked_addresses
        self.ask_newest_term = ask_newest_term
        self.horizon_ms = horizon_ms
        self.ended = ended
        self.on_confirmed = on_confirmed
        self.proved_ms = None
        self.store_proved_ms = None
        self.witnesses = {}
        self.forgotten = set()
        self.unanswered = []
        self.doubtful = set()
        self.lapsed = False

    def age_ms(self):
        """Returns the time since the last proof in milliseconds.

        It counts the time for which the host was suspended.
        """
        if self.proved_ms is None:
            return float("inf")
        return clock.boot_ms() - self.proved_ms

    def rounded_age_ms(self):
        """Returns the age in whole milliseconds; None without a proof."""
        return None if self.proved_ms is None else round(self.age_ms())

    def left_ms(self):
        """Returns the time by which leases have to end, from now on."""
        return self.horizon_ms - self.age_ms()

    def valid(self):
        """Whether leases may be granted."""
        return self.left_ms() > 0

    async def run(self):
        """Renews the proof until the task is cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.ask_store_repeatedly())
            group.create_task(self.ask_witnesses_repeatedly())

    async def ask_store_repeatedly(self):
        """Reads the newest claim again and again."""
        while True:
            asked_ms = clock.boot_ms()
            try:
                await self.read_newest_claim()
            except (exception.LogUnavailable, exception.LinkLost) as error:
                LOG.debug("The newest claim could not be read: %s", error)
            else:
                if not self.ended():
                    self.on_store_proof(asked_ms)
            self.notice_changes()
            await asyncio.sleep(PROOF_PERIOD_S)

    def on_store_proof(self, asked_ms):
        """Records that the store knew no later claim at a time.

        Args:
            asked_ms: Time at which it was asked.
        """
        self.store_proved_ms = asked_ms
        self.doubtful.clear()
        self.record_proof(asked_ms)
        self.note_witnesses(asked_ms)
        for address, known_ms in list(self.witnesses.items()):
            if asked_ms - known_ms > WITNESS_MEMORY_MS:
                del self.witnesses[address]
                self.forgotten.add(address)

    def note_witnesses(self, now_ms):
        """Notes the known processes.

        The directory forgets a process that does not answer its first calls,
        which may nevertheless reach the store, and knows one that is gone for
        as long as the term lasts.
        """
        for address in self.linked_addresses():
            self.witnesses[address] = now_ms
            self.forgotten.discard(address)
        for address in self.known_addresses() - self.forgotten:
            self.witnesses.setdefault(address, now_ms)

    def record_proof(self, asked_ms):
        """Records that no later term had started at a time."""
        self.proved_ms = max(asked_ms, self.proved_ms or asked_ms)

    async def ask_witnesses_repeatedly(self):
        """Asks the other processes while the store does not answer."""
        while True:
            await asyncio.sleep(WITNESS_PERIOD_S)
            if self.needs_witnesses():
                asked_ms = clock.boot_ms()
                self.note_witnesses(asked_ms)
                if await self.witnesses_know_no_later_term():
                    self.record_proof(asked_ms)
            self.notice_changes()

    def needs_witnesses(self):
        """Whether the store has not given the proof for some time."""
        if self.store_proved_ms is None:
            return False
        return clock.boot_ms() - self.store_proved_ms > STORE_PROOF_AGE_MS

    async def witnesses_know_no_later_term(self):
        """Whether every other process has ended or knows no later term.

        One that does not answer may have claimed it. It may also have been
        replaced behind a cut by a process with another address, so its end
        shows nothing after that. Without any witness, nothing is known of the
        others.
        """
        addresses = list(self.witnesses)
        known = await asyncio.gather(*map(self.ask_newest_term, addresses))
        self.unanswered = []
        for address, term in zip(addresses, known):
            if term is None:
                self.doubtful.add(address)
                self.unanswered.append(address)
            elif term != messages.PROCESS_ENDED:
                self.doubtful.discard(address)
        newest = max((term for term in known if term is not None), default=0)
        return bool(addresses) and not self.doubtful and newest <= self.term

    def notice_changes(self):
        """Notices when leases can no longer be granted, or can be again."""
        lapsed = self.proved_ms is not None and not self.valid()
        if lapsed == self.lapsed:
            return
        self.lapsed = lapsed
        fields = {"term": self.term, "proof_age_ms": self.rounded_age_ms()}
        if lapsed:
            LOG.warning(
                "Neither the store nor all peers confirm that this is the "
                "newest term; leases are not extended and no tasks started.",
                fields=fields | {"unanswered": self.unanswered},
            )
        else:
            LOG.info(
                "The term is confirmed again; leases are extended.",
                fields=fields,
            )
            self.on_confirmed()
