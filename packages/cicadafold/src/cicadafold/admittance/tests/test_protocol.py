"""Tests of bounded connections on loopback, with bounds of a few kilobytes."""

import asyncio

from aiohttp import web
import pytest

from cicadafold.admittance import bounds
from cicadafold.admittance import ledger as ledger_module
from cicadafold.admittance import protocol
from cicadafold import exception
from cicadafold.telemetry import metrics

CALLERS = bounds.Group.CALLERS
MAX_BODY, HELD = 40_000, 80_000
HEAD, OVERHEAD = 8_000, 1_000
CONNECTIONS = 20
LONGEST_S = 30.0
CHUNKED = "Transfer-Encoding: chunked"


class BoundedService:
    """A server that answers with the size of the body, and its clients.

    Attributes:
        ledger: ``Ledger`` of its connections.
        port: Port on which it listens.
        release: Event for which calls of ``/wait`` wait.
    """

    def __init__(self):
        self.ledger = ledger_module.Ledger(
            bounds=bounds.ConnectionBounds(
                connections={CALLERS: CONNECTIONS},
                held_bytes={CALLERS: HELD},
                small_request_bytes=4_000,
                head_bytes=HEAD,
                overhead_bytes=OVERHEAD,
                patience_s=3600.0,
            ),
            metrics=metrics.Metrics(),
        )
        self.port = None
        self.release = asyncio.Event()

    async def handle(self, request):
        """Answers a call as the callers' address does."""
        if request.path == "/wait":
            await self.release.wait()
        try:
            body = await request.read()
        except exception.CicadafoldError as error:
            headers = {"Retry-After": "1"} if error.status == 503 else {}
            answer = web.Response(status=error.status, headers=headers)
            answer.force_close()
            return answer
        return web.Response(text=str(len(body)))

    async def connect(self, *pieces):
        """Opens a connection and sends pieces on it."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
        return reader, writer

    async def answer(self, *pieces):
        """Returns the answer to pieces until the connection is closed."""
        reader, writer = await self.connect(*pieces)
        answer = await reader.read()
        writer.close()
        return answer.decode()


def head(*lines, method="POST", path="/"):
    """Returns the head of the last request of a connection."""
    fields = [f"{method} {path} HTTP/1.1", "Host: a", "Connection: close"]
    return "\r\n".join([*fields, *lines, "", ""]).encode()


def chunks(body, size):
    """Returns a body in chunks of a size."""
    parts = [body[i : i + size] for i in range(0, len(body), size)]
    framed = [b"%x\r\n%b\r\n" % (len(part), part) for part in parts]
    return b"".join(framed) + b"0\r\n\r\n"


@pytest.fixture
def play():
    """Returns a function that runs a scenario with a ``BoundedService``."""

    def run(scenario):
        async def serve():
            service = BoundedService()
            app = web.Application()
            app.router.add_route("*", "/{path:.*}", service.handle)
            runner = protocol.BoundedRunner(
                app,
                access_log=None,
                shutdown_timeout=0.1,
                ledger=service.ledger,
                group=CALLERS,
                find_max_body_bytes=lambda: MAX_BODY,
            )
            await runner.setup()
            site = web.TCPSite(runner, "127.0.0.1", 0)
            await site.start()
            service.port = site._server.sockets[0].getsockname()[1]
            try:
                async with asyncio.timeout(LONGEST_S):
                    return await scenario(service)
            finally:
                await runner.cleanup()

        return asyncio.run(serve())

    return run


LARGEST = b"x" * MAX_BODY
LENGTH = f"Content-Length: {MAX_BODY}"
PIECES = [LARGEST[i : i + 1000] for i in range(0, MAX_BODY, 1000)]


@pytest.mark.parametrize(
    "pieces",
    [
        [head(LENGTH) + LARGEST],
        [head(LENGTH), *PIECES],
        [head(CHUNKED), chunks(LARGEST, 20_000)],
        [head(CHUNKED), chunks(LARGEST, 10)],
        [head(CHUNKED), chunks(b"x" * 200, 1)],
    ],
)
def test_single_request_within_the_limits_is_served(play, pieces):
    async def scenario(service):
        answer = await service.answer(*pieces)
        assert answer.startswith("HTTP/1.1 200")
        assert service.ledger.held_bytes[CALLERS] == 0

    play(scenario)


@pytest.mark.parametrize(
    ("pieces", "status"),
    [
        ([head(CHUNKED), chunks(LARGEST + PIECES[0] * 20, 10_000)], 413),
        ([head(CHUNKED), chunks(b"x" * 10_000, 1)], 400),
        ([head(CHUNKED), b"1;x=" + b"x" * MAX_BODY], 400),
        ([b"GET / HTTP/1.1\r\n", b"X-A: a\r\n" * (HEAD // 8)], 400),
        ([b"\r\n" * HEAD], 400),
    ],
)
def test_request_beyond_a_bound_is_refused(play, pieces, status):
    async def scenario(service):
        answer = await service.answer(*pieces)
        assert int(answer.split()[1]) == status
        assert service.ledger.held_bytes[CALLERS] == 0

    play(scenario)


def test_body_without_room_is_refused_for_now_and_a_small_one_served(play):
    async def scenario(service):
        first, _ = await service.connect(head(LENGTH), LARGEST[:-1])
        while service.ledger.held_bytes[CALLERS] < MAX_BODY:
            await asyncio.sleep(0.01)
        refused = await service.answer(head(LENGTH), LARGEST[:-1])
        assert refused.startswith("HTTP/1.1 503")
        assert "Retry-After: 1" in refused
        small = await service.answer(head("Content-Length: 5"), b"small")
        assert small.startswith("HTTP/1.1 200")
        assert not first.at_eof()

    play(scenario)


def test_complete_request_is_answered_though_its_connection_is_refused(play):
    async def scenario(service):
        waiting = head(method="GET", path="/wait").replace(
            b"Connection: close\r\n", b""
        )
        answering = asyncio.create_task(
            service.answer(waiting, b"\r\n" * 3 * HEAD)
        )
        while not service.ledger.metrics.counters:
            await asyncio.sleep(0.01)
        service.release.set()
        answer = await answering
        assert answer.startswith("HTTP/1.1 200")

    play(scenario)


def test_connections_over_the_limit_displace_idle_ones(play):
    async def scenario(service):
        others = [await service.connect() for _ in range(CONNECTIONS + 5)]
        answer = await service.answer(head("Content-Length: 5"), b"small")
        assert answer.startswith("HTTP/1.1 200")
        opened = service.ledger.connections[CALLERS]
        assert len(opened) <= CONNECTIONS
        assert others[0][0].at_eof() or not await others[0][0].read()

    play(scenario)
