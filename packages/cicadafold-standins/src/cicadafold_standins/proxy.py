"""TCP proxy that adds delay, bandwidth limits and network faults.

The proxy reads its routes from a JSON file. Each route listens on one address
and forwards connections to a destination. Every route belongs to a link, which
has a delay and a bandwidth pool for each direction; routes whose links name
the same pool share its bandwidth. ``POST /faults`` on the control address sets
the mode of links, and ``GET /counters`` returns the bytes that each pool has
carried.

A route with ``balance`` distributes its connections in turn over the
destinations whose ``/healthz`` answers 200, as the balancer in front of the
entry hosts does.
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
    """What a link does with connections and data.

    Attributes:
        FORWARD: Accepts connections and forwards data.
        RESET: Resets open and new connections.
        BLACKHOLE: Discards the data of open and new connections, and keeps
            the connections open.
        BLACKHOLE_EXISTING: Discards the data of the connections that are
            open now, and forwards the data of new ones.
    """

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
        up: Name of the pool for bytes from the side that connects.
        down: Name of the pool for bytes to the side that connects.
        delay_ms: One-way delay in milliseconds.
    """

    name: str
    up: str
    down: str
    delay_ms: float = 0.0


class Route(msgspec.Struct, kw_only=True):
    """A listening address and where its connections are forwarded to.

    Attributes:
        listen: Address to listen on.
        destinations: Addresses to connect to.
        link: Name of the link that the connections use.
        balance: Whether only destinations whose health check succeeds are
            used.
    """

    listen: str
    destinations: list[str]
    link: str
    balance: bool = False


class ProxySettings(msgspec.Struct, kw_only=True):
    """Settings of one proxy process; ``control`` is an address."""

    control: str
    pools: list[PoolSettings]
    links: list[LinkSettings]
    routes: list[Route]


class FaultRequest(msgspec.Struct, kw_only=True):
    """Sets the mode of every link whose name starts with a prefix."""

    prefix: str
    mode: LinkMode


class Pool:
    """Bandwidth that connections share in one direction.

    Attributes:
        busy_until_s: Loop time in seconds at which all scheduled data has
            been transmitted.
    """

    def __init__(self, *, settings):
        self.bits_per_s = settings.bandwidth_bits_per_s
        self.bytes_carried = 0
        self.busy_until_s = 0.0

    def schedule_transmission(self, size, now_s):
        """Reserves bandwidth for a chunk; returns its end in loop seconds."""
        self.bytes_carried += size
        if not self.bits_per_s:
            return now_s
        start_s = max(now_s, self.busy_until_s)
        self.busy_until_s = start_s + size * BITS_PER_BYTE / self.bits_per_s
        return self.busy_until_s


class Link:
    """Mode, delay and open connections of one link.

    Attributes:
        connections: Open ``ProxyConnection`` objects, of both sides.
    """

    def __init__(self, *, settings, pools):
        self.delay_s = settings.delay_ms / MS_PER_S
        self.up = pools[settings.up]
        self.down = pools[settings.down]
        self.mode = LinkMode.FORWARD
        self.connections = set()

    def set_mode(self, mode):
        """Sets the mode of this link and applies it to its open connections.

        Back in ``FORWARD``, connections that were blackholed stay so.
        """
        self.mode = mode
        for connection in list(self.connections):
            if mode is LinkMode.RESET:
                connection.abort()
            elif mode is not LinkMode.FORWARD:
                connection.discarding = True


