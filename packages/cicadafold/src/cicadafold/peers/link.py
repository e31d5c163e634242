"""One end of a link between two processes: calls and their replies."""

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
    """Registers a coroutine function that answers one kind of query.

    The function takes the object that the link was made with, and the
    query, and returns the reply.
    """

    def register(function):
        HANDLERS[kind] = function
        return function

    return register


class PeerLink:
    """Calls over one WebSocket, in both directions.

    Args:
        socket: Open WebSocket.
        node: Object that the answering functions are called with.
        member: Name of the process at the other end.
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
            make: Function from a number to the query.
            timeout_s: Seconds to wait.

        Raises:
            LinkNotOpen: The link is closed.
            LinkLost: No reply came.
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
        """
        if self.socket.closed:
            raise exception.LinkNotOpen(
                message=f"The link to {self.member} is closed.",
                remedy="Try again.",
            )
        try:
            await self.socket.send_bytes(messages.encode(message))
        except (OSError, RuntimeError, aiohttp.ClientError) as error:
            raise link_lost(self.member, repr(error)) from error

    async def send_if_open(self, message):
        """Sends a message whose loss does no harm."""
        try:
            await self.send(message)
        except (exception.LinkLost, exception.LinkNotOpen) as error:
            LOG.debug("A message was not sent: %s", error)

    async def serve(self):
        """Takes messages until the link closes."""
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
                        link_lost(self.member, "it was closed")
                    )
            for task in self.handler_tasks:
                task.cancel()

    def receive(self, data):
        """Takes one message: a reply, or a query to answer."""
        try:
            message = messages.decode(data)
        except msgspec.MsgspecError as error:
            LOG.warning(
                "A message cannot be read: %s",
                error,
                fields={"peer": self.member},
            )
            return
        handler = HANDLERS.get(type(message))
        if handler is None:
            future = self.pending_replies.get(message.number)
            if future is not None and not future.done():
                future.set_result(message)
            return
        task = asyncio.create_task(self.run_handler(handler, message))
        self.handler_tasks.add(task)
        task.add_done_callback(self.handler_tasks.discard)

    async def run_handler(self, handler, message):
        """Answers one query."""
        made = await handler(self.node, message, self)
        if made is None:
            return
        await self.send_if_open(made)


def link_lost(member, reason):
    """Returns the error of a link that broke."""
    return exception.LinkLost(
        message=f"The link to {member} was lost: {reason}.",
        remedy="Try again.",
    )
