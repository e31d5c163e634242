"""Calling side of the links to peers."""

import asyncio
import functools

import aiohttp

from cicadafold import exception
from cicadafold.peerlink import frames
from cicadafold.telemetry import logs

__all__ = ["LaneLink", "LaneLinks"]

HEARTBEAT_PERIOD_S = 2.0
CONNECT_TIMEOUT_S = 1.0
EXPIRY_CHECK_PERIOD_S = 0.2
MAX_FRAME_BYTES = 16 * 1024 * 1024

LOG = logs.get_logger("peer")


class LaneLink:
    """One WebSocket to one incarnation of a peer, for one lane.

    Frames that gather while the last message is written go out together.
    """

    def __init__(self, *, session, address, lane, token, on_close):
        self.session = session
        self.url = f"http://{address}/peer/link?lane={lane}"
        self.headers = {"Authorization": f"Bearer {token}"} if token else {}
        self.serial = 0
        self.unsent_frames = []
        self.pending_calls = {}
        self.frames_queued = asyncio.Event()
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
            raise link_not_open_error()
        self.serial += 1
        frame.serial = self.serial
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        self.pending_calls[frame.serial] = (future, loop.time() + timeout_s)
        self.unsent_frames.append(frame)
        self.frames_queued.set()
        return await future

    async def run(self):
        """Connects, then reads and writes until the link breaks."""
        try:
            timeout = aiohttp.ClientWSTimeout(ws_close=CONNECT_TIMEOUT_S)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                socket = await self.session.ws_connect(
                    self.url,
                    heartbeat=HEARTBEAT_PERIOD_S,
                    headers=self.headers,
                    max_msg_size=MAX_FRAME_BYTES,
                    timeout=timeout,
                )
        except (aiohttp.ClientError, TimeoutError, OSError):
            self.close()
            return
        writer_task = asyncio.create_task(self.write(socket))
        expiry_task = asyncio.create_task(self.expire_calls())
        try:
            await self.read(socket)
        finally:
            writer_task.cancel()
            expiry_task.cancel()
            self.close()
            await socket.close()

    async def read(self, socket):
        """Gives each reply to its caller."""
        async for message in socket:
            if message.type is not aiohttp.WSMsgType.BINARY:
                break
            for reply in frames.decode_replies(message.data):
                waiting = self.pending_calls.pop(reply.serial, None)
                if waiting is not None and not waiting[0].done():
                    waiting[0].set_result(reply)

    async def write(self, socket):
        """Writes the frames that have gathered."""
        while True:
            await self.frames_queued.wait()
            self.frames_queued.clear()
            batch, self.unsent_frames = self.unsent_frames, []
            try:
                await socket.send_bytes(frames.encode(batch))
            except (aiohttp.ClientError, ConnectionError):
                return

    async def expire_calls(self):
        """Gives up on the calls whose time has passed."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(EXPIRY_CHECK_PERIOD_S)
            now_s = loop.time()
            overdue = [
                serial
                for serial, (_, end_s) in self.pending_calls.items()
                if end_s < now_s
            ]
            for serial in overdue:
                fail_call(self.pending_calls.pop(serial)[0], link_lost_error())

    def close(self):
        """Fails the calls that have no reply."""
        if not self.closed:
            self.closed = True
            self.on_close()
        unsent_serials = {frame.serial for frame in self.unsent_frames}
        self.unsent_frames = []
        pending_calls, self.pending_calls = self.pending_calls, {}
        for serial, (future, _) in pending_calls.items():
            fail_call(
                future,
                link_not_open_error()
                if serial in unsent_serials
                else link_lost_error(),
            )


def fail_call(future, error):
    """Fails a call if its caller still waits."""
    if not future.done():
        future.set_exception(error)


def link_not_open_error():
    """Builds the error of a call that was not sent."""
    return exception.LinkNotOpen(
        message="The peer could not be reached.",
        remedy="The call is repeated to the current owner.",
    )


def link_lost_error():
    """Builds the error of a call that has no reply."""
    return exception.LinkLost(
        message="The link to the peer broke.",
        remedy="The call is repeated to the current owner.",
    )


class LaneLinks:
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
            link = LaneLink(
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
