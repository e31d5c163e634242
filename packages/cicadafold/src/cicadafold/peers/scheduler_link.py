"""Link from this process to the scheduler of the newest term."""

import asyncio

import aiohttp

from cicadafold import exception
from cicadafold.peers import link as link_module
from cicadafold.peers import messages
from cicadafold.telemetry import logs

__all__ = ["PATH", "SchedulerLink"]

PATH = "/peer"
# Period of WebSocket pings. The link is closed if no answer comes within half
# of it.
HEARTBEAT_S = 1.0
CONNECT_TIMEOUT_S = 0.5
RETRY_PAUSE_S = 0.1
MAX_MESSAGE_BYTES = 1 << 20

LOG = logs.get_logger("peer")


class SchedulerLink:
    """Keeps a link open; reopens it when it is lost or a new term starts.

    Args:
        session: HTTP client session.
        member: Name of this process.
        address: Address for links to this process, IP number and port.
        election_priority: How well this host can carry the scheduler;
            larger is better.
        node: ``CellNode`` of this process, for the message handlers.

    Attributes:
        claim: Claim of the newest known term, or None.
        link: Open ``PeerLink``, or None.
        refused: Whether the scheduler's host refused the last connection,
            which means that the scheduler's process is gone.
        changed: Event set when the claim changes.
    """

    def __init__(self, *, session, member, address, election_priority, node):
        self.session = session
        self.member = member
        self.address = address
        self.election_priority = election_priority
        self.node = node
        self.claim = None
        self.link = None
        self.refused = False
        self.changed = asyncio.Event()

    def follow(self, claim):
        """Switches to the scheduler of a newer claim."""
        self.claim = claim
        self.refused = False
        self.changed.set()

    async def run(self):
        """Keeps the link open for as long as the process runs.

        There is no link while no claim is known, or while this process is
        the scheduler itself.
        """
        while True:
            claim = self.claim
            self.changed.clear()
            if claim is None or claim.member == self.member:
                await self.changed.wait()
                continue
            serving = asyncio.create_task(self.serve(claim))
            changing = asyncio.create_task(self.changed.wait())
            await asyncio.wait(
                {serving, changing}, return_when=asyncio.FIRST_COMPLETED
            )
            serving.cancel()
            changing.cancel()
            await asyncio.gather(serving, changing, return_exceptions=True)
            if not self.changed.is_set():
                await asyncio.sleep(RETRY_PAUSE_S)

    async def serve(self, claim):
        """Opens the link and handles messages until it closes.

        Args:
            claim: Claim of the scheduler.
        """
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                socket = await self.session.ws_connect(
                    f"http://{claim.address}{PATH}",
                    heartbeat=HEARTBEAT_S,
                    max_msg_size=MAX_MESSAGE_BYTES,
                )
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            LOG.debug(
                "Could not connect to the scheduler, retrying: %r", error
            )
            cause = getattr(error, "os_error", error)
            self.refused = isinstance(cause, ConnectionRefusedError)
            return
        self.refused = False
        link = link_module.PeerLink(
            socket=socket, node=self.node, member=claim.member
        )
        try:
            await link.send(
                messages.Hello(
                    self.member,
                    claim.term,
                    self.address,
                    self.election_priority,
                )
            )
            self.link = link
            LOG.info(
                "The link to the scheduler is open.",
                fields={"scheduler": claim.member, "term": claim.term},
            )
            await link.serve()
        except exception.CicadafoldError as error:
            LOG.debug(
                "The link to the scheduler failed, closing it: %s", error
            )
        finally:
            if self.link is link:
                LOG.warning(
                    "The link to the scheduler was closed.",
                    fields={"scheduler": claim.member},
                )
            self.link = None
            await socket.close()

    async def call(self, make_query, *, timeout_s):
        """Sends a query to the scheduler and waits for its reply.

        Args:
            make_query: Function that returns the query, given its number.
            timeout_s: Seconds to wait for the reply.

        Returns:
            The reply.

        Raises:
            LinkNotOpen: There is no open link; nothing was sent.
            LinkLost: The link failed or no reply came in time.
        """
        link = self.link
        if link is None:
            raise exception.LinkNotOpen(
                message="There is no open link to the scheduler.",
                remedy="Try again.",
            )
        return await link.call(make_query, timeout_s=timeout_s)
