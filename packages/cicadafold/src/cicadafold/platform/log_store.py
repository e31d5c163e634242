"""Client of the platform's store: topics, keyed topics and groups."""

import base64
import json

import aiohttp
import msgspec
import yarl

from cicadafold import clock
from cicadafold import exception
from cicadafold.platform import record_codec

__all__ = [
    "AppendResult",
    "LogStore",
    "Membership",
    "NewestRecord",
    "ReadPage",
]

# The store drops a connection whose answer is lost; a healthy answer takes
# the append time and one round trip, at most a few tens of milliseconds.
CALL_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.8
READ_MARGIN_S = 1.0
# Time without a served call, while calls fail, after which the store is
# taken to be out of reach; joins come a few times in it.
UNREACHABLE_AFTER_MS = 1000.0
# Sooner, a scheduler asks its peers whether they are served.
FAILING_AFTER_MS = 250.0
JOIN_TIMEOUT_S = 0.7
# Wait for an append: some times the mean of the last ones, within bounds; a
# healthy one takes some tens of milliseconds, callers wait about 3 s.
APPEND_TIMEOUT_FACTOR = 4.0
MIN_APPEND_TIMEOUT_S = 0.8
MAX_APPEND_TIMEOUT_S = 2.4
APPEND_MEAN_WEIGHT = 0.3
MILLISECONDS = 1000
STATUS_OK = 200
STATUS_CONFLICT = 409
STATUS_GONE = 410
STATUS_PRECONDITION_FAILED = 412
# Refusals after which nothing was done, by the platform's rules.
STATUS_REFUSED = (400, 403, 429, 503, 507)
JSON_TYPE = {"Content-Type": "application/json"}

TRANSPORT_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


class AppendResult(msgspec.Struct, frozen=True):
    """Where an append went: offset of the first record, and the end."""

    offset: int
    end: int


class ReadPage(msgspec.Struct, frozen=True):
    """Records of a keyed topic from an offset on.

    Attributes:
        end: Offset at which the partition ends.
        entries: Pairs of key and value; no value drops the key.
    """

    end: int
    entries: list[tuple[str, bytes]]


class NewestRecord(msgspec.Struct, frozen=True):
    """The newest record of a key."""

    key: str
    value: bytes
    offset: int


class Membership(msgspec.Struct, frozen=True):
    """What a member of a group holds.

    Attributes:
        generation: Number of the group's last change.
        held: Topic and partition pairs that belong to the member.
    """

    generation: int
    assigned: list[tuple[str, int]]


