"""HTTP server whose connections are bounded."""

import asyncio

from aiohttp import web
from aiohttp import web_protocol

from cicadafold.admittance import ledger as ledger_module
from cicadafold import exception

__all__ = ["BoundedRunner", "BoundedWebSocket", "watch"]

Phase = ledger_module.Phase
Reason = ledger_module.Reason

# Bytes that are parsed at once.
SLICE_BYTES = 16 << 10
# Bytes of a body after which the connection is not read until they are taken.
READ_BUFFER_BYTES = 16 << 10
# Largest body of a request at an address that names no other limit.
MAX_BODY_BYTES = 1 << 20
# Largest control frame of a WebSocket, with its head.
CONTROL_FRAME_BYTES = 131
WATCH_PAUSE_S = 1.0
# Time in seconds for which a refused connection may take its answer.
CLOSE_S = 2.0
STATUS_LINES = {
    Reason.HEAD: b"HTTP/1.1 400 Bad Request\r\n",
    Reason.MEMORY: b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n",
}
END_OF_HEAD = b"Content-Length: 0\r\nConnection: close\r\n\r\n"


def refusal(reason):
    """Returns the exception for a body that is not received completely."""
    if reason is Reason.BODY:
        return exception.TooLarge(
            message="The body is over the limit.",
            remedy="Send a smaller body.",
        )
    if reason is Reason.CHUNKS:
        return exception.MalformedCall(
            message="The chunks of the body are too small.",
            remedy="Send larger chunks.",
        )
    return exception.MemoryExhausted(
        message="The process holds too many bytes of other requests.",
        remedy="Send the request again.",
        retry_after_ms=1000,
    )


def forget_frames(error):
    """Removes the frames of an exception, which refer to received bytes.

    The connection refers to the exception, so that they would be kept until
    the next full garbage collection.
    """
    error.__traceback__ = None
    error.__context__ = None


