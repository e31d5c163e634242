"""Tells all processes of a new term, also those that cannot read the log.

A process that the store turns away cannot read the claims. The scheduler of
a new term therefore announces its claim to every address that it knows.
"""

import asyncio

import aiohttp
from aiohttp import web
import msgspec

from cicadafold.election import terms
from cicadafold.peers import link
from cicadafold.peers import messages
from cicadafold.telemetry import logs

__all__ = ["PATH", "Roster", "Sharing"]

PATH = "/claim"
TIMEOUT_S = 0.6
TRIES = 3
RETRY_PAUSE_S = 0.4
# Peers come within about a second of a new term.
SHARE_PAUSE_S = 1.0
STATUS_OK = 200

LOG = logs.get_logger("peer")


class Roster:
    """Addresses of the processes of the cell, as far as known.

    Args:
        session: Client session.
        address: Address of this process.
        on_claim: Function called with an announced claim.
    """

    def __init__(self, *, session, address, on_claim):
        self.session = session
        self.address = address
        self.on_claim = on_claim
        self.addresses = set()

    def add(self, addresses):
        """Takes addresses of other processes."""
        self.addresses.update(addresses)
        self.addresses.discard(self.address)

    async def announce(self, claim):
        """Tells every known process of this process's claim."""
        body = msgspec.json.encode(claim)
        await asyncio.gather(
            *(self.tell(address, body) for address in self.addresses)
        )

    async def tell(self, address, body):
        """Tells one process; one that does not answer is left out."""
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        for _ in range(TRIES):
            try:
                async with self.session.post(
                    f"http://{address}{PATH}", data=body, timeout=timeout
                ) as answer:
                    if answer.status == STATUS_OK:
                        return
            except (aiohttp.ClientError, OSError, TimeoutError) as error:
                LOG.debug("A process was not told: %r", error)
            await asyncio.sleep(RETRY_PAUSE_S)
        self.addresses.discard(address)

    async def take(self, request):
        """Takes an announced claim."""
        try:
            claim = msgspec.json.decode(await request.read(), type=terms.Claim)
        except msgspec.MsgspecError as error:
            LOG.warning("An announcement cannot be read: %s", error)
            return web.Response(status=400)
        self.on_claim(claim)
        return web.Response()


class Sharing:
    """Tells all peers the known addresses, once for those that come together.

    A message to all for each peer that comes would grow with the square of
    their number and fill the link of a small host as its term begins.

    Args:
        roster: Known addresses.
        peers: Links of the peers; changed by their owner.

    Attributes:
        wanted: Whether a peer has come since the addresses were last told.
        task: Task that tells them, or None.
    """

    def __init__(self, *, roster, peers):
        self.roster = roster
        self.peers = peers
        self.wanted = False
        self.task = None

    def peer_came(self):
        """Lets the addresses be told soon."""
        self.wanted = True
        if self.task is None or self.task.done():
            self.task = asyncio.create_task(self.run())

    async def run(self):
        """Tells the addresses until no peer has come meanwhile."""
        while self.wanted:
            await asyncio.sleep(SHARE_PAUSE_S)
            self.wanted = False
            known = [*self.roster.addresses, self.roster.address]
            message = messages.Roster(known)
            await asyncio.gather(
                *(peer.send_if_open(message) for peer in self.peers)
            )


@link.answer(messages.Roster)
async def take_roster(owner, message, _):
    """Takes the addresses that the scheduler knows."""
    owner.roster.add(message.addresses)