class LogStore:
    """The platform's store over HTTP.

    Args:
        session: Client session, whose connections are kept open.
        address: IP number and port of the store.
        metrics: Where calls are counted.

    Attributes:
        failed_ms: Monotonic time of the last call that failed.
        answered_ms: Monotonic time of the last call that was served.
        failing_since_ms: Monotonic time at which the first call began that
            failed after the last one served.
        append_ms: Mean duration of the last appends.
    """

    def __init__(self, *, session, address, metrics):
        self.session = session
        self.base = f"http://{address}/api/"
        self.metrics = metrics
        self.last_failed_ms = -1e12
        self.failing_since_ms = -1e12
        self.mean_append_ms = 0.0
        self.last_served_ms = clock.monotonic_ms()

    async def append(
        self,
        topic,
        partition,
        entries,
        *,
        at=None,
        writer=None,
        timeout_s=None,
    ):
        """Appends entries to a keyed topic, all or none.

        Args:
            topic: Name of the topic.
            partition: Number of the partition.
            entries: Pairs of key and value; no value drops the key, and
                no entry at all only sets the writer's epoch.
            at: Offset at which the partition must end, or None.
            writer: Name, epoch and sequence of the writer, or None.
            timeout_s: Seconds to wait for the answer; None waits as long
                as the last appends suggest.

        Raises:
            LogUnavailable: Nothing was appended.
            LinkLost: The entries may have been appended, or may be later.
            LogFenced: A writer with a higher epoch has appended.
            LogEndMoved: The partition does not end at ``at``.
            LogOutOfSequence: The writer's last append was another one.
        """
        query = {"topic": topic, "part": partition}
        if at is not None:
            query["at"] = at
        if writer is not None:
            query["producer"], query["epoch"], query["sequence"] = writer
        begun_ms = clock.monotonic_ms()
        try:
            status, body = await self.call(
                "POST",
                "log-append",
                query=query,
                data=record_codec.encode_records(
                    record_codec.encode_keyed_record(key, value)
                    for key, value in entries
                ),
                timeout_s=timeout_s or self.append_timeout_s,
            )
        finally:
            took_ms = clock.monotonic_ms() - begun_ms
            self.mean_append_ms += APPEND_MEAN_WEIGHT * (
                took_ms - self.mean_append_ms
            )
        answer = parse_object(body)
        if status == STATUS_OK:
            return AppendResult(answer.get("offset", 0), answer.get("end", 0))
        if status == STATUS_PRECONDITION_FAILED:
            raise exception.LogEndMoved(end=int(answer.get("end", 0)))
        if status == STATUS_CONFLICT and answer.get("reason") == "fenced":
            raise exception.LogFenced(
                message="A newer writer has appended.",
                remedy="Stop writing as this writer.",
            )
        if status == STATUS_CONFLICT and answer.get("reason") == "seq":
            raise exception.LogOutOfSequence(
                expected=expected_sequence(answer)
            )
        raise unexpected("append", status)

    async def read(
        self,
        topic,
        partition,
        start,
        *,
        wait_ms=0,
        max_kb=1024,
        read_margin_s=READ_MARGIN_S,
    ):
        """Reads records from an offset on.

        Raises:
            LogUnavailable: The store did not answer.
            LogTrimmed: The records have been deleted.
        """
        query = {
            "topic": topic,
            "part": partition,
            "from": start,
            "maxKb": max_kb,
        }
        if wait_ms:
            query["waitMs"] = int(wait_ms)
        status, body = await self.call(
            "GET",
            "log-read",
            query=query,
            timeout_s=wait_ms / MILLISECONDS + read_margin_s,
        )
        if status == STATUS_OK:
            end, _, found = record_codec.decode_records(body)
            return ReadPage(
                end, [record_codec.decode_keyed_record(item) for item in found]
            )
        if status == STATUS_GONE:
            raise exception.LogTrimmed()
        raise unexpected("read", status)

    async def newest(self, topic, partition):
        """Reads the newest record of each key of a partition.

        Returns:
            The records, and the offset from which a tail goes on.

        Raises:
            LogUnavailable: The store did not answer.
        """
        records = []
        resume = None
        query = {"topic": topic, "part": partition}
        while True:
            status, body = await self.call("GET", "log-newest", query=query)
            if status != STATUS_OK:
                raise unexpected("read of the newest records", status)
            answer = parse_object(body)
            # Pages are no snapshot: the tail starts at the first one's end.
            if resume is None:
                resume = int(answer.get("end", 0))
            items = answer.get("items") or []
            records.extend(filter(None, map(newest_record, items)))
            if not answer.get("hasMore") or not items:
                return records, resume
            # The field names the key after which the next page begins.
            query["dependsOn"] = items[-1]["key"]

    async def join(self, group, member, topic, *, ttl_ms, generation):
        """Joins a group, or stays in it, and returns the membership."""
        message = {
            "group": group,
            "member": member,
            "topics": [topic],
            "ttlMs": ttl_ms,
            "generation": generation,
        }
        status, body = await self.call(
            "POST", "log-join", message=message, timeout_s=JOIN_TIMEOUT_S
        )
        if status != STATUS_OK:
            raise unexpected("join", status)
        answer = parse_object(body)
        rows = answer.get("parts") or []
        return Membership(
            int(answer.get("generation", 0)),
            [(row[0], int(row[1])) for row in rows],
        )

    async def leave(self, group, member):
        """Leaves a group, so that others need not wait."""
        message = {"group": group, "member": member}
        status, _ = await self.call("POST", "log-leave", message=message)
        if status != STATUS_OK:
            raise unexpected("leave", status)

    async def call(
        self,
        method,
        name,
        *,
        query=None,
        message=None,
        data=None,
        timeout_s=CALL_TIMEOUT_S,
    ):
        """Makes a call and returns status and body.

        Raises:
            LogUnavailable: The store refused, or nothing was sent.
            LinkLost: The call may have been executed.
        """
        headers = None
        if message is not None:
            data = msgspec.json.encode(message)
            headers = JSON_TYPE
        url = yarl.URL(self.base + name)
        if query:
            url = url.with_query(query)
        timeout = aiohttp.ClientTimeout(
            total=timeout_s, connect=CONNECT_TIMEOUT_S
        )
        begun_ms = clock.monotonic_ms()
        self.metrics.count("store_calls", call=name)
        try:
            async with self.session.request(
                method, url, data=data, headers=headers, timeout=timeout
            ) as answer:
                body = await answer.read()
                status = answer.status
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            self.record_failure(name, begun_ms)
            raise unavailable(name, repr(error)) from error
        except TRANSPORT_ERRORS as error:
            self.record_failure(name, begun_ms)
            raise exception.LinkLost(
                message=f"The store's answer to {name} was lost: {error!r}.",
                remedy="Repeat the call; records carry their keys.",
            ) from error
        if status in STATUS_REFUSED:
            self.record_failure(name, begun_ms)
            raise unavailable(name, f"status {status}")
        self.last_served_ms = clock.monotonic_ms()
        return status, body

    @property
    def append_timeout_s(self):
        """Seconds to wait for an append.

        An append that is given up is executed all the same, and its
        repetition makes a slow store slower; so a slow store is waited for.
        """
        wanted_s = APPEND_TIMEOUT_FACTOR * self.mean_append_ms / MILLISECONDS
        return min(MAX_APPEND_TIMEOUT_S, max(MIN_APPEND_TIMEOUT_S, wanted_s))

    @property
    def since_served_ms(self):
        """Time since the last served call, in milliseconds."""
        return clock.monotonic_ms() - self.last_served_ms

    @property
    def failing(self):
        """Whether the last call failed and none was served for a while."""
        return (
            self.last_failed_ms > self.last_served_ms
            and self.since_served_ms > FAILING_AFTER_MS
        )

    @property
    def reachable(self):
        """Whether the store serves this process, as far as known."""
        if self.last_failed_ms < self.last_served_ms:
            return True
        return self.since_served_ms < UNREACHABLE_AFTER_MS

    def record_failure(self, name, begun_ms):
        """Notes that the store did not do what was asked."""
        if self.last_failed_ms < self.last_served_ms:
            self.failing_since_ms = begun_ms
        self.last_failed_ms = clock.monotonic_ms()
        self.metrics.count("store_failures", call=name)


def parse_object(body):
    """Returns the JSON object of a body, or an empty one if unreadable."""
    try:
        found = json.loads(body)
    except ValueError:
        return {}
    return found if isinstance(found, dict) else {}


def expected_sequence(answer):
    """Returns the sequence number that a refusal names, or -1."""
    for name in ("sequence", "expected", "seq"):
        if isinstance(answer.get(name), int):
            return answer[name]
    return -1


def newest_record(item):
    """Decodes an item of a list of newest records, None if damaged."""
    try:
        return NewestRecord(
            item["key"],
            base64.b64decode(item["value"]),
            int(item.get("offset", 0)),
        )
    except (KeyError, TypeError, ValueError):
        return None


def unavailable(name, reason):
    """Returns the error of a call that had no effect."""
    return exception.LogUnavailable(
        message=f"The store did not take {name}: {reason}.",
        remedy="Try again after a pause.",
    )


def unexpected(what, status):
    """Returns the error of an answer that no page describes."""
    return exception.LogUnavailable(
        message=f"The {what} was answered with status {status}.",
        remedy="Check the store's version.",
    )
