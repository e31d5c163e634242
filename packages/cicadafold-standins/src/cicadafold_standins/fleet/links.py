"""Loopback links between the hosts of a cell and what they connect to.

Each end (the store, a worker, the advice service, the peer address of a host)
is reached through a listener in front of it. The IP number that a connection
comes from names its host, so every pair of host and end has a link of its own
with faults of its own.
"""

import asyncio
import collections
import enum
import math
import socket
import struct

import msgspec

__all__ = ["Direction", "Link", "LinkFault", "Links"]

LISTEN_HOST = "127.0.0.1"
SOURCE_PREFIX = "127.0.1."
# With this option a socket is closed by a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Direction(enum.Enum):
    """Direction of data on a link.

    Attributes:
        TO_END: From the host that connects.
        TO_HOST: To the host that connects.
    """

    TO_END = "to end"
    TO_HOST = "to host"


class LinkFault(msgspec.Struct, kw_only=True, frozen=True, eq=False):
    """A fault of a link; several may be in force at once.

    Attributes:
        delay_s: Seconds by which data is delayed in each direction.
        resets: Whether open and new connections are reset.
        silent: Directions in which no data passes. Connections stay open,
            and what is sent passes when the fault ends, as with TCP.
        forgets_idle_s: No data passes ever again on connections that have
            carried none for so many seconds when the fault begins, as when
            a device on the way drops their state. New ones work.
    """

    delay_s: float = 0.0
    resets: bool = False
    silent: frozenset[Direction] = frozenset()
    forgets_idle_s: float = math.inf


class Link:
    """Faults and open connections of one host's way to one end.

    Attributes:
        faults: ``LinkFault`` objects in force.
        connections: Open ``LinkConnection`` objects.
    """

    def __init__(self):
        self.faults = []
        self.connections = set()

    @property
    def delay_s(self):
        """Longest delay in force, in seconds."""
        return max((fault.delay_s for fault in self.faults), default=0.0)

    @property
    def resets(self):
        """Whether connections are reset."""
        return any(fault.resets for fault in self.faults)

    def is_silent(self, direction=None):
        """Whether no data passes in a direction, None for any."""
        return any(
            fault.silent if direction is None else direction in fault.silent
            for fault in self.faults
        )

    def add(self, fault):
        """Puts a fault in force and applies it to the open connections."""
        self.faults.append(fault)
        now_s = asyncio.get_running_loop().time()
        for connection in list(self.connections):
            if now_s - connection.active_s >= fault.forgets_idle_s:
                connection.forgotten = True
            if fault.resets:
                connection.abort()

    def remove(self, fault):
        """Ends a fault; held data passes unless another fault holds it."""
        self.faults.remove(fault)
        for connection in list(self.connections):
            connection.resume()


