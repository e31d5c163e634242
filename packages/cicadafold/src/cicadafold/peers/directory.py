"""Addresses of the peers, and the calls to those without an open link.

A process that the store refuses cannot read the claims of terms there. The
scheduler of a new term therefore announces its claim over HTTP to every
address that it knows.
"""

import asyncio

import aiohttp
from aiohttp import web
import msgspec

from cicadafold import decoding
from cicadafold.election import terms
from cicadafold.peers import link
from cicadafold.peers import messages
from cicadafold.settings import table
from cicadafold.telemetry import logs

__all__ = ["AddressBroadcaster", "PeerDirectory"]

CLAIM_PATH = "/claim"
TAKE_OVER_PATH = "/take-over"
CLAIMING_PATH = "/claiming"
ANNOUNCE_TIMEOUT_S = 0.6
# A host with a full link answers within it; leases last some seconds longer.
WITNESS_TIMEOUT_S = 1.0
MAX_TRIES = 3
RETRY_PAUSE_S = 0.4
# Peers open their links within about a second of the start of a term.
BROADCAST_DELAY_S = 1.0
HTTP_OK = 200
HTTP_UNAVAILABLE = 503
# A claim takes a few round trips to the store.
TAKE_OVER_TIMEOUT_S = 0.8
# Preferred hosts that are asked, one after another, before the host with a
# low election priority claims the term itself.
MAX_ASKED_HOSTS = 3

LOG = logs.get_logger("peer")

decode_known_claim = decoding.json_decoder(messages.KnownClaim)
decode_intent = decoding.json_decoder(messages.ClaimIntent)
decode_take_over = decoding.json_decoder(messages.TakeOver)


