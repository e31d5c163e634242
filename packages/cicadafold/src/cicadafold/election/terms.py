"""Terms of the scheduler: claims in the log, which orders them."""

import asyncio
import typing

import msgspec

from cicadafold import clock
from cicadafold import decoding
from cicadafold.election import claim_history
from cicadafold import exception
from cicadafold.settings import table
from cicadafold.telemetry import logs

__all__ = ["Claim", "ClaimsTail", "Term", "claim_term"]

CONTROL_TOPIC = "keyed.control"
PARTITION = 0
KEY = "scheduler"
# Longest time for which the store holds a read until a claim is appended.
TAIL_WAIT_MS = 5000
RETRY_PAUSE_S = 0.2
# Terms are offsets in the log. Attempt numbers, a million to a term, must fit
# into the numbers that workers accept.
MAX_TERM = 1 << 32
Term = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_TERM)]
MAX_REPLACED = 1 << 16
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_REPLACED)]
# Doublings of the patience with a term.
MAX_DOUBLINGS = 3

LOG = logs.get_logger("election")


class Claim(msgspec.Struct, frozen=True):
    """A claim of a process to be the scheduler of a term.

    Attributes:
        member: Name of the claiming process, different after each start.
        address: IP number and port at which peers open links to it.
        term: Number of the term: the offset of the claim in the log plus
            one, or 0 if it is not in the log yet.
        replaced: Number of terms before this one that were judged and
            replaced, each soon after its start.
        spares_unheard: Whether its scheduler gives a worker that is recorded
            as unheard no lease before another record is durable.
    """

    member: str
    address: str
    term: Term = 0
    replaced: Count = 0
    spares_unheard: bool = False

    @property
    def patience(self):
        """Factor on the times and numbers by which the term is judged.

        It doubles with each term that was replaced soon after its start, so
        that at last one is left the time that it needs, whatever makes it
        slow.
        """
        return 2 ** min(self.replaced, MAX_DOUBLINGS)


decode_claim = decoding.json_decoder(Claim)


def decode(body):
    """Decodes a claim.

    Raises:
        DecodeError: It cannot be decoded, its process cannot be called at its
            address, or its term is out of range.
    """
    claim = decode_claim(body)
    if not table.is_address(claim.address):
        raise msgspec.DecodeError("The address of the claim is not valid.")
    return claim


class ClaimsTail:
    """Follows the claims in the log; the newest one names the scheduler.

    Args:
        store: Client of the store.
        on_claim: Function called with each claim that becomes the newest.

    Attributes:
        newest: Newest claim known, or None.
        newest_at_ms: Monotonic time in milliseconds at which it became known.
        offset: Offset of the next record to read, or None before the first
            read.
        read_at_s: Event loop time in seconds of the last successful read, or
            None.
        history: ``ClaimHistory`` of the claims.
    """

    def __init__(self, *, store, on_claim):
        self.history = claim_history.ClaimHistory()
        self.store = store
        self.on_claim = on_claim
        self.newest = None
        self.newest_at_ms = 0.0
        self.offset = None
        self.read_at_s = None

    def newest_term(self):
        """Returns the newest term known to this process, or 0 if none is."""
        return 0 if self.newest is None else self.newest.term

    async def run(self):
        """Reads and applies claims until cancelled."""
        while True:
            try:
                await self.read_once(wait_ms=TAIL_WAIT_MS)
            except (exception.LogUnavailable, exception.LinkLost) as error:
                LOG.debug("Claims cannot be read and are retried: %s", error)
                await asyncio.sleep(RETRY_PAUSE_S)

    async def read_once(self, *, wait_ms):
        """Reads and applies the claims appended since the last read.

        Args:
            wait_ms: Milliseconds for which the store may wait for a claim if
                there is none.

        Raises:
            LogUnavailable: The store did not answer.
            LinkLost: The store did not answer.
        """
        if self.offset is None:
            await self.read_newest()
            return
        # Reads may overlap, so each derives the offsets of its entries from
        # its own start.
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
        for index, (key, value) in enumerate(page.entries):
            self.apply_record(key, value, start + index)

    async def read_newest(self):
        """Reads and applies the newest claim, and moves to the log's end."""
        found, resume = await self.store.newest(CONTROL_TOPIC, PARTITION)
        self.offset = resume
        self.history.restart()
        self.read_at_s = asyncio.get_running_loop().time()
        for record in found:
            self.apply_record(record.key, record.value, record.offset)

    def apply_record(self, key, value, offset):
        """Applies a record of the log if it is a claim.

        Args:
            key: Key of the record.
            value: Value of the record; empty if it deletes the key.
            offset: Offset of the record.
        """
        if key != KEY or not value:
            return
        try:
            claim = decode(value)
        except msgspec.MsgspecError as error:
            LOG.warning(
                "A claim cannot be decoded and is ignored: %s",
                error,
                fields={"offset": offset},
            )
            return
        self.apply_claim(msgspec.structs.replace(claim, term=offset + 1))

    def apply_claim(self, claim):
        """Applies a claim if it is newer than the newest one known.

        Args:
            claim: Claim read from the log or announced by its process.
        """
        self.history.add(claim)
        if self.newest is not None and claim.term <= self.newest.term:
            return
        self.newest = claim
        self.newest_at_ms = clock.monotonic_ms()
        LOG.info(
            "A scheduler has claimed a term.",
            fields={"term": claim.term, "scheduler": claim.member},
        )
        self.on_claim(claim)


async def claim_term(store, tail, claim, *, after):
    """Appends a claim to the log unless a newer one is found.

    The append is conditional on the log's end, so that one that the store
    executes late never replaces a newer claim.

    Args:
        store: Client of the store.
        tail: ``ClaimsTail`` that is read to the log's end before the append.
        claim: Claim of this process, whose term is not set yet.
        after: Newest term that the claim may replace.

    Returns:
        The claimed term, or None if another claim came first or the store did
        not confirm this one.

    Raises:
        LogUnavailable: The store did not append the claim.
        LinkLost: The store did not answer the read before the append.
    """
    await tail.read_once(wait_ms=0)
    if tail.newest is not None and tail.newest.term > after:
        return None
    end = tail.offset
    body = msgspec.json.encode(claim)
    try:
        appended = await store.append(
            CONTROL_TOPIC, PARTITION, [(KEY, body)], at=end
        )
    except (exception.LogEndMoved, exception.LinkLost) as error:
        LOG.info("The claim of a term was not confirmed: %s", error)
        return None
    return appended.offset + 1
