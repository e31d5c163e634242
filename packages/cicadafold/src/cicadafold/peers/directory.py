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

__all__ = ["AddressBroadcaster", "PeerDirectory"]

PATH = "/claim"
TAKE_OVER_PATH = "/take-over"
TIMEOUT_S = 0.6
MAX_TRIES = 3
RETRY_PAUSE_S = 0.4
# Peers come within about a second of a new term.
BROADCAST_DELAY_S = 1.0
HTTP_OK = 200
HTTP_UNAVAILABLE = 503
# A claim takes a few round trips to the store.
TAKE_OVER_TIMEOUT_S = 0.8
# Strong hosts that are asked before a weak one claims itself.
MAX_ASKED_HOSTS = 3

LOG = logs.get_logger("peer")


class PeerDirectory:
    """Addresses of the processes of the cell, as far as known.

    Args:
        session: Client session.
        address: Address of this process.
        on_claim: Function called with an announced claim.
        on_take_over: Coroutine function called with a term that should be
            replaced; tells whether a later one is known then.

    Attributes:
        addresses: All addresses but the own one.
        preferred: Those of hosts that can well carry a scheduler.
    """

    def __init__(self, *, session, address, on_claim, on_take_over):
        self.session = session
        self.address = address
        self.on_claim = on_claim
        self.on_take_over = on_take_over
        self.addresses = set()
        self.preferred = set()

    def add_routes(self, router):
        """Serves what other processes ask of this one."""
        router.add_post(PATH, self.handle_claim)
        router.add_post(TAKE_OVER_PATH, self.handle_take_over)

    def add(self, addresses, preferred=()):
        """Takes addresses of other processes."""
        self.addresses.update(addresses)
        self.preferred.update(preferred)
        self.addresses.discard(self.address)
        self.preferred.discard(self.address)

    async def announce(self, claim):
        """Tells every known process of this process's claim."""
        body = msgspec.json.encode(claim)
        await asyncio.gather(
            *(self.announce_to(address, body) for address in self.addresses)
        )

    async def announce_to(self, address, body):
        """Tells one process; one that does not answer is left out."""
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        for _ in range(MAX_TRIES):
            try:
                async with self.session.post(
                    f"http://{address}{PATH}", data=body, timeout=timeout
                ) as answer:
                    if answer.status == HTTP_OK:
                        return
            except (aiohttp.ClientError, OSError, TimeoutError) as error:
                LOG.debug("A process was not told: %r", error)
            await asyncio.sleep(RETRY_PAUSE_S)
        self.addresses.discard(address)
        self.preferred.discard(address)

    async def request_take_over(self, term, *, without):
        """Asks strong hosts to replace a term.

        Args:
            term: Term of a scheduler that does not answer.
            without: Address of that scheduler.

        Returns:
            Whether one of them knows a later term now.
        """
        timeout = aiohttp.ClientTimeout(total=TAKE_OVER_TIMEOUT_S)
        body = msgspec.json.encode(messages.TakeOver(term))
        for address in sorted(self.preferred - {without})[:MAX_ASKED_HOSTS]:
            try:
                async with self.session.post(
                    f"http://{address}{TAKE_OVER_PATH}",
                    data=body,
                    timeout=timeout,
                ) as answer:
                    if answer.status == HTTP_OK:
                        LOG.info(
                            "A strong host replaces the scheduler.",
                            fields={"term": term, "address": address},
                        )
                        return True
            except (aiohttp.ClientError, OSError, TimeoutError) as error:
                LOG.info("A strong host does not answer: %r", error)
        return False

    async def handle_take_over(self, request):
        """Claims the next term for a host that is weak."""
        try:
            asked = msgspec.json.decode(
                await request.read(), type=messages.TakeOver
            )
        except msgspec.MsgspecError as error:
            LOG.warning("A request to take over cannot be read: %s", error)
            return web.Response(status=400)
        done = await self.on_take_over(asked.term)
        return web.Response(status=HTTP_OK if done else HTTP_UNAVAILABLE)

    async def handle_claim(self, request):
        """Takes an announced claim."""
        try:
            claim = msgspec.json.decode(await request.read(), type=terms.Claim)
        except msgspec.MsgspecError as error:
            LOG.warning("An announcement cannot be read: %s", error)
            return web.Response(status=400)
        self.on_claim(claim)
        return web.Response()


class AddressBroadcaster:
    """Tells all peers the known addresses, once for those that come together.

    A message to all for each peer that comes would grow with the square of
    their number and fill the link of a small host as its term begins.

    Args:
        peer_directory: Known addresses.
        peers: Links of the peers; changed by their owner.

    Attributes:
        wanted: Whether a peer has come since the addresses were last told.
        task: Task that tells them, or None.
    """

    def __init__(self, *, peer_directory, peers):
        self.peer_directory = peer_directory
        self.peers = peers
        self.requested = False
        self.task = None

    def schedule(self):
        """Lets the addresses be told soon."""
        self.requested = True
        if self.task is None or self.task.done():
            self.task = asyncio.create_task(self.run())

    async def run(self):
        """Tells the addresses until no peer has come meanwhile."""
        while self.requested:
            await asyncio.sleep(BROADCAST_DELAY_S)
            self.requested = False
            known = [
                *self.peer_directory.addresses,
                self.peer_directory.address,
            ]
            preferred = list(self.peer_directory.preferred)
            message = messages.Roster(known, preferred)
            await asyncio.gather(
                *(peer.send_if_open(message) for peer in self.peers)
            )


@link.handles(messages.Roster)
async def handle_roster(node, message, _):
    """Takes the addresses that the scheduler knows."""
    node.peer_directory.add(message.addresses, message.strong)
