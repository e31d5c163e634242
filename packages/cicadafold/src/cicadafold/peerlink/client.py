"""Client side of the links to peers."""

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

    Frames that are queued while a message is being written are sent
    together in the next one.

    Attributes:
        serial: Serial number of the last frame.
        unsent_frames: Frames that are queued but not yet written.
        pending_calls: Future and deadline, in seconds of the event loop's
            clock, of each call without a reply, by serial number.
        on_close: Function that is called once when the link closes.
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
        """Sends a frame and returns its reply.

        Args:
            frame: Frame to send; its ``serial`` is set.
            timeout_s: Time to wait for the reply, in seconds. It is checked
                every ``EXPIRY_CHECK_PERIOD_S``.

        Raises:
            LinkNotOpen: The link was closed before the frame was sent.
            LinkLost: The link broke or no reply arrived in time. The peer
                may have received the frame.
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
        """Connects, then sends frames and reads replies until it breaks."""
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
        """Reads replies and passes each one to its caller."""
        async for message in socket:
            if message.type is not aiohttp.WSMsgType.BINARY:
                break
            for reply in frames.decode_replies(message.data):
                pending = self.pending_calls.pop(reply.serial, None)
                if pending is not None and not pending[0].done():
                    pending[0].set_result(reply)

    async def write(self, socket):
        """Writes the queued frames, all of them in one message."""
        while True:
            await self.frames_queued.wait()
            self.frames_queued.clear()
            batch, self.unsent_frames = self.unsent_frames, []
            try:
                await socket.send_bytes(frames.encode(batch))
            except (aiohttp.ClientError, ConnectionError):
                return

    async def expire_calls(self):
        """Periodically fails the calls whose timeout has passed."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(EXPIRY_CHECK_PERIOD_S)
            now_s = loop.time()
            expired = [
                serial
                for serial, (_, deadline_s) in self.pending_calls.items()
                if deadline_s < now_s
            ]
            for serial in expired:
                fail_call(self.pending_calls.pop(serial)[0], link_lost_error())

    def close(self):
        """Closes the link and fails all pending calls.

        Calls whose frame was not written fail with ``LinkNotOpen``, others
        with ``LinkLost``.
        """
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
    """Sets an error on the future of a call that is still pending."""
    if not future.done():
        future.set_exception(error)


def link_not_open_error():
    """Returns the error for a call whose frame was not sent."""
    return exception.LinkNotOpen(
        message="The call was not sent: no link to the peer is open.",
        remedy="The call is repeated to the current owner of the rack.",
    )


def link_lost_error():
    """Returns the error for a call without a reply whose frame may be sent."""
    return exception.LinkLost(
        message="The link broke or the peer did not reply in time.",
        remedy="The call is repeated to the current owner of the rack.",
    )


class LaneLinks:
    """Links of this process, by peer, incarnation and lane.

    Attributes:
        resolve: Function that maps an address in the control state to the
            one to connect to.
        on_lost: Function that is called with the member's entry when a
            link to it closes.
        links: Links by name and incarnation of the peer and by lane.
    """

    def __init__(self, *, session, token, resolve, on_lost):
        self.session = session
        self.token = token
        self.resolve = resolve
        self.on_lost = on_lost
        self.links = {}

    def get(self, member, lane):
        """Returns an open link to a member, connecting if needed.

        Args:
            member: Entry of the member in the control state.
            lane: Lane of the requests that the link carries.
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
        """Closes all links and waits until they have closed."""
        for link in self.links.values():
            link.task.cancel()
        await asyncio.gather(
            *(link.task for link in self.links.values()),
            return_exceptions=True,
        )
