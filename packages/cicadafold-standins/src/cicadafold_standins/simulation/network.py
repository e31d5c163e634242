"""Simulated network with delays, partitions, lost answers and late calls."""

import asyncio
import collections
import contextvars
import json
import types

import aiohttp
import yarl

from cicadafold_standins.simulation import applications
from cicadafold_standins.simulation import virtual_time

__all__ = ["Network", "Session"]

# Bounds of the usual one-way delay, and of the long delay that the fraction
# LONG_DELAY_SHARE of the messages gets.
DELAY_S = (0.0003, 0.004)
LONG_DELAY_SHARE = 0.02
LONG_DELAY_S = (0.01, 0.25)
# The platform may apply unanswered commands up to 12 s later.
LATE_DELAY_S = (0.2, 12.0)
CONNECT_TIMEOUT_S = 0.5
# A WebSocket is closed when its ends do not hear from each other for this
# time.
HEARTBEAT_TIMEOUT_S = 1.5
CUT_CHECK_INTERVAL_S = 0.02
HEARTBEAT_CHECK_INTERVAL_S = 0.25
JOB_ID_SIZE = 16


class Network:
    """Connects processes by address.

    Args:
        rng: Random number generator.
        topology: ``Topology`` of the links with a limited bandwidth, or None
            if there are none.

    Attributes:
        cut: Pairs of host names between which all messages are dropped.
        answer_loss_share: Fraction of the calls that take effect but whose
            answer is lost.
        late_call_share: Fraction of the calls that are delivered late and
            not answered.
        incarnations: Functions that return the incarnation of the process at
            an address, by address.
        late_across_incarnations: Whether a late call is delivered even if
            the process at its address has been restarted since it was sent.
        counts: Number of dropped ("cut"), late and lost calls, by label.
    """

    def __init__(self, *, rng, topology=None):
        self.rng = rng
        self.topology = topology
        self.cut = set()
        self.answer_loss_share = 0.0
        self.late_call_share = 0.0
        self.incarnations = {}
        self.late_across_incarnations = False
        self.counts = collections.Counter()
        self.servers = {}
        self.sockets = {}

    def listen(self, address, app, host=None):
        """Serves an application at an address.

        Args:
            address: Host name and port.
            app: The application.
            host: Host that runs it, or None for a stand-in.
        """
        self.servers[address] = applications.Server(app=app, host=host)

    def listen_sockets(self, address, serve, host):
        """Serves WebSockets at an address.

        Args:
            address: Host name and port.
            serve: Coroutine function called with the server's end of each
                socket.
            host: Host that runs it.
        """
        self.sockets[address] = (serve, host)

    def close(self, host):
        """Closes all addresses of a host and its calls in progress."""
        for address, server in list(self.servers.items()):
            if server.host is host:
                del self.servers[address]
                server.close()
        for address, (_, owner) in list(self.sockets.items()):
            if owner is host:
                del self.sockets[address]

    def spawn(self, coroutine):
        """Starts a task that belongs to the network, not to any host."""
        loop = asyncio.get_running_loop()
        return loop.create_task(coroutine, context=contextvars.Context())

    def incarnation_at(self, address):
        """Returns the incarnation of a process, None if it is not tracked."""
        return (
            self.incarnations[address]()
            if address in self.incarnations
            else None
        )

    def is_cut(self, one, other):
        """Whether messages between two hosts are dropped."""
        return (one, other) in self.cut or (other, one) in self.cut

    async def delay(self):
        """Waits for a random one-way delay."""
        slow = self.rng.random() < LONG_DELAY_SHARE
        bounds = LONG_DELAY_S if slow else DELAY_S
        await asyncio.sleep(self.rng.uniform(*bounds))

    async def transmit(self, call, future):
        """Delivers a call to its server and the answer to the caller.

        Args:
            call: The call.
            future: Future that gets the answer; it stays pending if the
                caller gets neither an answer nor an error.
        """
        name = call.url.path.rpartition("/")[2]
        if len(name) == JOB_ID_SIZE:
            name = f"{call.method} job"
        address = f"{call.url.host}:{call.url.port}"
        incarnation = self.incarnation_at(address)
        await self.delay()
        if self.is_cut(call.source, call.url.host):
            self.counts["cut"] += 1
            if self.rng.random() < 0.5:
                await asyncio.sleep(CONNECT_TIMEOUT_S)
                applications.resolve_call(
                    future, error=aiohttp.ConnectionTimeoutError()
                )
            return
        late = self.rng.random() < self.late_call_share
        if late:
            self.counts[f"late {name}"] += 1
            await asyncio.sleep(self.rng.uniform(*LATE_DELAY_S))
        if incarnation != self.incarnation_at(address):
            if not late:
                applications.resolve_call(
                    future, error=aiohttp.ServerDisconnectedError()
                )
            if not late or not self.late_across_incarnations:
                return
        server = self.servers.get(address)
        if server is None:
            applications.resolve_call(
                future, error=connection_refused(call.url)
            )
            return
        await self.carry_call(call, call.url.host, call.data)
        answer = await server.answer(call)
        await self.delay()
        if answer is not None:
            await self.carry_call(call, call.source, answer.body)
        if late or self.is_cut(call.source, call.url.host):
            return
        if answer is None or self.rng.random() < self.answer_loss_share:
            self.counts[f"lost {name}"] += 1
            applications.resolve_call(
                future, error=aiohttp.ServerDisconnectedError()
            )
            return
        applications.resolve_call(future, answer=answer)

    async def carry_call(self, call, target, body):
        """Carries the body of a call, or of its answer, to a host.

        Args:
            call: The call.
            target: Address of the host that receives the body.
            body: The body, or None.
        """
        if self.topology is None:
            return
        to_caller = target == call.source
        await self.topology.carry(
            call.url.host if to_caller else call.source,
            target,
            len(body or b""),
            on_progress=call.record_progress,
        )

    async def connect(self, source, url):
        """Opens a WebSocket and returns the caller's end.

        Raises:
            TimeoutError: The hosts are cut off from each other.
            aiohttp.ClientConnectorError: Nothing listens at the address.
        """
        await asyncio.sleep(self.rng.uniform(*DELAY_S))
        endpoint = self.sockets.get(f"{url.host}:{url.port}")
        if self.is_cut(source, url.host):
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise TimeoutError
        if endpoint is None:
            raise connection_refused(url)
        serve, host = endpoint
        ends = [Socket(self, None), Socket(self, host)]
        ends[0].remote, ends[1].remote = ends[1], ends[0]
        ends[0].address, ends[1].address = source, url.host
        ends[0].host = virtual_time.CURRENT_HOST.get()
        host.spawn(serve(ends[1]))
        self.spawn(self.monitor_heartbeat(ends, source, url.host))
        return ends[0]

    async def monitor_heartbeat(self, ends, source, target):
        """Closes a socket when its ends no longer reach each other.

        It is closed at once if the host of an end is dead, and after
        HEARTBEAT_TIMEOUT_S if a host is frozen or the hosts are cut off
        from each other.
        """
        silent_s = 0.0
        while not ends[0].closed and not ends[1].closed:
            await asyncio.sleep(HEARTBEAT_CHECK_INTERVAL_S)
            if any(end.host is not None and end.host.dead for end in ends):
                break
            frozen = any(end.host and end.host.frozen for end in ends)
            unreachable = frozen or self.is_cut(source, target)
            silent_s = (
                silent_s + HEARTBEAT_CHECK_INTERVAL_S if unreachable else 0.0
            )
            if silent_s >= HEARTBEAT_TIMEOUT_S:
                break
        for end in ends:
            end.close_end()


