"""Server side of the links between peers."""

import asyncio

import aiohttp
from aiohttp import web

from cicadafold.peerlink import frames
from cicadafold.telemetry import logs

__all__ = ["FRAME_HANDLERS", "handle_frame", "handles", "serve_link"]

HEARTBEAT_PERIOD_S = 2.0
MAX_FRAME_BYTES = 16 * 1024 * 1024

FRAME_HANDLERS = {}

LOG = logs.get_logger("peer")


def handles(frame_type):
    """Returns a decorator that registers the handler of a type of frame.

    A handler is called with the rack service, the frame, and a function
    that sends the reply.

    Args:
        frame_type: Class of the frames that the handler is called for.
    """

    def register(function):
        FRAME_HANDLERS[frame_type] = function
        return function

    return register


class ReplyWriter:
    """Writes queued replies to a socket, several in one message.

    Attributes:
        socket: WebSocket to the peer.
        replies: Replies that are queued but not yet written.
        replies_queued: Set when a reply is queued.
    """

    def __init__(self, *, socket):
        self.socket = socket
        self.replies = []
        self.replies_queued = asyncio.Event()

    def send(self, reply):
        """Queues a reply for the next message."""
        self.replies.append(reply)
        self.replies_queued.set()

    async def run(self):
        """Writes queued replies until the connection is closed."""
        while True:
            await self.replies_queued.wait()
            self.replies_queued.clear()
            batch, self.replies = self.replies, []
            try:
                await self.socket.send_bytes(frames.encode(batch))
            except (ConnectionError, RuntimeError):
                return


def handle_frame(rack_service, frame, send):
    """Passes a frame to its handler.

    If the handler fails, the reply has the status ``UNKNOWN``, because a
    target may already have started the request.

    Args:
        rack_service: Service of the racks that this process owns.
        frame: Frame of the peer.
        send: Function that sends a reply.
    """
    try:
        FRAME_HANDLERS[type(frame)](rack_service, frame, send)
    except Exception:
        LOG.exception(
            "The handler of a frame failed; the reply says that the outcome "
            "is unknown."
        )
        status = frames.ReplyStatus.UNKNOWN
        send(frames.Reply(serial=frame.serial, status=status, started=True))


async def serve_link(request, rack_service):
    """Serves one link until the peer closes it.

    Args:
        request: The HTTP request to upgrade.
        rack_service: Service of the racks that this process owns.
    """
    socket = web.WebSocketResponse(
        heartbeat=HEARTBEAT_PERIOD_S,
        compress=False,
        max_msg_size=MAX_FRAME_BYTES,
    )
    await socket.prepare(request)
    replies = ReplyWriter(socket=socket)
    writer_task = asyncio.create_task(replies.run())
    try:
        async for message in socket:
            if message.type is not aiohttp.WSMsgType.BINARY:
                break
            for frame in frames.decode_calls(message.data):
                handle_frame(rack_service, frame, replies.send)
    finally:
        writer_task.cancel()
    return socket