class PeerDirectory:
    """Known addresses of the other processes of the cell.

    Args:
        session: HTTP client session.
        address: Address of this process, IP number and port.
        on_claim: Function called with a claim that a peer announces.
        on_take_over: Coroutine function called with a term that a peer
            asks to replace, and the reason. It claims the next term and
            returns whether a later term is known then.
        on_claim_intent: Function called with a term that a peer is about to
            replace.
        newest_term: Function that returns the newest term that this process
            knows, 0 for none.

    Attributes:
        addresses: Addresses of all other processes.
        preferred: Those of hosts with a high election priority.
    """

    def __init__(
        self,
        *,
        session,
        address,
        on_claim,
        on_take_over,
        on_claim_intent,
        newest_term,
    ):
        self.session = session
        self.address = address
        self.on_claim = on_claim
        self.on_take_over = on_take_over
        self.on_claim_intent = on_claim_intent
        self.newest_term = newest_term
        self.tasks = set()
        self.addresses = set()
        self.preferred = set()

    def add_routes(self, router):
        """Adds the routes for claims, intents and takeover requests.

        Args:
            router: Router of the application for peers.
        """
        router.add_post(CLAIM_PATH, self.handle_claim)
        router.add_post(TAKE_OVER_PATH, self.handle_take_over)
        router.add_post(CLAIMING_PATH, self.handle_claim_intent)

    def add(self, addresses, preferred=()):
        """Adds addresses; that of this process is left out.

        Args:
            addresses: Addresses of processes.
            preferred: Those of hosts with a high election priority.
        """
        self.addresses.update(addresses)
        self.preferred.update(preferred)
        self.addresses.discard(self.address)
        self.preferred.discard(self.address)

    async def announce(self, claim):
        """Announces a claim of this process to every known process."""
        body = msgspec.json.encode(claim)
        await asyncio.gather(
            *(self.announce_to(address, body) for address in self.addresses)
        )

    async def announce_to(self, address, body):
        """Announces a claim to one process.

        Removes the address if no try succeeds.

        Args:
            address: Address of the process.
            body: Claim as JSON.
        """
        timeout = aiohttp.ClientTimeout(total=ANNOUNCE_TIMEOUT_S)
        for _ in range(MAX_TRIES):
            try:
                async with self.session.post(
                    f"http://{address}{CLAIM_PATH}", data=body, timeout=timeout
                ) as response:
                    if response.status == HTTP_OK:
                        return
            except (aiohttp.ClientError, OSError, TimeoutError) as error:
                LOG.debug(
                    "Could not announce a claim to a process; it is no longer "
                    "notified after repeated failures: %r",
                    error,
                )
            await asyncio.sleep(RETRY_PAUSE_S)
        self.addresses.discard(address)
        self.preferred.discard(address)

    async def ask_newest_term(self, address, claim):
        """Announces a claim to a process and asks for the newest it knows.

        A process that was restarted while the store did not answer learns of
        the scheduler in this way.

        Args:
            address: Address of the process.
            claim: Claim of this process.

        Returns:
            Term of the newest claim that the process knows, 0 for none;
            ``PROCESS_ENDED`` if it has ended, None if it did not answer.
        """
        timeout = aiohttp.ClientTimeout(total=WITNESS_TIMEOUT_S)
        try:
            async with self.session.post(
                f"http://{address}{CLAIM_PATH}",
                data=msgspec.json.encode(claim),
                timeout=timeout,
            ) as response:
                return decode_known_claim(await response.read()).term
        except (
            aiohttp.ClientError,
            OSError,
            TimeoutError,
            msgspec.MsgspecError,
        ) as error:
            cause = getattr(error, "os_error", error)
            if isinstance(cause, ConnectionRefusedError):
                return messages.PROCESS_ENDED
            LOG.debug(
                "A process did not tell the newest claim that it knows: %r",
                error,
                fields={"address": address},
            )
            return None

    def announce_claim_intent(self, term):
        """Tells every known process that this one claims the next term.

        The messages may be lost. They keep the others from claiming too,
        which would delay the claim at the store.

        Args:
            term: Term that has ended.
        """
        body = msgspec.json.encode(messages.ClaimIntent(term))
        for address in self.addresses:
            task = asyncio.create_task(self.send_claim_intent(address, body))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def send_claim_intent(self, address, body):
        """Sends the intent to claim a term to one process, once.

        Args:
            address: Address of the process.
            body: ``ClaimIntent`` as JSON.
        """
        timeout = aiohttp.ClientTimeout(total=ANNOUNCE_TIMEOUT_S)
        try:
            async with self.session.post(
                f"http://{address}{CLAIMING_PATH}", data=body, timeout=timeout
            ):
                return
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            LOG.debug(
                "A process was not told of an intended claim and may claim"
                " the same term: %r",
                error,
                fields={"address": address},
            )

    async def handle_claim_intent(self, request):
        """Handles the announcement of a peer that it claims a term."""
        try:
            intent = decode_intent(await request.read())
        except msgspec.MsgspecError as error:
            LOG.warning(
                "Could not decode the intent to claim a term, which is "
                "refused: %s",
                error,
                fields={"peer": request.remote},
            )
            return web.Response(status=400)
        self.on_claim_intent(intent.term)
        return web.Response()

    async def request_take_over(self, term, reason, *, without):
        """Asks preferred hosts, one after another, to replace a term.

        Args:
            term: Term of a scheduler that is lost.
            reason: ``LossReason`` for which it is replaced.
            without: Address of that scheduler, which is not asked.

        Returns:
            Whether one of them has answered that it knows a later term.
        """
        timeout = aiohttp.ClientTimeout(total=TAKE_OVER_TIMEOUT_S)
        body = msgspec.json.encode(messages.TakeOver(term, reason))
        for address in sorted(self.preferred - {without})[:MAX_ASKED_HOSTS]:
            try:
                async with self.session.post(
                    f"http://{address}{TAKE_OVER_PATH}",
                    data=body,
                    timeout=timeout,
                ) as response:
                    if response.status == HTTP_OK:
                        LOG.info(
                            "A preferred host replaces the scheduler.",
                            fields={"term": term, "address": address},
                        )
                        return True
            except (aiohttp.ClientError, OSError, TimeoutError) as error:
                LOG.info(
                    "A preferred host did not answer a takeover request; "
                    "asking the next one, if any: %r",
                    error,
                )
        return False

    async def handle_take_over(self, request):
        """Claims the next term for a host with a low election priority.

        Returns:
            Status 200 if a later term is known now, 503 if not, 400 for a
            request that cannot be decoded.
        """
        try:
            message = decode_take_over(await request.read())
        except msgspec.MsgspecError as error:
            LOG.warning(
                "Could not decode a takeover request, which is refused: %s",
                error,
            )
            return web.Response(status=400)
        replaced = await self.on_take_over(message.term, message.reason)
        return web.Response(status=HTTP_OK if replaced else HTTP_UNAVAILABLE)

    async def handle_claim(self, request):
        """Handles a claim that the scheduler of a new term announces."""
        try:
            claim = terms.decode(await request.read())
        except msgspec.MsgspecError as error:
            LOG.warning(
                "Could not decode an announced claim, which is refused: %s",
                error,
            )
            return web.Response(status=400)
        self.on_claim(claim)
        known = messages.KnownClaim(self.newest_term())
        return web.Response(body=msgspec.json.encode(known))


class AddressBroadcaster:
    """Sends the known addresses to all peers, once for a group of new peers.

    A broadcast for each new peer would cost a number of messages that grows
    with the square of the number of peers, and saturate the network link of
    a small host when its term starts.

    Args:
        peer_directory: Known addresses.
        peers: Open ``PeerLink`` objects of the peers; the caller adds and
            removes them.

    Attributes:
        requested: Whether a peer has connected since the last broadcast
            started.
        task: Task that broadcasts, or None.
    """

    def __init__(self, *, peer_directory, peers):
        self.peer_directory = peer_directory
        self.peers = peers
        self.requested = False
        self.task = None

    def schedule(self):
        """Schedules a broadcast, which starts after a short delay."""
        self.requested = True
        if self.task is None or self.task.done():
            self.task = asyncio.create_task(self.run())

    async def run(self):
        """Broadcasts, and repeats it if a peer has connected meanwhile."""
        while self.requested:
            await asyncio.sleep(BROADCAST_DELAY_S)
            self.requested = False
            known = [
                *self.peer_directory.addresses,
                self.peer_directory.address,
            ]
            preferred = list(self.peer_directory.preferred)
            message = messages.PeerAddresses(known, preferred)
            await asyncio.gather(
                *(peer.send_if_open(message) for peer in self.peers)
            )


@link.handles(messages.PeerAddresses)
async def handle_peer_addresses(node, message, _):
    """Adds the addresses that the scheduler has sent and that can be called.

    The HTTP library raises errors of its own kind for some others.
    """
    node.peer_directory.add(
        filter(table.is_address, message.addresses),
        filter(table.is_address, message.strong),
    )
