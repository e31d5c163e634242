"""Leases that a term may grant, and the proof that it is the newest term.

A scheduler may be replaced without noticing it, and goes on to extend the
leases on the workers that its successor does not reach. So no lease ends
later than a fixed time after a moment at which no later term had started. The
successor waits for that time before it takes such leases as lapsed.
"""

import asyncio

from cicadafold import clock
from cicadafold import exception
from cicadafold.telemetry import logs

__all__ = ["LeaseTimes", "TermProof"]

PROOF_PERIOD_S = 0.4
# Peers are asked only if the store has not answered for this time.
STORE_PROOF_AGE_MS = 800.0
# A process that has not been linked for this time has left the cell.
WITNESS_MEMORY_MS = 60000.0

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
    # The difference leaves time for the next proof.
    HORIZON_SHARE = 0.7

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
        left_ms = self.horizon_ms - self.proof.age_ms()
        return max(0.0, min(self.lease_ms, left_ms))


class TermProof:
    """Proves again and again that no later term has started.

    The store proves it by answering a read of the newest claim. In an outage
    of the store for all processes no term can be claimed; then it is proved
    by all peers, none of which knows a later claim.

    Args:
        term: Number of the term.
        read_newest_claim: Coroutine function that reads the newest claim;
            reading a later one ends the term.
        list_peers: Function that returns the handles of this process and its
            peers.
        known_addresses: Function that returns the addresses of all peers
            that are known, with or without an open link.
        lease: ``LeaseTimes`` of the term.
        ended: Function that returns whether the term has to end.
        on_confirmed: Function called when leases can be granted again.

    Attributes:
        proved_ms: Time of the last proof, in milliseconds since the host has
            booted, or None.
        store_proved_ms: Time of the last one by the store, or None.
        seen_ms: By host, time at which a link to it was last open.
        expected_ms: By address of a process that was known, but has not been
            linked in this term, time from which its link is missing.
        settled_addresses: Addresses of the processes that have been linked,
            or that have left the cell.
        lapsed: Whether no leases can be granted.
    """

    def __init__(
        self,
        *,
        term,
        read_newest_claim,
        list_peers,
        known_addresses,
        lease,
        ended,
        on_confirmed,
    ):
        self.term = term
        self.read_newest_claim = read_newest_claim
        self.list_peers = list_peers
        self.known_addresses = known_addresses
        self.lease = lease
        self.ended = ended
        self.on_confirmed = on_confirmed
        self.proved_ms = None
        self.store_proved_ms = None
        self.seen_ms = {}
        self.expected_ms = {}
        self.settled_addresses = set()
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

    def valid(self):
        """Whether leases may be granted."""
        return self.lease.grantable_ms() > 0

    async def run(self):
        """Renews the proof until the task is cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.ask_store_repeatedly())
            group.create_task(self.ask_peers_repeatedly())

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
        self.record_proof(asked_ms)
        self.note_witnesses(asked_ms)
        oldest_ms = asked_ms - WITNESS_MEMORY_MS
        for host, seen_ms in list(self.seen_ms.items()):
            if seen_ms < oldest_ms:
                del self.seen_ms[host]
        for address, since_ms in list(self.expected_ms.items()):
            if since_ms < oldest_ms:
                del self.expected_ms[address]
                self.settled_addresses.add(address)

    def note_witnesses(self, now_ms):
        """Notes which processes are linked, and which links are missing.

        The directory forgets processes that do not answer, so those that it
        knew are kept here.
        """
        for peer in self.remote_peers():
            self.seen_ms[host_of(peer)] = now_ms
            self.settled_addresses.add(peer.address)
            self.expected_ms.pop(peer.address, None)
        for address in self.known_addresses() - self.settled_addresses:
            self.expected_ms.setdefault(address, now_ms)

    def record_proof(self, asked_ms):
        """Records that no later term had started at a time."""
        self.proved_ms = max(asked_ms, self.proved_ms or asked_ms)

    async def ask_peers_repeatedly(self):
        """Asks the peers while the store does not answer."""
        while True:
            await asyncio.sleep(PROOF_PERIOD_S)
            if self.needs_witnesses():
                asked_ms = clock.boot_ms()
                if await self.peers_know_no_later_term():
                    self.record_proof(asked_ms)
            self.notice_changes()

    def needs_witnesses(self):
        """Whether the store has not given the proof for some time."""
        if self.store_proved_ms is None:
            return False
        return clock.boot_ms() - self.store_proved_ms > STORE_PROOF_AGE_MS

    async def peers_know_no_later_term(self):
        """Whether every process of the cell answers with this term.

        One that does not answer may have claimed the next term.
        """
        peers = self.remote_peers()
        self.note_witnesses(clock.boot_ms())
        if self.unlinked() or not peers:
            return False
        known = await asyncio.gather(*(peer.newest_term() for peer in peers))
        return all(term is not None and term <= self.term for term in known)

    def remote_peers(self):
        """Returns the handles of the other processes."""
        return [peer for peer in self.list_peers() if peer.newest_term]

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
                fields=fields | {"unlinked": sorted(self.unlinked())},
            )
        else:
            LOG.info(
                "The term is confirmed again; leases are extended.",
                fields=fields,
            )
            self.on_confirmed()

    def unlinked(self):
        """Returns the hosts and addresses that may claim, but are not linked.

        A process may have another address after a restart, and an address
        that has not been linked in this term has no known host.
        """
        linked = {host_of(peer) for peer in self.remote_peers()}
        return (self.seen_ms.keys() - linked) | self.expected_ms.keys()


def host_of(peer):
    """Returns the host of a peer, whose process has another name each time."""
    return peer.member.partition("/")[0]
