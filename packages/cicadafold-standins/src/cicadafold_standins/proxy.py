"""TCP proxy that adds delay, a bandwidth limit and faults.

The proxy reads its routes from a JSON file. Each route listens on one
address and forwards to another; routes that share a link share its
bandwidth. Faults are set per link by ``POST /faults`` on the control
address, and ``GET /counters`` reports the bytes that each link carried.

A route with several destinations balances connections over those whose
``/healthz`` answers 200, as the balancer in front of the entry hosts does.
"""

import argparse
import asyncio
import collections
import enum
import signal

import aiohttp
from aiohttp import web
import msgspec
import uvloop

from cicadafold_standins import serving

__all__ = [
    "Link",
    "LinkMode",
    "LinkSettings",
    "Pool",
    "PoolSettings",
    "ProxySettings",
    "Route",
]

HEALTH_PERIOD_S = 0.25
HEALTH_TIMEOUT_S = 1.0
BITS_PER_BYTE = 8
MS_PER_S = 1000


class LinkMode(enum.Enum):
    """What a link does with connections and data."""

    FORWARD = "open"
    RESET = "cut"
    BLACKHOLE = "silent"
    BLACKHOLE_EXISTING = "silence_existing"


class PoolSettings(msgspec.Struct, kw_only=True):
    """Bandwidth in one direction; 0 is unlimited."""

    name: str
    bandwidth_bits_per_s: float = 0.0


class LinkSettings(msgspec.Struct, kw_only=True):
    """A link between two places.

    Attributes:
        delay_ms: Delay of one way in milliseconds.
        up: Pool of the bytes from the connecting side.
        down: Pool of the bytes to the connecting side.
    """

    name: str
    up: str
    down: str
    delay_ms: float = 0.0


class Route(msgspec.Struct, kw_only=True):
    """Forwards connections from an address to destinations."""

    listen: str
    destinations: list[str]
    link: str
    balance: bool = False


class ProxySettings(msgspec.Struct, kw_only=True):
    """Settings of one proxy process."""

    control: str
    pools: list[PoolSettings]
    links: list[LinkSettings]
    routes: list[Route]


class FaultRequest(msgspec.Struct, kw_only=True):
    """Sets the mode of every link whose name starts with a prefix."""

    prefix: str
    mode: LinkMode


class Pool:
    """Bandwidth that connections share in one direction."""

    def __init__(self, *, settings):
        self.bits_per_s = settings.bandwidth_bits_per_s
        self.bytes_carried = 0
        self.busy_until_s = 0.0

    def schedule_transmission(self, size, now_s):
        """Returns when the last bit of a chunk has left."""
        self.bytes_carried += size
        if not self.bits_per_s:
            return now_s
        start_s = max(now_s, self.busy_until_s)
        self.busy_until_s = start_s + size * BITS_PER_BYTE / self.bits_per_s
        return self.busy_until_s


class Link:
    """Shared state of the connections over one link."""

    def __init__(self, *, settings, pools):
        self.delay_s = settings.delay_ms / MS_PER_S
        self.up = pools[settings.up]
        self.down = pools[settings.down]
        self.mode = LinkMode.FORWARD
        self.connections = set()

    def set_mode(self, mode):
        """Applies a mode to this link and its open connections."""
        self.mode = mode
        for connection in list(self.connections):
            if mode is LinkMode.RESET:
                connection.abort()
            elif mode is not LinkMode.FORWARD:
                connection.discarding = True


class ProxyConnection(asyncio.Protocol):
    """One side of a forwarded connection."""

    def __init__(self, *, link, pool):
        self.link = link
        self.pool = pool
        self.peer = None
        self.transport = None
        self.discarding = False
        self.aborted = False
        self.pending = collections.deque()
        self.timer = None
        self.early_data = []
        self.loop = asyncio.get_running_loop()

    def connection_made(self, transport):
        """Registers the connection with its link."""
        self.transport = transport
        self.link.connections.add(self)
        if self.aborted:
            transport.abort()

    def data_received(self, data):
        """Forwards data to the other side after the link's delay."""
        if self.discarding or self.link.mode is LinkMode.BLACKHOLE:
            return
        if self.peer is None:
            self.early_data.append(data)
        else:
            self.forward(data)

    def forward(self, data):
        """Queues data, or the end of the stream, for delivery."""
        now_s = self.loop.time()
        size = 0 if data is None else len(data)
        due_s = (
            self.pool.schedule_transmission(size, now_s) + self.link.delay_s
        )
        peer = self.peer
        if due_s <= now_s and not peer.pending:
            peer.deliver(data)
            return
        peer.pending.append((due_s, data))
        if peer.timer is None:
            peer.timer = self.loop.call_at(due_s, peer.deliver_due)

    def deliver_due(self):
        """Delivers the chunks whose time has come."""
        self.timer = None
        now_s = self.loop.time()
        while self.pending and self.pending[0][0] <= now_s:
            self.deliver(self.pending.popleft()[1])
        if self.pending:
            due_s = self.pending[0][0]
            self.timer = self.loop.call_at(due_s, self.deliver_due)

    def deliver(self, data):
        """Writes a chunk; None closes the connection."""
        if self.discarding or self.transport.is_closing():
            return
        if data is None:
            self.transport.close()
        else:
            self.transport.write(data)

    def connection_lost(self, error):
        """Closes the other side unless the link hides it."""
        self.link.connections.discard(self)
        hidden = self.discarding or self.link.mode is LinkMode.BLACKHOLE
        if self.peer is not None and not hidden:
            self.forward(None)

    def abort(self):
        """Resets the connection, also one that is still being made."""
        self.aborted = True
        if self.transport is not None:
            self.transport.abort()