class BoundedProtocol(web_protocol.RequestHandler):
    """One connection of a server.

    Args:
        manager: ``BoundedServer`` of the connection.
        ledger: ``Ledger`` of all connections.
        group: ``Group`` of the connection.
        find_max_body_bytes: Function that returns the largest size of a body.
        options: Options of the HTTP library.

    Attributes:
        connection: ``Connection`` in the ledger, None before it is open.
        raw_transport: Transport until the connection is lost.
        head_bytes: Bytes of the head that is being received.
        body: Payload of the newest request, None before the first.
        body_bytes: Bytes received of that payload, with their framing.
        requests: Number of requests whose head was received so far.
        answered: Number of requests that were answered.
        read_bytes: Bytes of the last read.
        pending: Received bytes that were not parsed yet.
        refused: Whether the rest of what the client sends is dropped.
    """

    def __init__(
        self, manager, *, ledger, group, find_max_body_bytes, **options
    ):
        super().__init__(manager, read_bufsize=READ_BUFFER_BYTES, **options)
        self.ledger = ledger
        self.group = group
        self.find_max_body_bytes = find_max_body_bytes
        self.connection = None
        self.raw_transport = None
        self.head_bytes = 0
        self.body = None
        self.body_bytes = 0
        self.requests = 0
        self.answered = 0
        self.read_bytes = 0
        self.refused = False
        self.pending = bytearray()

    def connection_made(self, transport):
        """Opens the connection, or closes it at once if there are too many."""
        self.raw_transport = transport
        connection = ledger_module.Connection(
            group=self.group, close=self.close_for, now_s=self._loop.time()
        )
        if not self.ledger.add(connection):
            self.refused = True
            transport.abort()
            return
        self.connection = connection
        super().connection_made(transport)

    def connection_lost(self, exc):
        """Removes the connection from the ledger."""
        self.raw_transport = None
        self.pending.clear()
        if self.connection is None:
            return
        self.ledger.remove(self.connection)
        super().connection_lost(exc)

    def close_for(self, reason):
        """Closes the connection without a further answer."""
        self.refused = True
        if self.raw_transport is not None:
            self.raw_transport.abort()

    def close_refused(self, reason):
        """Closes a refused connection once its client had time to read."""
        if self.raw_transport is None:
            return
        if self.unanswered() and not self._paused:
            self._loop.call_later(CLOSE_S, self.close_refused, reason)
            return
        self.close_for(reason)

    def pause_writing(self):
        """Notes that the client does not take its answer."""
        super().pause_writing()
        if self.connection is not None:
            self.connection.blocked_s = self._loop.time()

    def resume_writing(self):
        """Notes that the client takes its answer again."""
        super().resume_writing()
        if self.connection is not None:
            self.connection.blocked_s = None

    def data_received(self, data):
        """Receives bytes within the bounds."""
        if self.refused or self.connection is None:
            return
        if not data:
            self.receive(b"")
            self.receive_pending()
            return
        self.ledger.note_progress(self.connection, self._loop.time())
        self.read_bytes = len(data)
        # Pongs would add up while a link carries no messages.
        if self.is_link() and len(data) <= CONTROL_FRAME_BYTES:
            super().data_received(data)
            return
        if not self.ledger.hold(self.connection, len(data)):
            self.refuse(Reason.MEMORY)
            return
        self.pending += data
        self.receive_pending()

    def receive_pending(self):
        """Parses what was received, until the parser is paused."""
        while self.pending and not (
            self.refused
            or self._reading_paused
            or len(self._messages) >= self._max_msg_queue_size
        ):
            piece = bytes(self.pending[:SLICE_BYTES])
            del self.pending[:SLICE_BYTES]
            self.receive(piece)
        if self.refused:
            self.pending.clear()
        elif self.drops_body():
            self.ledger.release(self.connection, len(self.pending))

    def receive(self, piece):
        """Parses a piece of what was received."""
        in_body = self.receives_body()
        super().data_received(piece)
        if self._request_count != self.requests:
            self.requests = self._request_count
            self.head_bytes = self.body_bytes = 0
            if self._messages:
                self.body = self._messages[-1][1]
        elif in_body:
            self.body_bytes += len(piece)
        elif not self.is_link():
            self.head_bytes += len(piece)
        self.update()
        if self.has_parse_error():
            self.drop_parse_error()
        elif self.head_bytes >= self.ledger.bounds.head_bytes:
            self.refuse(Reason.HEAD)
        elif self.receives_body() and not self.drops_body():
            if self.body.total_bytes > self.find_max_body_bytes():
                self.refuse(Reason.BODY)
            elif self.has_small_chunks():
                self.refuse(Reason.CHUNKS)

    def has_parse_error(self):
        """Whether the newest request is malformed."""
        if not self._messages:
            return False
        return isinstance(self._messages[-1][0], web_protocol._ErrInfo)

    def drop_parse_error(self):
        """Drops what follows a malformed request, which is answered."""
        self.refused = True
        forget_frames(self._messages[-1][0].exc)
        self._loop.call_later(CLOSE_S, self.close_refused, Reason.HEAD)

    def has_small_chunks(self):
        """Whether the framing of the body is out of proportion."""
        content = self.body.total_bytes
        overhead = self.body_bytes - 2 * content
        # A parser that is paused has deferred a part of the last piece.
        deferred = SLICE_BYTES if self._reading_paused else 0
        return overhead > self.ledger.bounds.overhead_bytes + deferred

    def receives_body(self):
        """Whether the body of the newest request is not complete."""
        return self.body is not None and not self.body.is_eof()

    def unanswered(self):
        """Returns the number of requests that were not answered yet."""
        return self._request_count - self.answered

    def drops_body(self):
        """Whether the rest of a body is dropped, as it was answered."""
        return self.receives_body() and not self.unanswered()

    def is_link(self):
        """Whether the connection has become a WebSocket."""
        return self._upgraded or self._payload_parser is not None

    def update(self):
        """Updates the phase of the connection."""
        connection = self.connection
        if connection is None or connection.phase is Phase.CLOSING:
            return
        phase = self.find_phase()
        if phase is not connection.phase:
            if connection.phase not in ledger_module.RECEIVING:
                connection.since_s = self._loop.time()
            connection.phase = phase

    def find_phase(self):
        """Returns the current phase of the connection."""
        requests = self.unanswered()
        if self.is_link():
            return Phase.LINK
        if requests == 1 and self.receives_body():
            return Phase.BODY
        if requests:
            return Phase.ANSWER
        if self.receives_body():
            return Phase.BODY
        return Phase.HEAD if self.head_bytes else Phase.IDLE

    def refuse(self, reason):
        """Refuses the request that is being received."""
        self.refused = True
        self.ledger.record(self.connection, reason)
        self._lingering_time = 0.0
        self._pause_transport_reading()
        self._loop.call_later(CLOSE_S, self.close_refused, reason)
        if self.is_link() or self.drops_body():
            self.close_for(reason)
        elif self.receives_body():
            self.body.set_exception(refusal(reason))
        elif self.unanswered():
            self.close()
        else:
            line = STATUS_LINES.get(reason, STATUS_LINES[Reason.HEAD])
            self.raw_transport.write(line + END_OF_HEAD)
            self.force_close()

    def release_message(self):
        """Records that a message of a WebSocket was taken."""
        self.ledger.release(self.connection)

    async def _handle_request(self, request, start_time, request_handler):
        """Handles a request and releases what it held."""
        try:
            return await super()._handle_request(
                request, start_time, request_handler
            )
        finally:
            if request.content.exception() is not None:
                forget_frames(request.content.exception())
            self.answered += 1
            kept = self.read_bytes if self.unanswered() else 0
            self.ledger.release(self.connection, kept)
            self.update()


