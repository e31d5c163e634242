"""Stand-in for the platform's store, on the pages' HTTP interface.

Keeps all records in memory. Appends of a partition are executed one after
another. Entries of workers that are silent for three heartbeat intervals are
removed.
"""

import asyncio
import base64
import json
import struct
import time

from aiohttp import web

LENGTH = struct.Struct(">I")
OFFSETS = struct.Struct(">QQ")
PAGE = 500
KEPT_ANSWERS = 5


class Partition:
    """One partition: its records, newest values by key, and writers."""

    def __init__(self):
        self.records = []
        self.newest = {}
        self.writers = {}
        self.lock = asyncio.Lock()
        self.grown = asyncio.Event()

    @property
    def end(self):
        """Offset of the next record."""
        return len(self.records)

    def add(self, record):
        """Appends one keyed record; one without a value drops its key."""
        size = record[0]
        key, value = record[1 : 1 + size].decode(), record[1 + size :]
        if value:
            self.newest[key] = (self.end, value)
        else:
            self.newest.pop(key, None)
        self.records.append(record)
        self.grown.set()
        self.grown = asyncio.Event()


def keyed(key, value):
    """Returns a record of a keyed topic."""
    name = key.encode()
    return bytes((len(name),)) + name + value


def split(body):
    """Returns the records in the body of an append."""
    found, at = [], 0
    while at < len(body):
        (size,) = LENGTH.unpack_from(body, at)
        at += LENGTH.size
        found.append(body[at : at + size])
        at += size
    return found


class Store:
    """The store, and the registry entries that it holds for workers.

    Attributes:
        append_s: Duration of an append in seconds.
        before_call: Coroutine function of the request, run before each call;
            a response that it returns is the answer.
    """

    def __init__(self, *, append_s=0.004, heartbeat_s=1.5):
        self.append_s = append_s
        self.heartbeat_s = heartbeat_s
        self.topics = {}
        self.groups = {}
        self.generation = 0
        self.seen = {}
        self.before_call = None

    def part(self, topic, number=0):
        """Returns a partition, which is made on first use."""
        return self.topics.setdefault((topic, int(number)), Partition())

    def put(self, topic, key, value):
        """Appends a record as the operator or a worker would."""
        self.part(topic).add(keyed(key, value))

    def newest_json(self, topic, key):
        """Returns the newest value of a key, decoded."""
        found = self.part(topic).newest.get(key)
        return None if found is None else json.loads(found[1])

    def register(self, name, entry):
        """Takes a worker's heartbeat."""
        self.seen[name] = time.monotonic()
        self.put("keyed.servers", name, json.dumps(entry).encode())

    async def expire(self):
        """Removes the entries of silent workers until cancelled."""
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for name, at in list(self.seen.items()):
                if now - at > 3 * self.heartbeat_s:
                    del self.seen[name]
                    self.put("keyed.servers", name, b"")

    def app(self):
        """Returns the web application."""
        app = web.Application(client_max_size=8 << 20)
        for method, name, handler in (
            ("POST", "log-append", self.append),
            ("GET", "log-read", self.read),
            ("GET", "log-newest", self.newest),
            ("POST", "log-join", self.join),
            ("POST", "log-leave", self.leave),
        ):
            app.router.add_route(method, f"/api/{name}", self.guard(handler))
        return app

    def guard(self, handler):
        """Returns a handler that first runs ``before_call``."""

        async def handle(request):
            if self.before_call is not None:
                answer = await self.before_call(request)
                if answer is not None:
                    return answer
            return await handler(request)

        return handle

    async def append(self, request):
        """Appends all records of a call or none."""
        query = request.query
        part = self.part(query["topic"], query["part"])
        body = await request.read()
        async with part.lock:
            await asyncio.sleep(self.append_s)
            return self.append_now(part, query, body)

    def append_now(self, part, query, body):
        """Executes an append and returns its response."""
        if "at" in query and int(query["at"]) != part.end:
            return web.json_response({"end": part.end}, status=412)
        writer = None
        if "producer" in query:
            epoch, number = int(query["epoch"]), int(query["sequence"])
            writer = part.writers.get(query["producer"])
            if writer is not None and epoch < writer["epoch"]:
                return web.json_response({"reason": "fenced"}, status=409)
            if writer is None or epoch > writer["epoch"]:
                writer = {"epoch": epoch, "last": None, "answers": {}}
                part.writers[query["producer"]] = writer
            elif number in writer["answers"]:
                return web.json_response(writer["answers"][number])
            elif number != writer["last"] + 1:
                return web.json_response(
                    {"reason": "seq", "sequence": writer["last"] + 1},
                    status=409,
                )
        offset = part.end
        for record in split(body):
            part.add(record)
        answer = {"offset": offset, "end": part.end}
        if writer is not None:
            writer["last"] = number
            writer["answers"][number] = answer
            for old in sorted(writer["answers"])[:-KEPT_ANSWERS]:
                del writer["answers"][old]
        return web.json_response(answer)

    async def read(self, request):
        """Returns records from an offset on; may wait for the first one."""
        query = request.query
        part = self.part(query["topic"], query["part"])
        start = int(query["from"])
        wait_s = int(query.get("waitMs", 0)) / 1000
        if wait_s and start >= part.end:
            try:
                async with asyncio.timeout(wait_s):
                    await part.grown.wait()
            except TimeoutError:
                pass
        left = int(query.get("maxKb", 1024)) * 1024
        body = [OFFSETS.pack(part.end, 0)]
        for record in part.records[start:]:
            if len(body) > 1 and len(record) > left:
                break
            left -= len(record)
            body.append(LENGTH.pack(len(record)) + record)
        return web.Response(body=b"".join(body))

    async def newest(self, request):
        """Returns a page of the newest records, in order of their keys."""
        query = request.query
        part = self.part(query["topic"], query["part"])
        after = query.get("dependsOn", "")
        keys = sorted(key for key in part.newest if key > after)
        items = []
        for key in keys[:PAGE]:
            offset, value = part.newest[key]
            text = base64.b64encode(value).decode()
            items.append({"key": key, "value": text, "offset": offset})
        return web.json_response(
            {"items": items, "hasMore": len(keys) > PAGE, "end": part.end}
        )

    async def join(self, request):
        """Joins a group or stays in it; the oldest member gets all parts."""
        call = await request.json()
        now = time.monotonic()
        group = self.groups.setdefault(call["group"], {})
        for member, (_, until) in list(group.items()):
            if until < now:
                del group[member]
                self.generation += 1
        if call["member"] not in group:
            self.generation += 1
        since = group.get(call["member"], (now, 0))[0]
        group[call["member"]] = (since, now + call["ttlMs"] / 1000)
        rows = []
        if min(group, key=lambda member: group[member][0]) == call["member"]:
            rows = [
                [topic, n, 0] for topic in call["topics"] for n in range(8)
            ]
        return web.json_response(
            {"generation": self.generation, "parts": rows}
        )

    async def leave(self, request):
        """Leaves a group."""
        call = await request.json()
        group = self.groups.get(call["group"], {})
        if group.pop(call["member"], None) is not None:
            self.generation += 1
        return web.json_response({})
