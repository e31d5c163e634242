"""Stand-in for the platform's store: topics, keyed topics and groups.

Keeps all records in memory.
"""

import asyncio
import base64
import struct

from aiohttp import web

from cicadafold import clock

__all__ = ["FleetStore"]

RECORD_LENGTH = struct.Struct(">I")
OFFSETS = struct.Struct(">QQ")
PARTITIONS = 8
PAGE_SIZE = 500
MS_PER_S = 1000.0
KEPT_ANSWERS = 5
# An append is refused if appends that take longer than this are waiting.
LONGEST_APPEND_QUEUE_S = 2.0


class Partition:
    """One partition of a topic.

    Attributes:
        records: Retained records; the first of them has offset ``first``.
        first: Offset of the first retained record.
        newest: Offset and value of the newest record by key.
        writers: Epoch, newest sequence number and recent answers by writer.
        appended: Event set at the next append.
        appends: Number of append calls so far.
        free_at_s: Event loop time in seconds at which the appends that were
            sent so far have been executed.
    """

    def __init__(self):
        self.records = []
        self.first = 0
        self.newest = {}
        self.writers = {}
        self.appended = asyncio.Event()
        self.appends = 0
        self.free_at_s = 0.0

    @property
    def end(self):
        """Offset that the next record gets."""
        return self.first + len(self.records)

    def add(self, record):
        """Appends a record: size of its key in one byte, key, value.

        An empty value deletes the key.
        """
        size = record[0] if record else 0
        key = record[1 : 1 + size].decode()
        value = record[1 + size :]
        if value:
            self.newest[key] = (self.end, value)
        else:
            self.newest.pop(key, None)
        self.records.append(record)
        self.appended.set()
        self.appended = asyncio.Event()