class BoundedServer(web.Server):
    """Creates the ``BoundedProtocol`` of each connection.

    Args:
        handler: Handler of requests.
        ledger: ``Ledger`` of all connections.
        group: ``Group`` of the connections.
        find_max_body_bytes: Function that returns the largest size of a body.
        options: Options of the HTTP library.
    """

    def __init__(
        self, handler, *, ledger, group, find_max_body_bytes, **options
    ):
        super().__init__(handler, **options)
        self.ledger = ledger
        self.group = group
        self.find_max_body_bytes = find_max_body_bytes

    def __call__(self):
        return BoundedProtocol(
            self,
            ledger=self.ledger,
            group=self.group,
            find_max_body_bytes=self.find_max_body_bytes,
            loop=self._loop,
            **self._kwargs,
        )


class BoundedRunner(web.AppRunner):
    """Runs a web application whose connections are bounded.

    Args:
        app: Web application.
        ledger: ``Ledger`` of all connections.
        group: ``Group`` of the connections.
        find_max_body_bytes: Function that returns the largest size of a body.
        options: Options of the HTTP library.
    """

    def __init__(
        self,
        app,
        *,
        ledger,
        group,
        find_max_body_bytes=lambda: MAX_BODY_BYTES,
        **options,
    ):
        super().__init__(app, **options)
        self.ledger = ledger
        self.group = group
        self.find_max_body_bytes = find_max_body_bytes

    async def _make_server(self):
        server = await super()._make_server()
        return BoundedServer(
            server.request_handler,
            request_factory=server.request_factory,
            loop=asyncio.get_running_loop(),
            ledger=self.ledger,
            group=self.group,
            find_max_body_bytes=self.find_max_body_bytes,
            **server._kwargs,
        )


class BoundedWebSocket(web.WebSocketResponse):
    """WebSocket that releases each message that is taken."""

    async def receive(self, timeout=None):
        """Returns the next message."""
        message = await super().receive(timeout)
        self._req.protocol.release_message()
        return message


async def watch(ledger):
    """Closes overdue connections for as long as the process runs."""
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(WATCH_PAUSE_S)
        ledger.close_overdue(loop.time())
