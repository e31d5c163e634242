"""Stand-in for the platform's store: topics, keyed topics and groups."""

import asyncio
import base64
import struct

from aiohttp import web

from cicadafold import clock

__all__ = ["FleetStore"]

LENGTH = struct.Struct(">I")
BOUNDS = struct.Struct(">QQ")
PARTITIONS = 8
PAGE = 500
MILLISECONDS = 1000.0
REMEMBERED_APPENDS = 5


class Partition:
    """One partition: records, its writers, and who waits for more.

    Attributes:
        records: Records from offset ``first`` on.
        first: Offset of the first retained record.
        newest: Offset and record of the newest value by key.
        writers: Epoch, sequence and answers by writer.
    """

    def __init__(self):
        self.records = []
        self.first = 0
        self.newest = {}
        self.writers = {}
        self.grown = asyncio.Event()

    @property
    def end(self):
        """Offset behind the last record."""
        return self.first + len(self.records)

    def add(self, record):
        """Appends one record."""
        size = record[0] if record else 0
        key = record[1 : 1 + size].decode()
        value = record[1 + size :]
        if value:
            self.newest[key] = (self.end, value)
        else:
            self.newest.pop(key, None)
        self.records.append(record)
        self.grown.set()
        self.grown = asyncio.Event()


class FleetStore:
    """The store; faults are set from outside.

    Attributes:
        refuse: Whether calls are answered with 503.
        silent: Whether calls get no answer and have no effect.
        lose: Number of appends whose answer is lost, after taking effect.
        refused_hosts: Addresses of callers that are turned away.
    """

    def __init__(self, *, append_s=0.002):
        self.append_s = append_s
        self.partitions = {}
        self.groups = {}
        self.generation = 0
        self.refuse = False
        self.silent = False
        self.lose = 0
        self.refused_hosts = set()
        self.appends = 0

    def app(self):
        """Returns the application that serves the store."""
        app = web.Application(
            middlewares=[self.faults], client_max_size=4 << 20
        )
        app.router.add_post("/api/log-append", self.append)
        app.router.add_get("/api/log-read", self.read)
        app.router.add_get("/api/log-newest", self.newest)
        app.router.add_post("/api/log-join", self.join)
        app.router.add_post("/api/log-leave", self.leave)
        return app

    @web.middleware
    async def faults(self, request, handler):
        """Applies the faults that are set."""
        if self.silent:
            await asyncio.sleep(3600)
        if self.refuse or request.remote in self.refused_hosts:
            return web.Response(status=503)
        return await handler(request)

    def partition(self, topic, number):
        """Returns a partition, created on first use."""
        return self.partitions.setdefault((topic, int(number)), Partition())

    def put(self, topic, key, value, part=0):
        """Writes a value as the operator or a worker would."""
        name = key.encode()
        record = bytes((len(name),)) + name + value
        self.partition(topic, part).add(record)

    async def append(self, request):
        """Appends records, all or none."""
        query = request.query
        part = self.partition(query["topic"], query["part"])
        body = await request.read()
        await asyncio.sleep(self.append_s)
        self.appends += 1
        if "at" in query and int(query["at"]) != part.end:
            return web.json_response({"end": part.end}, status=412)
        answer = self.check_writer(part, query)
        if isinstance(answer, web.Response):
            return answer
        offset = part.end
        if answer is None:
            for record in split(body):
                part.add(record)
            answer = {"offset": offset, "end": part.end}
            self.note_writer(part, query, answer)
        if self.lose > 0:
            self.lose -= 1
            request.transport.abort()
        return web.json_response(answer)

    def check_writer(self, part, query):
        """Returns a refusal, the answer of a repeat, or None to go on."""
        if "producer" not in query:
            return None
        epoch, sequence = int(query["epoch"]), int(query["sequence"])
        known = part.writers.get(query["producer"])
        if known is None or epoch > known["epoch"]:
            return None
        if epoch < known["epoch"]:
            return web.json_response({"reason": "fenced"}, status=409)
        if sequence in known["answers"]:
            return known["answers"][sequence]
        if sequence != known["sequence"] + 1:
            body = {"reason": "seq", "sequence": known["sequence"] + 1}
            return web.json_response(body, status=409)
        return None

    def note_writer(self, part, query, answer):
        """Remembers an append of a writer."""
        if "producer" not in query:
            return
        epoch, sequence = int(query["epoch"]), int(query["sequence"])
        known = part.writers.get(query["producer"])
        if known is None or epoch > known["epoch"]:
            known = {"epoch": epoch, "answers": {}}
            part.writers[query["producer"]] = known
        known["sequence"] = sequence
        known["answers"][sequence] = answer
        for old in sorted(known["answers"])[:-REMEMBERED_APPENDS]:
            del known["answers"][old]

    async def read(self, request):
        """Reads from an offset on, and waits for a record if asked to."""
        query = request.query
        part = self.partition(query["topic"], query["part"])
        start = int(query["from"])
        if start < part.first:
            return web.json_response({"first": part.first}, status=410)
        wait_s = int(query.get("waitMs", 0)) / MILLISECONDS
        if wait_s and start >= part.end:
            try:
                async with asyncio.timeout(wait_s):
                    await part.grown.wait()
            except TimeoutError:
                pass
        found = part.records[start - part.first :]
        body = BOUNDS.pack(part.end, part.first) + b"".join(
            LENGTH.pack(len(record)) + record for record in found
        )
        return web.Response(body=body)

    async def newest(self, request):
        """Returns the newest record of each key, a page at a time."""
        query = request.query
        part = self.partition(query["topic"], query["part"])
        after = query.get("dependsOn", "")
        keys = sorted(key for key in part.newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(part.newest[key][1]).decode(),
                "offset": part.newest[key][0],
            }
            for key in keys[:PAGE]
        ]
        return web.json_response(
            {
                "items": items,
                "hasMore": len(keys) > PAGE,
                "end": part.end,
            }
        )

    def forget_history(self, topic, part=0):
        """Deletes the records of a partition but the newest of each key."""
        found = self.partition(topic, part)
        found.first = found.end
        found.records = []

    async def join(self, request):
        """Joins a group; partition 0 goes to the oldest member."""
        message = await request.json()
        now_s = clock.monotonic_ms() / MILLISECONDS
        group = self.groups.setdefault(message["group"], {})
        for member, (_, until_s) in list(group.items()):
            if until_s < now_s:
                del group[member]
                self.generation += 1
        if message["member"] not in group:
            self.generation += 1
        since_s = group.get(message["member"], (now_s, 0))[0]
        until_s = now_s + message["ttlMs"] / MILLISECONDS
        group[message["member"]] = (since_s, until_s)
        oldest = min(group, key=lambda member: group[member][0])
        rows = []
        if oldest == message["member"]:
            rows = [
                [topic, number, 0]
                for topic in message["topics"]
                for number in range(PARTITIONS)
            ]
        return web.json_response(
            {"generation": self.generation, "parts": rows}
        )

    async def leave(self, request):
        """Leaves a group."""
        message = await request.json()
        group = self.groups.get(message["group"], {})
        if group.pop(message["member"], None) is not None:
            self.generation += 1
        return web.json_response({})


def split(body):
    """Yields the records of an append."""
    at = 0
    while at < len(body):
        (length,) = LENGTH.unpack_from(body, at)
        at += LENGTH.size
        yield body[at : at + length]
        at += length
