"""Terms of schedulers: claims in the log, in the order of the log."""

import asyncio

import msgspec

from cicadafold import clock
from cicadafold import exception
from cicadafold.telemetry import logs

__all__ = ["Claim", "ClaimsTail", "claim_term"]

CONTROL_TOPIC = "keyed.control"
PARTITION = 0
KEY = "scheduler"
# A read waits at the store until a claim comes.
TAIL_WAIT_MS = 5000
RETRY_PAUSE_S = 0.2

LOG = logs.get_logger("election")


class Claim(msgspec.Struct, frozen=True):
    """A claim of the scheduler's role.

    Attributes:
        member: Name of the claiming process, new at each of its starts.
        address: IP number and port for the links of its peers.
        term: Offset of the claim plus one; 0 while it is not in the log.
    """

    member: str
    address: str
    term: int = 0


decode = msgspec.json.Decoder(Claim).decode


class ClaimsTail:
    """Follows the claims; the newest one names the scheduler.

    Args:
        store: Client of the store.
        on_claim: Function called with each new claim.

    Attributes:
        newest: Newest claim, or None.
        newest_at_ms: Monotonic time at which it became known.
    """

    def __init__(self, *, store, on_claim):
        self.store = store
        self.on_claim = on_claim
        self.newest = None
        self.newest_at_ms = 0.0
        self.offset = None
        self.read_at_s = None

    async def run(self):
        """Reads claims for as long as the process lives."""
        while True:
            try:
                await self.read_once(wait_ms=TAIL_WAIT_MS)
            except (exception.LogUnavailable, exception.LinkLost) as error:
                LOG.debug("Claims cannot be read: %s", error)
                await asyncio.sleep(RETRY_PAUSE_S)

    async def read_once(self, *, wait_ms):
        """Reads the claims that have come since the last read."""
        if self.offset is None:
            await self.read_newest()
            return
        # Reads may overlap: each numbers its entries from its own start.
        start = self.offset
        try:
            page = await self.store.read(
                CONTROL_TOPIC, PARTITION, start, wait_ms=wait_ms
            )
        except exception.LogTrimmed:
            await self.read_newest()
            return
        self.offset = max(self.offset, start + len(page.entries))
        self.read_at_s = asyncio.get_running_loop().time()
        for number, (key, value) in enumerate(page.entries):
            self.apply_record(key, value, start + number)

    async def read_newest(self):
        """Reads the newest claim from the store."""
        found, resume = await self.store.newest(CONTROL_TOPIC, PARTITION)
        self.offset = resume
        self.read_at_s = asyncio.get_running_loop().time()
        for record in found:
            self.apply_record(record.key, record.value, record.offset)

    def apply_record(self, key, value, offset):
        """Takes a claim if it is newer than the newest known."""
        if key != KEY or not value:
            return
        try:
            claim = msgspec.structs.replace(decode(value), term=offset + 1)
        except msgspec.MsgspecError as error:
            LOG.warning(
                "A claim is damaged: %s", error, fields={"offset": offset}
            )
            return
        self.apply_claim(claim)

    def apply_claim(self, claim):
        """Takes a claim that was read or announced, if it is newer."""
        if self.newest is not None and claim.term <= self.newest.term:
            return
        self.newest = claim
        self.newest_at_ms = clock.monotonic_ms()
        LOG.info(
            "A scheduler begins a term.",
            fields={"term": claim.term, "scheduler": claim.member},
        )
        self.on_claim(claim)


async def claim_term(store, tail, claim, *, after):
    """Appends a claim behind all claims known.

    The append holds only if nothing was appended in between, so that one
    that is executed late never replaces a newer claim.

    Args:
        store: Client of the store.
        tail: Tail of the claims, read to its end before the append.
        claim: Claim without its term.
        after: Newest term that the claim may replace.

    Returns:
        The term, or None if another claim came first or the answer is lost.

    Raises:
        LogUnavailable: The store does not answer.
    """
    await tail.read_once(wait_ms=0)
    if tail.newest is not None and tail.newest.term > after:
        return None
    at = tail.offset
    body = msgspec.json.encode(claim)
    try:
        done = await store.append(
            CONTROL_TOPIC, PARTITION, [(KEY, body)], at=at
        )
    except (exception.LogEndMoved, exception.LinkLost) as error:
        LOG.info("The claim was not confirmed: %s", error)
        return None
    return done.offset + 1