class ProxyConnection(asyncio.Protocol):
    """One of the two TCP connections that form a forwarded connection.

    Attributes:
        pool: ``Pool`` of the bytes that this connection receives.
        peer: ``ProxyConnection`` to the other side, which received data is
            forwarded to, or None until it is made.
        discarding: Whether data in both directions is discarded.
        pending: Pairs of loop time in seconds and data to write here.
        timer: Timer of the first pending write, or None.
        early_data: Data that was received before ``peer`` was made.
    """

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
        """Registers the connection with its link, or resets it if aborted."""
        self.transport = transport
        self.link.connections.add(self)
        if self.aborted:
            transport.abort()

    def data_received(self, data):
        """Forwards received data, or discards it while blackholed."""
        if self.discarding or self.link.mode is LinkMode.BLACKHOLE:
            return
        if self.peer is None:
            self.early_data.append(data)
        else:
            self.forward(data)

    def forward(self, data):
        """Schedules data, or None for the end, for the other side."""
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
        """Writes the pending chunks that are due, and sets the next timer."""
        self.timer = None
        now_s = self.loop.time()
        while self.pending and self.pending[0][0] <= now_s:
            self.deliver(self.pending.popleft()[1])
        if self.pending:
            due_s = self.pending[0][0]
            self.timer = self.loop.call_at(due_s, self.deliver_due)

    def deliver(self, data):
        """Writes data to this connection; None closes it."""
        if self.discarding or self.transport.is_closing():
            return
        if data is None:
            self.transport.close()
        else:
            self.transport.write(data)

    def connection_lost(self, error):
        """Closes the other side, unless this one is blackholed."""
        self.link.connections.discard(self)
        suppress_close = (
            self.discarding or self.link.mode is LinkMode.BLACKHOLE
        )
        if self.peer is not None and not suppress_close:
            self.forward(None)

    def abort(self):
        """Resets the connection now, or as soon as it is made."""
        self.aborted = True
        if self.transport is not None:
            self.transport.abort()


class RouteListener:
    """Accepts and forwards the connections of one route.

    Attributes:
        healthy: Destinations whose last health check succeeded; all of them
            for a route that does not balance.
    """

    def __init__(self, *, route, link):
        self.route = route
        self.link = link
        self.healthy = list(route.destinations)
        self.next_index = 0

    def next_destination(self):
        """Returns the next healthy destination in turn, or None."""
        if not self.healthy:
            return None
        self.next_index += 1
        return self.healthy[self.next_index % len(self.healthy)]

    def accept(self):
        """Returns the protocol object of a new connection and connects it."""
        downstream = ProxyConnection(link=self.link, pool=self.link.up)
        asyncio.get_running_loop().create_task(self.connect(downstream))
        return downstream

    async def connect(self, downstream):
        """Connects an accepted connection to a destination.

        It is reset if no destination is healthy or the chosen one refuses.
        """
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
        """Checks all destinations periodically and updates ``healthy``."""
        timeout = aiohttp.ClientTimeout(total=HEALTH_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                checks = [
                    self.check_health(session, destination)
                    for destination in self.route.destinations
                ]
                healthy = await asyncio.gather(*checks)
                self.healthy = [d for d in healthy if d]
                await asyncio.sleep(HEALTH_PERIOD_S)

    async def check_health(self, session, destination):
        """Returns the destination if its health check succeeds, else None."""
        try:
            url = f"http://{destination}/healthz"
            async with session.get(url) as reply:
                return destination if reply.status == 200 else None
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None


async def control_app(links, pools):
    """Returns the web application that sets faults and shows counters."""

    async def set_faults(request):
        fault = await serving.read_json(request, FaultRequest)
        for name, link in links.items():
            if name.startswith(fault.prefix):
                link.set_mode(fault.mode)
        return web.Response()

    async def counters(request):
        bytes_by_pool = {n: pool.bytes_carried for n, pool in pools.items()}
        return web.json_response(bytes_by_pool)

    app = web.Application()
    app.router.add_post("/faults", set_faults)
    app.router.add_get("/counters", counters)
    return app


async def serve(settings):
    """Serves routes and control interface until SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    pools = {s.name: Pool(settings=s) for s in settings.pools}
    links = {s.name: Link(settings=s, pools=pools) for s in settings.links}
    health_tasks = []
    for route in settings.routes:
        listener = RouteListener(route=route, link=links[route.link])
        host, _, port = route.listen.rpartition(":")
        await loop.create_server(listener.accept, host, int(port), backlog=512)
        if route.balance:
            health_tasks.append(loop.create_task(listener.watch_health()))
    runner = web.AppRunner(await control_app(links, pools), access_log=None)
    await runner.setup()
    host, _, port = settings.control.rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
    for task in health_tasks:
        task.cancel()
    await runner.cleanup()


def main():
    """Runs the proxy with the settings of a file."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--settings", required=True)
    arguments = parser.parse_args()
    with open(arguments.settings, "rb") as source:
        settings = msgspec.json.decode(source.read(), type=ProxySettings)
    uvloop.run(serve(settings))


if __name__ == "__main__":
    main()
