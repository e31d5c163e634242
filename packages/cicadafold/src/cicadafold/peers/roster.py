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

__all__ = ["Roster", "Sharing"]

PATH = "/claim"
TAKE_OVER_PATH = "/take-over"
TIMEOUT_S = 0.6
TRIES = 3
RETRY_PAUSE_S = 0.4
# Peers come within about a second of a new term.
SHARE_PAUSE_S = 1.0
STATUS_OK = 200
STATUS_UNAVAILABLE = 503
# A claim takes a few round trips to the store.
TAKE_OVER_TIMEOUT_S = 0.8
# Strong hosts that are asked before a weak one claims itself.
ASKED_HOSTS = 3

LOG = logs.get_logger("peer")


class Roster:
    """Addresses of the processes of the cell, as far as known.

    Args:
        session: Client session.
        address: Address of this process.
        on_claim: Function called with an announced claim.
        on_take_over: Coroutine function called with a term that should be
            replaced; tells whether a later one is known then.

    Attributes:
        addresses: All addresses but the own one.
        strong: Those of hosts that can well carry a scheduler.
    """

    def __init__(self, *, session, address, on_claim, on_take_over):
        self.session = session
        self.address = address
        self.on_claim = on_claim
        self.on_take_over = on_take_over
        self.addresses = set()
        self.strong = set()

    def add_routes(self, router):
        """Serves what other processes ask of this one."""
        router.add_post(PATH, self.take)
        router.add_post(TAKE_OVER_PATH, self.take_over)

    def add(self, addresses, strong=()):
        """Takes addresses of other processes."""
        self.addresses.update(addresses)
        self.strong.update(strong)
        self.addresses.discard(self.address)
        self.strong.discard(self.address)

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
        self.strong.discard(address)

    async def ask_strong(self, term, *, without):
        """Asks strong hosts to replace a term.

        Args:
            term: Term of a scheduler that does not answer.
            without: Address of that scheduler.

        Returns:
            Whether one of them knows a later term now.
        """
        timeout = aiohttp.ClientTimeout(total=TAKE_OVER_TIMEOUT_S)
        body = msgspec.json.encode(messages.TakeOver(term))
        for address in sorted(self.strong - {without})[:ASKED_HOSTS]:
            try:
                async with self.session.post(
                    f"http://{address}{TAKE_OVER_PATH}",
                    data=body,
                    timeout=timeout,
                ) as answer:
                    if answer.status == STATUS_OK:
                        LOG.info(
                            "A strong host replaces the scheduler.",
                            fields={"term": term, "address": address},
                        )
                        return True
            except (aiohttp.ClientError, OSError, TimeoutError) as error:
                LOG.info("A strong host does not answer: %r", error)
        return False

    async def take_over(self, request):
        """Claims the next term for a host that is weak."""
        try:
            asked = msgspec.json.decode(
                await request.read(), type=messages.TakeOver
            )
        except msgspec.MsgspecError as error:
            LOG.warning("A request to take over cannot be read: %s", error)
            return web.Response(status=400)
        done = await self.on_take_over(asked.term)
        return web.Response(status=STATUS_OK if done else STATUS_UNAVAILABLE)

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
            strong = list(self.roster.strong)
            message = messages.Roster(known, strong)
            await asyncio.gather(
                *(peer.send_if_open(message) for peer in self.peers)
            )


@link.answer(messages.Roster)
async def take_roster(owner, message, _):
    """Takes the addresses that the scheduler knows."""
    owner.roster.add(message.addresses, message.strong)