class RouteListener:
    """Accepts the connections of one route."""

    def __init__(self, *, route, link):
        self.route = route
        self.link = link
        self.healthy = list(route.destinations)
        self.next_index = 0

    def next_destination(self):
        """Returns the next healthy destination, or None."""
        if not self.healthy:
            return None
        self.next_index += 1
        return self.healthy[self.next_index % len(self.healthy)]

    def accept(self):
        """Creates the near end of a new connection."""
        downstream = ProxyConnection(link=self.link, pool=self.link.up)
        asyncio.get_running_loop().create_task(self.connect(downstream))
        return downstream

    async def connect(self, downstream):
        """Connects the far end of a new connection."""
        if self.link.mode is LinkMode.RESET:
            downstream.abort()
            return
        if self.link.mode is LinkMode.BLACKHOLE:
            downstream.discarding = True
            return
        destination = self.next_destination()
        if destination is None:
            downstream.abort()
            return
        host, _, port = destination.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            _, upstream = await loop.create_connection(
                lambda: ProxyConnection(link=self.link, pool=self.link.down),
                host,
                int(port),
            )
        except OSError:
            downstream.abort()
            return
        upstream.peer = downstream
        downstream.peer = upstream
        for data in downstream.early_data:
            downstream.forward(data)
        downstream.early_data.clear()
        if downstream.transport.is_closing():
            upstream.transport.close()

    async def watch_health(self):
        """Keeps the list of healthy destinations."""
        timeout = aiohttp.ClientTimeout(total=HEALTH_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                checks = [
                    self.check(session, destination)
                    for destination in self.route.destinations
                ]
                healthy = await asyncio.gather(*checks)
                self.healthy = [d for d in healthy if d]
                await asyncio.sleep(HEALTH_PERIOD_S)

    async def check(self, session, destination):
        """Returns the destination if it is healthy."""
        try:
            url = f"http://{destination}/healthz"
            async with session.get(url) as reply:
                return destination if reply.status == 200 else None
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None


async def control_app(links, pools):
    """Builds the control interface."""

    async def set_faults(request):
        fault = await serving.read_json(request, FaultRequest)
        for name, link in links.items():
            if name.startswith(fault.prefix):
                link.set_mode(fault.mode)
        return web.Response()

    async def counters(request):
        carried = {n: pool.bytes_carried for n, pool in pools.items()}
        return web.json_response(carried)

    app = web.Application()
    app.router.add_post("/faults", set_faults)
    app.router.add_get("/counters", counters)
    return app


async def serve(settings):
    """Runs all routes until SIGTERM."""
    loop = asyncio.get_running_loop()
    pools = {s.name: Pool(settings=s) for s in settings.pools}
    links = {s.name: Link(settings=s, pools=pools) for s in settings.links}
    tasks = []
    for route in settings.routes:
        listener = RouteListener(route=route, link=links[route.link])
        host, _, port = route.listen.rpartition(":")
        await loop.create_server(listener.accept, host, int(port), backlog=512)
        if route.balance:
            tasks.append(loop.create_task(listener.watch_health()))
    runner = web.AppRunner(await control_app(links, pools), access_log=None)
    await runner.setup()
    host, _, port = settings.control.rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
    for task in tasks:
        task.cancel()
    await runner.cleanup()


def main():
    """Runs the proxy."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--settings", required=True)
    arguments = parser.parse_args()
    with open(arguments.settings, "rb") as source:
        settings = msgspec.json.decode(source.read(), type=ProxySettings)
    uvloop.run(serve(settings))


if __name__ == "__main__":
    main()
