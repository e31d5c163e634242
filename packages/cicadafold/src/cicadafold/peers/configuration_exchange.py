"""Tells peers what has changed in the configuration, and asks them for it.

The changes are sent over a connection of their own, so that the messages on
the link to the scheduler do not wait behind them.
"""

import asyncio

import aiohttp
from aiohttp import web
import msgspec
import yarl

from cicadafold.configuration import changes as changes_module
from cicadafold import decoding
from cicadafold import exception
from cicadafold.peers import link
from cicadafold.peers import messages

__all__ = ["ConfigurationExchange", "Told"]

PATH = "/configuration"
END_HEADER = "Configuration-End"
AGE_HEADER = "Configuration-Age-Ms"
CONNECT_TIMEOUT_S = 0.5
# Longest time without a part of an answer, and for a whole answer.
IDLE_S = 1.0
LONGEST_TRANSFER_S = 20.0
LONGEST_HOLD_S = 2.0
KEPT_BODIES = 4
HTTP_OK = 200
HTTP_NO_CONTENT = 204
HTTP_BAD_REQUEST = 400


class Told(msgspec.Struct):
    """What a peer has told.

    Attributes:
        changes: The ``Changes``.
        end: Offset up to which the peer knows the operators' topic.
        age_ms: Milliseconds since the topic is known to have ended there.
    """

    changes: changes_module.Changes
    end: int
    age_ms: float


class ConfigurationExchange:
    """Client and server of the exchange between peers.

    Args:
        session: HTTP client session.
        holder: ``Holder`` of the configuration.
        scheduler_link: ``SchedulerLink`` of this process.
        peer_directory: ``PeerDirectory`` of this process.

    Attributes:
        bodies: Tasks that encode the last answers, by the revisions that
            they lead from and to.
    """

    def __init__(self, *, session, holder, scheduler_link, peer_directory):
        self.session = session
        self.holder = holder
        self.scheduler_link = scheduler_link
        self.peer_directory = peer_directory
        self.bodies = {}

    def addresses(self):
        """Returns the scheduler's address or None, and those of others."""
        claim = self.scheduler_link.claim
        scheduler = None if claim is None else claim.address
        if scheduler == self.scheduler_link.address:
            scheduler = None
        others = sorted(self.peer_directory.addresses - {scheduler})
        return scheduler, others

    async def status(self, *, timeout_s):
        """Asks the scheduler where the operators' topic ends.

        Args:
            timeout_s: Seconds to wait for the answer.

        Returns:
            The ``messages.ConfigurationReply``.

        Raises:
            LinkNotOpen, LinkLost: The scheduler did not answer.
        """
        return await self.scheduler_link.call(
            messages.ConfigurationQuery, timeout_s=timeout_s
        )

    async def fetch(self, address, revision, end, *, hold_s):
        """Asks a peer for the changes since a revision.

        Args:
            address: Address of the peer.
            revision: The revision, -1 for the whole configuration.
            end: Offset at which the topic is known to end.
            hold_s: Seconds for which the peer may wait until it knows the
                topic up to there.

        Returns:
            The ``Told``, or None if the peer has no configuration.

        Raises:
            LogUnavailable: The peer did not answer, or not as expected.
        """
        url = yarl.URL(f"http://{address}{PATH}").with_query(
            revision=revision, end=end, hold_ms=round(hold_s * 1000)
        )
        timeout = aiohttp.ClientTimeout(
            total=LONGEST_TRANSFER_S,
            connect=CONNECT_TIMEOUT_S,
            sock_read=hold_s + IDLE_S,
        )
        try:
            async with self.session.request(
                "GET", url, timeout=timeout
            ) as answer:
                if answer.status == HTTP_NO_CONTENT:
                    return None
                if answer.status != HTTP_OK:
                    raise unusable_error(f"status {answer.status}")
                body = await answer.read()
                headers = answer.headers
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise unusable_error(repr(error)) from error
        try:
            changes = await changes_module.decode(body)
            return Told(
                changes, int(headers[END_HEADER]), float(headers[AGE_HEADER])
            )
        except decoding.UNDECODABLE as error:
            raise unusable_error(repr(error)) from error

    def add_routes(self, router):
        """Adds the route for changes to the application for peers."""
        router.add_get(PATH, self.handle)

    async def handle(self, request):
        """Answers a peer with the changes since its revision.

        Returns:
            Status 200 with the changes, 204 if no configuration is known
            here, 400 for a request that cannot be decoded.
        """
        query = request.query
        try:
            revision = int(query["revision"])
            end = int(query["end"])
            hold_s = min(LONGEST_HOLD_S, int(query["hold_ms"]) / 1000)
        except decoding.UNDECODABLE:
            return web.Response(status=HTTP_BAD_REQUEST)
        if hold_s > 0:
            await self.holder.wait_for(end, hold_s)
        if self.holder.current is None:
            return web.Response(status=HTTP_NO_CONTENT)
        # The answer must not claim to know more than the changes do.
        known_end, age_ms = self.holder.end, self.holder.age_ms
        body = await asyncio.shield(self.encoded_changes(revision))
        return web.Response(
            body=body,
            headers={
                END_HEADER: str(known_end),
                AGE_HEADER: str(round(age_ms)),
            },
        )

    def encoded_changes(self, revision):
        """Returns the task that encodes the changes since a revision.

        Peers mostly ask for the same changes at the same time, so the last
        tasks are kept.
        """
        history = self.holder.history
        key = revision, history.revision
        task = self.bodies.get(key)
        if task is None:
            task = asyncio.create_task(
                changes_module.encode(history.changes_since(revision))
            )
            self.bodies[key] = task
            while len(self.bodies) > KEPT_BODIES:
                del self.bodies[next(iter(self.bodies))]
        return task


def unusable_error(reason):
    """Returns the error for an answer of a peer that cannot be used."""
    return exception.LogUnavailable(
        message=f"A peer did not tell the configuration: {reason}.",
        remedy="Ask another peer, or read the store.",
    )


@link.handles(messages.ConfigurationQuery)
async def answer_configuration(node, query, _):
    """Tells a peer up to where this process knows the operators' topic."""
    holder = node.configuration
    if holder.end is None:
        return messages.ConfigurationReply(query.number)
    return messages.ConfigurationReply(query.number, holder.end, holder.age_ms)


@link.handles(messages.ConfigurationNotice)
async def handle_notice(node, notice, _):
    """Notes that the operators' topic is known to have grown."""
    node.configuration.expect(notice.end)
