"""One end of a link between two processes, for queries in both directions."""

import asyncio
import itertools

import aiohttp
import msgspec

from cicadafold import exception
from cicadafold.peers import messages
from cicadafold.telemetry import logs

__all__ = ["PeerLink", "handles"]

HANDLERS = {}

LOG = logs.get_logger("peer")


def handles(kind):
    """Returns a decorator that registers the handler of a kind of message.

    The handler is a coroutine function that takes the ``CellNode`` of the
    link, the message and the link. It returns the reply to a query, or None
    for a message without a reply.

    Args:
        kind: Class of the messages.
    """

    def register(function):
        HANDLERS[kind] = function
        return function

    return register


class PeerLink:
    """Sends queries and messages over one WebSocket and handles incoming ones.

    Args:
        socket: Open WebSocket.
        node: ``CellNode`` of this process, for the message handlers.
        member: Name of the process at the other end.

    Attributes:
        query_numbers: Counter that numbers the queries of this end.
        pending_replies: Futures of the replies by number of the query.
        handler_tasks: Tasks of the handlers that are running.
    """

    def __init__(self, *, socket, node, member):
        self.socket = socket
        self.node = node
        self.member = member
        self.query_numbers = itertools.count(1)
        self.pending_replies = {}
        self.handler_tasks = set()

    async def call(self, make_query, *, timeout_s):
        """Sends a query and waits for its reply.

        Args:
            make_query: Function that returns the query, given its number.
            timeout_s: Seconds to wait for the reply.

        Returns:
            The reply.

        Raises:
            LinkNotOpen: The link is closed; nothing was sent.
            LinkLost: The link failed or no reply came in time.
        """
        number = next(self.query_numbers)
        future = asyncio.get_running_loop().create_future()
        self.pending_replies[number] = future
        try:
            await self.send(make_query(number))
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError as error:
            raise link_lost(self.member, "no reply came in time") from error
        finally:
            self.pending_replies.pop(number, None)

    async def send(self, message):
        """Sends one message.

        Raises:
            LinkNotOpen: The link is closed.
            LinkLost: The message could not be sent.
        """
        if self.socket.closed:
            raise exception.LinkNotOpen(
                message=f"The link to {self.member} is closed.",
                remedy="Try again.",
            )
        data = messages.encode(message)
        kind = type(message).__name__
        self.node.metrics.count("peer_bytes_sent", len(data), kind=kind)
        try:
            await self.socket.send_bytes(data)
        except (OSError, RuntimeError, aiohttp.ClientError) as error:
            raise link_lost(self.member, repr(error)) from error

    async def send_if_open(self, message):
        """Sends a message that may be lost; a failure is only logged."""
        try:
            await self.send(message)
        except (exception.LinkLost, exception.LinkNotOpen) as error:
            LOG.debug("Could not send a message, which is dropped: %s", error)

    async def serve(self):
        """Receives messages until the link closes.

        Then fails all queries without a reply and cancels the handlers.
        """
        try:
            async for received in self.socket:
                if received.type in (
                    aiohttp.WSMsgType.BINARY,
                    aiohttp.WSMsgType.TEXT,
                ):
                    self.receive(received.data)
        finally:
            for future in self.pending_replies.values():
                if not future.done():
                    future.set_exception(
                        link_lost(self.member, "the WebSocket was closed")
                    )
            for task in self.handler_tasks:
                task.cancel()

    def receive(self, data):
        """Receives one message: a reply, or a message with a handler.

        A reply without a waiting query is dropped: it came too late.
        """
        try:
            message = messages.decode(data)
        except msgspec.MsgspecError as error:
            LOG.warning(
                "Could not decode a message of a peer, which is dropped: %s",
                error,
                fields={"peer": self.member},
            )
            return
        handler = HANDLERS.get(type(message))
        if handler is None:
            future = self.pending_replies.get(message.number)
            if future is not None and not future.done():
                future.set_result(message)
            else:
                kind = type(message).__name__
                self.node.metrics.count("peer_replies_late", kind=kind)
            return
        task = asyncio.create_task(self.run_handler(handler, message))
        self.handler_tasks.add(task)
        task.add_done_callback(self.handler_tasks.discard)

    async def run_handler(self, handler, message):
        """Runs the handler of a message and sends its reply, if any."""
        reply = await handler(self.node, message, self)
        if reply is None:
            return
        await self.send_if_open(reply)


def link_lost(member, reason):
    """Returns the error for a link that failed.

    Args:
        member: Name of the process at the other end.
        reason: What failed, for the error message.
    """
    return exception.LinkLost(
        message=f"The link to {member} was lost: {reason}.",
        remedy="Try again.",
    )