def connection_refused(url):
    """Returns the error of a call to an address without a listener."""
    key = types.SimpleNamespace(
        host=url.host, port=url.port, ssl=False, is_ssl=False
    )
    return aiohttp.ClientConnectorError(key, ConnectionRefusedError())


class Answer:
    """Answer to a call, with the part of aiohttp's interface in use."""

    def __init__(self, response):
        self.status = response.status
        self.body = response.body or b""
        self.headers = response.headers
        self.content = types.SimpleNamespace(
            total_bytes=len(self.body), iter_any=self.parts
        )

    async def parts(self):
        """Yields the body as a whole."""
        yield self.body

    async def read(self):
        """Returns the body."""
        return self.body

    async def json(self):
        """Returns the decoded JSON body."""
        return json.loads(self.body)


class Call:
    """One call of a process; a context manager that returns its answer."""

    def __init__(self, session, method, url, data, headers, timeout):
        self.network = session.network
        self.source = session.source
        self.method = method
        self.url = yarl.URL(url)
        self.data = data
        self.headers = headers
        self.timeout = timeout
        self.progress_s = 0.0

    def record_progress(self):
        """Records that bytes of the call or of its answer have arrived."""
        self.progress_s = asyncio.get_running_loop().time()

    async def __aenter__(self):
        future = asyncio.get_running_loop().create_future()
        self.record_progress()
        self.network.spawn(self.network.transmit(self, future))
        total_s = None if self.timeout is None else self.timeout.total
        idle_s = None if self.timeout is None else self.timeout.sock_read
        async with asyncio.timeout(total_s):
            if idle_s is not None:
                await self.wait_while_progressing(future, idle_s)
            return Answer(await future)

    async def wait_while_progressing(self, future, idle_s):
        """Waits for an answer for as long as parts of it arrive.

        Args:
            future: Future of the answer; cancelled if it does not arrive.
            idle_s: Longest time in seconds without a part of it.

        Raises:
            TimeoutError: Nothing has arrived for that time.
        """
        loop = asyncio.get_running_loop()
        try:
            while not future.done():
                left_s = self.progress_s + idle_s - loop.time()
                if left_s <= 0:
                    raise TimeoutError
                await asyncio.wait({future}, timeout=left_s)
        finally:
            if not future.done():
                future.cancel()

    async def __aexit__(self, *_):
        return None


