"""Stand-in for the platform's append-only log service.

``POST /faults`` sets the faults to simulate.
"""

import asyncio
import collections
import random
import time

from aiohttp import web
from cicadafold.platform import messages
import msgspec

from cicadafold_standins import serving

__all__ = ["Faults", "LogService", "Stream"]

MAX_ENTRIES_PER_READ = 2000
MS_PER_S = 1000


class Faults(msgspec.Struct, kw_only=True):
    """Faults to simulate.

    Attributes:
        down: Whether every call is refused with status 503.
        slow_ms: Delay of every call in milliseconds.
        lose_answers: Share of appends that take effect, but whose
            connection is dropped before the reply.
    """

    down: bool = False
    slow_ms: int = 0
    lose_answers: float = 0.0


class Stream:
    """Entries of one stream.

    Attributes:
        entries: Entries within the retention period, oldest first.
        next_offset: Offset of the next entry.
        appended: Event that is set, and then replaced, by each append.
    """

    def __init__(self):
        self.entries = collections.deque()
        self.next_offset = 1
        self.appended = asyncio.Event()

    @property
    def oldest(self):
        """Offset of the oldest entry that is still kept."""
        return self.next_offset - len(self.entries)

    def append(self, body):
        """Appends an entry and returns its offset."""
        entry = messages.LogEntry(
            offset=self.next_offset,
            at_ms=int(time.time() * MS_PER_S),
            body=msgspec.Raw(body),
        )
        self.entries.append(entry)
        self.next_offset += 1
        self.appended.set()
        self.appended = asyncio.Event()
        return entry.offset

    def expire(self, *, retention_s):
        """Drops the entries that are older than ``retention_s`` seconds."""
        oldest_ms = int((time.time() - retention_s) * MS_PER_S)
        while self.entries and self.entries[0].at_ms < oldest_ms:
            self.entries.popleft()

    def read(self, start):
        """Returns up to ``MAX_ENTRIES_PER_READ`` entries from an offset on."""
        skipped = max(0, start - self.oldest)
        last = min(len(self.entries), skipped + MAX_ENTRIES_PER_READ)
        entries = [self.entries[i] for i in range(skipped, last)]
        return messages.ReadReply(
            entries=entries,
            oldest=self.oldest,
            next_offset=self.next_offset,
            now_ms=int(time.time() * MS_PER_S),
        )


class LogService:
    """HTTP handlers of the log service.

    Args:
        retention_s: Time for which entries are kept, in seconds.
        max_appends_per_s: Limit of appends per second over all streams.
        seed: Seed that selects the appends whose replies are lost.
    """

    def __init__(self, *, retention_s, max_appends_per_s, seed=0):
        self.retention_s = retention_s
        self.max_appends_per_s = max_appends_per_s
        self.streams = collections.defaultdict(Stream)
        self.faults = Faults()
        self.rng = random.Random(seed)
        self.appends = 0
        self.append_bytes = 0
        self.current_second = 0
        self.appends_in_second = 0
        self.peak_appends_per_s = 0

    async def apply_faults(self):
        """Delays or refuses a call, as the faults require.

        Raises:
            web.HTTPServiceUnavailable: The service is down.
        """
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / MS_PER_S)
        if self.faults.down:
            raise web.HTTPServiceUnavailable(text="log service is down")

    def count_append(self, size):
        """Counts an append of a size in bytes against the rate limit.

        Raises:
            web.HTTPTooManyRequests: The limit of this second is reached.
        """
        second = int(time.monotonic())
        if second != self.current_second:
            self.current_second = second
            self.appends_in_second = 0
        if self.appends_in_second >= self.max_appends_per_s:
            raise web.HTTPTooManyRequests(text="append rate exceeded")
        self.appends_in_second += 1
        self.peak_appends_per_s = max(
            self.peak_appends_per_s, self.appends_in_second
        )
        self.appends += 1
        self.append_bytes += size

    async def append(self, request):
        """Appends the body of a request as one entry."""
        body = await request.read()
        await self.apply_faults()
        self.count_append(len(body))
        stream = self.streams[request.match_info["stream"]]
        offset = stream.append(body)
        if self.rng.random() < self.faults.lose_answers:
            request.transport.abort()
        return serving.json_response(messages.AppendReply(offset=offset))

    async def read(self, request):
        """Replies with entries; waits up to ``wait_ms`` if there are none."""
        await self.apply_faults()
        start = int(request.query["from"])
        wait_s = int(request.query.get("wait_ms", 0)) / MS_PER_S
        stream = self.streams[request.match_info["stream"]]
        stream.expire(retention_s=self.retention_s)
        if start >= stream.next_offset and wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    await stream.appended.wait()
            except TimeoutError:
                pass
            await self.apply_faults()
        return serving.json_response(stream.read(start))

    async def set_faults(self, request):
        """Replaces the simulated faults."""
        self.faults = await serving.read_json(request, Faults)
        return web.Response()

    async def counters(self, request):
        """Replies with the number, bytes and peak rate of appends."""
        return web.json_response(
            {
                "appends": self.appends,
                "append_bytes": self.append_bytes,
                "peak_appends_per_s": self.peak_appends_per_s,
            }
        )


def make_app(arguments):
    """Returns the web application of the log service."""
    service = LogService(
        retention_s=arguments.retention_s,
        max_appends_per_s=arguments.max_appends_per_s,
    )
    app = web.Application(client_max_size=64 * 1024 * 1024)
    app.router.add_post("/streams/{stream}/entries", service.append)
    app.router.add_get("/streams/{stream}/entries", service.read)
    app.router.add_post("/faults", service.set_faults)
    app.router.add_get("/counters", service.counters)
    return app


def add_arguments(parser):
    """Adds the command-line arguments of the log service."""
    parser.add_argument("--retention-s", type=float, default=3600.0)
    parser.add_argument("--max-appends-per-s", type=int, default=300)


if __name__ == "__main__":
    serving.run(make_app, add_arguments)
