"""Calling side of the links to peers."""

import asyncio
import functools

import aiohttp

from cicadafold import exception
from cicadafold.peerlink import frames
from cicadafold.telemetry import logs

__all__ = ["PeerLink", "PeerLinks"]

HEARTBEAT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
SWEEP_PERIOD_S = 0.2
MAX_FRAME_BYTES = 16 * 1024 * 1024

LOG = logs.get_logger("peer")


class PeerLink:
    """One WebSocket to one incarnation of a peer, for one lane.

    Frames that gather while the last message is written go out together.
    """

    def __init__(self, *, session, address, lane, token, on_close):
        self.session = session
        self.url = f"http://{address}/peer/link?lane={lane}"
        self.headers = {"Authorization": f"Bearer {token}"} if token else {}
        self.serial = 0
        self.outbox = []
        self.unanswered = {}
        self.arrived = asyncio.Event()
        self.closed = False
        self.on_close = on_close
        self.task = asyncio.create_task(self.run())

    async def call(self, frame, *, timeout_s):
        """Sends a frame and waits for its reply.

        Args:
            frame: The frame to send.
            timeout_s: Seconds after which the reply is given up.

        Raises:
            LinkNotOpen: Nothing was sent.
            LinkLost: The frame may have arrived.
        """
        if self.closed:
            raise not_open()
        self.serial += 1
        frame.serial = self.serial
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        self.unanswered[frame.serial] = (future, loop.time() + timeout_s)
        self.outbox.append(frame)
        self.arrived.set()
        return await future

    async def run(self):
        """Connects, then reads and writes until the link breaks."""
        try:
            timeout = aiohttp.ClientWSTimeout(ws_close=CONNECT_TIMEOUT_S)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                socket = await self.session.ws_connect(
                    self.url,
                    heartbeat=HEARTBEAT_S,
                    headers=self.headers,
                    max_msg_size=MAX_FRAME_BYTES,
                    timeout=timeout,
                )
        except (aiohttp.ClientError, TimeoutError, OSError):
            self.close()
            return
        writer = asyncio.create_task(self.write(socket))
        sweeper = asyncio.create_task(self.sweep())
        try:
            await self.read(socket)
        finally:
            writer.cancel()
            sweeper.cancel()
            self.close()
            await socket.close()

    async def read(self, socket):
        """Gives each reply to its caller."""
        async for message in socket:
            if message.type is not aiohttp.WSMsgType.BINARY:
                break
            for reply in frames.decode_replies(message.data):
                waiting = self.unanswered.pop(reply.serial, None)
                if waiting is not None and not waiting[0].done():
                    waiting[0].set_result(reply)

    async def write(self, socket):
        """Writes the frames that have gathered."""
        while True:
            await self.arrived.wait()
            self.arrived.clear()
            batch, self.outbox = self.outbox, []
            try:
                await socket.send_bytes(frames.encode(batch))
            except (aiohttp.ClientError, ConnectionError):
                return

    async def sweep(self):
        """Gives up on the calls whose time has passed."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S)
            now_s = loop.time()
            overdue = [
                serial
                for serial, (_, end_s) in self.unanswered.items()
                if end_s < now_s
            ]
            for serial in overdue:
                fail(self.unanswered.pop(serial)[0], lost())

    def close(self):
        """Fails the calls that have no reply."""
        if not self.closed:
            self.closed = True
            self.on_close()
        unsent = {frame.serial for frame in self.outbox}
        self.outbox = []
        unanswered, self.unanswered = self.unanswered, {}
        for serial, (future, _) in unanswered.items():
            fail(future, not_open() if serial in unsent else lost())


def fail(future, error):
    """Fails a call if its caller still waits."""
    if not future.done():
        future.set_exception(error)


def not_open():
    """Builds the error of a call that was not sent."""
    return exception.LinkNotOpen(
        message="The peer could not be reached.",
        remedy="The call is repeated to the current owner.",
    )


def lost():
    """Builds the error of a call that has no reply."""
    return exception.LinkLost(
        message="The link to the peer broke.",
        remedy="The call is repeated to the current owner.",
    )


class PeerLinks:
    """The open links, by incarnation and lane."""

    def __init__(self, *, session, token, resolve, on_lost):
        self.session = session
        self.token = token
        self.resolve = resolve
        self.on_lost = on_lost
        self.links = {}

    def get(self, member, lane):
        """Returns an open link to a member, connecting if needed.

        Args:
            member: The member's entry in the folded state.
            lane: Lane whose frames the link carries.
        """
        key = (member.name, member.incarnation, lane)
        link = self.links.get(key)
        if link is None or link.closed:
            link = PeerLink(
                session=self.session,
                address=self.resolve(member.address),
                lane=lane.value,
                token=self.token,
                on_close=functools.partial(self.on_lost, member),
            )
            self.links[key] = link
        return link

    async def close(self):
        """Closes all links."""
        for link in self.links.values():
            link.task.cancel()
        await asyncio.gather(
            *(link.task for link in self.links.values()),
            return_exceptions=True,
        )