class Flow:
    """Data of one connection in one direction.

    Attributes:
        pending: Pairs of loop time in seconds and data that passes then;
            None as data closes the connection.
        target: Transport that the data is written to, None until connected.
        timer: Timer of the first pending data, or None.
    """

    def __init__(self, *, connection, direction):
        self.connection = connection
        self.direction = direction
        self.pending = collections.deque()
        self.target = None
        self.timer = None

    def put(self, data):
        """Sends data, or None to close the connection after all data."""
        now_s = asyncio.get_running_loop().time()
        self.connection.active_s = now_s
        due_s = now_s + self.connection.link.delay_s
        if self.pending:
            due_s = max(due_s, self.pending[-1][0])
        self.pending.append((due_s, data))
        self.pump()

    def pump(self):
        """Writes the pending data that may pass now."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.target is None:
            return
        loop = asyncio.get_running_loop()
        while self.pending:
            if self.connection.forgotten or self.connection.link.is_silent(
                self.direction
            ):
                return
            due_s, data = self.pending[0]
            if due_s > loop.time():
                self.timer = loop.call_at(due_s, self.pump)
                return
            if not self.connection.same_life():
                self.connection.abort()
                return
            self.pending.popleft()
            if self.target.is_closing():
                continue
            if data is None:
                self.target.close()
            else:
                self.target.write(data)


class Side(asyncio.Protocol):
    """The TCP connection at one side of a ``LinkConnection``.

    Args:
        connection: Connection that it is a side of.
        flow: ``Flow`` of the data that is received here.
    """

    def __init__(self, *, connection, flow):
        self.connection = connection
        self.flow = flow

    def connection_made(self, transport):
        """Registers the transport."""
        self.connection.on_made(self, transport)

    def data_received(self, data):
        """Forwards data to the other side."""
        self.flow.put(data)

    def connection_lost(self, error):
        """Closes the other side after the data that is on its way."""
        self.connection.on_lost(self)


class LinkConnection:
    """A connection from a host to an end.

    Args:
        links: All links.
        end: ``End`` that the host connects to.

    Attributes:
        active_s: Loop time in seconds at which data was last sent.
        forgotten: Whether no data passes ever again.
        closed: Whether it is not to be connected to the end any more.
    """

    def __init__(self, *, links, end):
        self.links = links
        self.end = end
        self.link = None
        self.life = end.life()
        self.flows = {
            direction: Flow(connection=self, direction=direction)
            for direction in Direction
        }
        self.host_side = Side(
            connection=self, flow=self.flows[Direction.TO_END]
        )
        self.end_side = Side(
            connection=self, flow=self.flows[Direction.TO_HOST]
        )
        self.transports = {}
        self.active_s = asyncio.get_running_loop().time()
        self.forgotten = False
        self.closed = False

    def same_life(self):
        """Whether the end is the one that the connection was made to."""
        return self.life == self.end.life()

    def on_made(self, side, transport):
        """Takes note of a transport; connects to the end after the first."""
        self.transports[side] = transport
        if side is self.end_side:
            self.link.connections.add(self)
            self.flows[Direction.TO_END].target = transport
            self.flows[Direction.TO_END].pump()
            if self.closed:
                self.abort()
            return
        self.flows[Direction.TO_HOST].target = transport
        source = transport.get_extra_info("peername")[0]
        self.link = self.links.link(self.links.host_at(source), self.end.name)
        self.link.connections.add(self)
        if self.link.resets:
            self.abort()
        else:
            self.resume()

    def resume(self):
        """Lets pass what no fault holds any longer."""
        if self.end_side in self.transports:
            for flow in self.flows.values():
                flow.pump()
        elif not self.closed and not self.link.is_silent():
            self.links.spawn(self.connect())

    async def connect(self):
        """Connects to the end, or resets the connection if it refuses."""
        if self.end_side in self.transports:
            return
        host, _, port = self.end.destination.rpartition(":")
        self.transports[self.end_side] = None
        self.life = self.end.life()
        try:
            await asyncio.get_running_loop().create_connection(
                lambda: self.end_side, host, int(port)
            )
        except OSError:
            self.abort()

    def on_lost(self, side):
        """Closes the other side once one side is lost.

        A host that gives up before the connection to the end is made leaves
        nothing behind.
        """
        self.transports[side] = None
        if side is self.host_side and self.end_side not in self.transports:
            self.closed = True
            self.link.connections.discard(self)
            return
        side.flow.put(None)
        if not any(self.transports.values()):
            self.link.connections.discard(self)

    def abort(self):
        """Resets the connection on both sides."""
        self.closed = True
        self.link.connections.discard(self)
        for flow in self.flows.values():
            flow.pending.clear()
        for transport in list(self.transports.values()):
            if transport is not None:
                transport.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
                transport.abort()


class End:
    """Something that hosts connect to.

    Attributes:
        name: Name of the end, unique in the cell.
        destination: Address at which it listens.
        address: Address that hosts are told, which a listener serves.
        life: Function whose result changes when the end restarts at the same
            address; connections and held data do not outlive that.
        server: Server of the listener.
    """

    def __init__(self, *, name, destination, life):
        self.name = name
        self.destination = destination
        self.life = life
        self.address = ""
        self.server = None


class Links:
    """All links of a cell.

    Attributes:
        hosts: Names of hosts by the IP number that they connect from.
        ends: ``End`` objects by name.
        links: ``Link`` objects by the names of host and end.
    """

    def __init__(self):
        self.hosts = {}
        self.ends = {}
        self.links = {}
        self.tasks = set()

    def source_of(self, host):
        """Returns the IP number that a host connects from."""
        for source, name in self.hosts.items():
            if name == host:
                return source
        source = f"{SOURCE_PREFIX}{len(self.hosts) + 1}"
        self.hosts[source] = host
        return source

    def host_at(self, source):
        """Returns the name of the host at an IP number, empty if unknown."""
        return self.hosts.get(source, "")

    def link(self, host, end):
        """Returns the link of a host to an end."""
        return self.links.setdefault((host, end), Link())

    def spawn(self, coroutine):
        """Runs a coroutine as a task."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def listen(self, name, destination, *, port=0, life=lambda: None):
        """Opens the listener of an end and returns its address.

        Args:
            name: Name of the end; a former end of the name is replaced.
            destination: Address at which the end listens.
            port: Port of the listener, 0 for any.
            life: As for ``End``.
        """
        self.close(name)
        end = End(name=name, destination=destination, life=life)
        end.server = await asyncio.get_running_loop().create_server(
            lambda: LinkConnection(links=self, end=end).host_side,
            LISTEN_HOST,
            port,
        )
        end.address = "{}:{}".format(*end.server.sockets[0].getsockname()[:2])
        self.ends[name] = end
        return end.address

    def close(self, name):
        """Closes the listener of an end; open connections stay."""
        end = self.ends.pop(name, None)
        if end is not None:
            end.server.close()

    def close_all(self):
        """Closes all listeners and connections."""
        for name in list(self.ends):
            self.close(name)
        for link in self.links.values():
            for connection in list(link.connections):
                connection.abort()

    def apply(self, fault, pairs):
        """Puts a fault in force on links.

        Args:
            fault: The ``LinkFault``.
            pairs: Pairs of the names of host and end.
        """
        for host, end in pairs:
            self.link(host, end).add(fault)

    def lift(self, fault):
        """Ends a fault on all links."""
        for link in list(self.links.values()):
            if fault in link.faults:
                link.remove(fault)