class Session:
    """Replacement for ``aiohttp.ClientSession`` in a simulated process.

    Args:
        network: The simulated network.
        source: Host name of the process.
    """

    def __init__(self, network, source):
        self.network = network
        self.source = source

    def request(self, method, url, *, data=None, headers=None, timeout=None):
        """Returns a call, which is sent when its context is entered."""
        return Call(self, method, url, data, headers, timeout)

    def get(self, url, *, headers=None, timeout=None):
        """Returns a GET call, which is sent when its context is entered."""
        return self.request("GET", url, headers=headers, timeout=timeout)

    def post(self, url, *, data=None, headers=None, timeout=None):
        """Returns a POST call."""
        return self.request(
            "POST", url, data=data, headers=headers, timeout=timeout
        )

    async def ws_connect(self, url, **_):
        """Opens a WebSocket and returns this process's end."""
        return await self.network.connect(self.source, yarl.URL(url))

    async def close(self):
        """Does nothing; a session holds no connections."""


class Socket:
    """One end of a WebSocket; messages arrive in the order of sending.

    Args:
        network: The simulated network.
        host: Host of this end.

    Attributes:
        address: Address of the host of this end.
        remote: The other end.
        outbox: Messages that wait for limited links to carry them.
        held: Messages that wait until the hosts are no longer cut off from
            each other.
        inbox: Messages that have arrived; None marks the end.
        last_arrival_s: Loop time at which the message that this end sent
            last arrives.
    """

    def __init__(self, network, host):
        self.network = network
        self.host = host
        self.address = ""
        self.remote = None
        self.closed = False
        self.inbox = asyncio.Queue()
        self.outbox = collections.deque()
        self.held = collections.deque()
        self.pump_task = None
        self.last_arrival_s = 0.0

    async def send_bytes(self, data):
        """Sends a binary message, which arrives after a random delay.

        Over limited links, messages are carried one after the other.
        """
        if self.closed:
            raise ConnectionResetError("the simulated WebSocket is closed")
        if self.network.topology is None:
            self.deliver(data)
            return
        self.outbox.append(data)
        if self.pump_task is None or self.pump_task.done():
            self.pump_task = self.network.spawn(self.pump())

    async def pump(self):
        """Carries all messages that wait to be sent."""
        while self.outbox and not self.closed:
            data = self.outbox.popleft()
            await self.network.topology.carry(
                self.address,
                self.remote.address,
                len(data),
            )
            if not self.closed:
                self.deliver(data)

    def deliver(self, data):
        """Lets a message arrive at the other end after a random delay."""
        loop = asyncio.get_running_loop()
        delay_s = self.network.rng.uniform(*DELAY_S)
        self.last_arrival_s = max(self.last_arrival_s, loop.time() + delay_s)
        message = types.SimpleNamespace(
            type=aiohttp.WSMsgType.BINARY, data=data
        )
        loop.call_at(
            self.last_arrival_s,
            self.arrive,
            message,
            context=contextvars.Context(),
        )

    def arrive(self, message):
        """Hands a message to the other end, or holds it behind a cut."""
        self.held.append(message)
        if len(self.held) == 1:
            self.release_held()

    def release_held(self):
        """Hands held messages over once the hosts reach each other."""
        if self.remote.closed:
            self.held.clear()
        elif self.network.is_cut(self.address, self.remote.address):
            asyncio.get_running_loop().call_later(
                CUT_CHECK_INTERVAL_S,
                self.release_held,
                context=contextvars.Context(),
            )
        else:
            while self.held:
                self.remote.inbox.put_nowait(self.held.popleft())

    def __aiter__(self):
        return self

    async def __anext__(self):
        message = await self.inbox.get()
        if message is None:
            raise StopAsyncIteration
        return message

    def close_end(self):
        """Closes this end."""
        if not self.closed:
            self.closed = True
            self.inbox.put_nowait(None)

    async def close(self):
        """Closes both ends."""
        self.close_end()
        self.remote.close_end()