class FleetStore:
    """The store, with faults that tests set as attributes.

    Args:
        append_delay_s: Duration of each append.

    Attributes:
        refusing: Whether all calls are answered with 503.
        silent: Whether calls get no answer and have no effect.
        lost_answers_left: Number of coming appends that take effect but
            whose answer is lost.
        refused_hosts: Addresses of callers whose calls are answered with 503.
        appends: Number of append calls so far.
        waiting_reads: Number of reads so far that waited for a record.
        answer_delay_s: Additional time until each call is executed.
        page_size: Most records in an answer with the newest records.
        page_delay_s: Additional time until such an answer is given.
        silent_partitions: Topics and numbers of the partitions whose reads of
            newest records get no answer.
    """

    def __init__(self, *, append_delay_s=0.002):
        self.append_delay_s = append_delay_s
        self.partitions = {}
        self.groups = {}
        self.generation = 0
        self.refusing = False
        self.silent = False
        self.lost_answers_left = 0
        self.refused_hosts = set()
        self.appends = 0
        self.waiting_reads = 0
        self.answer_delay_s = 0.0
        self.page_size = PAGE_SIZE
        self.page_delay_s = 0.0
        self.silent_partitions = set()

    def app(self):
        """Returns the application that serves the store."""
        app = web.Application(
            middlewares=[self.apply_faults], client_max_size=4 << 20
        )
        app.router.add_post("/api/log-append", self.append)
        app.router.add_get("/api/log-read", self.read)
        app.router.add_get("/api/log-newest", self.newest)
        app.router.add_post("/api/log-join", self.join)
        app.router.add_post("/api/log-leave", self.leave)
        return app

    @web.middleware
    async def apply_faults(self, request, handler):
        """Leaves calls unanswered or refuses them, as the faults require."""
        if self.silent:
            await asyncio.sleep(3600)
        if self.answer_delay_s:
            await asyncio.sleep(self.answer_delay_s)
        if self.refusing or request.remote in self.refused_hosts:
            return web.Response(status=503)
        return await handler(request)

    def partition(self, topic, number):
        """Returns a partition, which is created on first use."""
        return self.partitions.setdefault((topic, int(number)), Partition())

    def put(self, topic, key, value, part=0):
        """Appends a keyed record directly, as if another writer called."""
        name = key.encode()
        record = bytes((len(name),)) + name + value
        self.partition(topic, part).add(record)

    async def append(self, request):
        """Appends all records of a call, or none of them.

        A partition executes its appends one after another.

        A call with ``at`` is refused with 412 unless the partition ends at
        that offset.
        """
        query = request.query
        part = self.partition(query["topic"], query["part"])
        body = await request.read()
        now_s = asyncio.get_running_loop().time()
        part.appends += 1
        waiting_s = max(0.0, part.free_at_s - now_s)
        if waiting_s > LONGEST_APPEND_QUEUE_S:
            return web.Response(status=503)
        part.free_at_s = now_s + waiting_s + self.append_delay_s
        await asyncio.sleep(part.free_at_s - now_s)
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
            self.record_append(part, query, answer)
        if self.lost_answers_left > 0:
            self.lost_answers_left -= 1
            if request.transport is not None:
                request.transport.abort()
        return web.json_response(answer)

    def check_writer(self, part, query):
        """Checks the epoch and sequence number of an append.

        Returns:
            The response that refuses the append, the earlier answer if the
            append is a repetition, or None if it may be applied.
        """
        if "producer" not in query:
            return None
        epoch, sequence = int(query["epoch"]), int(query["sequence"])
        writer = part.writers.get(query["producer"])
        if writer is None or epoch > writer["epoch"]:
            return None
        if epoch < writer["epoch"]:
            return web.json_response({"reason": "fenced"}, status=409)
        if sequence in writer["answers"]:
            return writer["answers"][sequence]
        if sequence != writer["sequence"] + 1:
            body = {"reason": "seq", "sequence": writer["sequence"] + 1}
            return web.json_response(body, status=409)
        return None

    def record_append(self, part, query, answer):
        """Records the sequence number and answer of a writer's append."""
        if "producer" not in query:
            return
        epoch, sequence = int(query["epoch"]), int(query["sequence"])
        writer = part.writers.get(query["producer"])
        if writer is None or epoch > writer["epoch"]:
            writer = {"epoch": epoch, "answers": {}}
            part.writers[query["producer"]] = writer
        writer["sequence"] = sequence
        writer["answers"][sequence] = answer
        for old in sorted(writer["answers"])[:-KEPT_ANSWERS]:
            del writer["answers"][old]

    async def read(self, request):
        """Returns all records from an offset on.

        Waits for the next record, up to ``waitMs``, if there is none yet.
        Offsets that are no longer retained are refused with 410.
        """
        query = request.query
        part = self.partition(query["topic"], query["part"])
        start = int(query["from"])
        if start < part.first:
            return web.json_response({"first": part.first}, status=410)
        wait_s = int(query.get("waitMs", 0)) / MS_PER_S
        if wait_s and start >= part.end:
            self.waiting_reads += 1
            try:
                async with asyncio.timeout(wait_s):
                    await part.appended.wait()
            except TimeoutError:
                pass
        records = part.records[start - part.first :]
        body = OFFSETS.pack(part.end, part.first) + b"".join(
            RECORD_LENGTH.pack(len(record)) + record for record in records
        )
        return web.Response(body=body)

    async def newest(self, request):
        """Returns a page of the newest records by key, in order of keys.

        ``dependsOn`` is the key after which the page starts.
        """
        await asyncio.sleep(self.page_delay_s)
        query = request.query
        if (query["topic"], int(query["part"])) in self.silent_partitions:
            await asyncio.sleep(3600)
        part = self.partition(query["topic"], query["part"])
        after = query.get("dependsOn", "")
        keys = sorted(key for key in part.newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(part.newest[key][1]).decode(),
                "offset": part.newest[key][0],
            }
            for key in keys[: self.page_size]
        ]
        return web.json_response(
            {
                "items": items,
                "hasMore": len(keys) > self.page_size,
                "end": part.end,
            }
        )

    def compact(self, topic, part=0):
        """Deletes the history of a partition.

        The newest record of each key can still be read page by page.
        """
        partition = self.partition(topic, part)
        partition.first = partition.end
        partition.records = []

    async def join(self, request):
        """Joins a group, or renews the membership.

        All partitions are assigned to the oldest member.
        """
        message = await request.json()
        now_s = clock.monotonic_ms() / MS_PER_S
        group = self.groups.setdefault(message["group"], {})
        for member, (_, until_s) in list(group.items()):
            if until_s < now_s:
                del group[member]
                self.generation += 1
        if message["member"] not in group:
            self.generation += 1
        since_s = group.get(message["member"], (now_s, 0))[0]
        until_s = now_s + message["ttlMs"] / MS_PER_S
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
    """Yields the records in the body of an append call."""
    at = 0
    while at < len(body):
        (length,) = RECORD_LENGTH.unpack_from(body, at)
        at += RECORD_LENGTH.size
        yield body[at : at + length]
        at += length
