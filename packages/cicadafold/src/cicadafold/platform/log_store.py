"""HTTP client of the platform's store: keyed topics and groups."""

import aiohttp
import msgspec
import yarl

from cicadafold import clock
from cicadafold import exception
from cicadafold.platform import codec
from cicadafold.platform import newest_reading
from cicadafold.platform import store_answers

__all__ = ["LogStore"]

# The store drops a connection if the answer is lost. A healthy answer takes
# one append and one round trip, at most a few tens of milliseconds.
CALL_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.8
READ_MARGIN_S = 1.0
# Time without a served call after which a failing store is considered
# unreachable; a process joins its group a few times within it.
UNREACHABLE_AFTER_MS = 1000.0
# After this time the scheduler asks its peers whether the store serves them.
FAILING_AFTER_MS = 250.0
JOIN_TIMEOUT_S = 0.7
# The store counts as slow if its answers take longer than this on average.
# A healthy one answers the farthest process within some tens of milliseconds.
SLOW_ANSWER_MS = 120.0
ANSWER_MEAN_WEIGHT = 0.5
# A slow store fails only if it has served no call for this multiple of the
# mean duration of its answers.
SLOW_STORE_FACTOR = 4.0
# Timeout of an append: a multiple of the mean duration, within limits. A
# healthy append takes some tens of milliseconds; callers wait about 3 s.
APPEND_TIMEOUT_FACTOR = 4.0
MIN_APPEND_TIMEOUT_S = 0.8
MAX_APPEND_TIMEOUT_S = 2.4
APPEND_MEAN_WEIGHT = 0.3
# Longest time for the whole of an answer that may be large.
LONGEST_TRANSFER_S = 20.0
# The duration of larger answers depends on the links, and not on the store.
SMALL_ANSWER_BYTES = 16 * 1024
# No partition ends beyond this offset, so a read from it returns no records.
BEYOND_ANY_END = 1 << 40
MS_PER_S = 1000
STATUS_OK = 200
STATUS_CONFLICT = 409
STATUS_GONE = 410
STATUS_PRECONDITION_FAILED = 412
# With these statuses the platform guarantees that the call had no effect.
STATUS_REFUSED = (400, 403, 429, 503, 507)
JSON_TYPE = {"Content-Type": "application/json"}

TRANSPORT_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


class LogStore:
    """Calls the platform's store. Attributes hold times in milliseconds.

    Args:
        session: HTTP client session, which keeps its connections open.
        address: IP number and port of the store.
        metrics: Metrics that count the calls and their failures.

    Attributes:
        last_failed_ms: Monotonic time of the last call that failed.
        last_served_ms: Monotonic time at which the store is last known to
            have accepted a call that it served.
        failing_since_ms: Monotonic start time of the first call that failed
            after the last served one; the time of its failure if the store
            may have held its answer back.
        mean_append_ms: Moving average of the duration of an append.
        mean_answer_ms: Moving average of the duration of the calls that were
            served at once with a small answer.
    """

    def __init__(self, *, session, address, metrics):
        self.session = session
        self.base = f"http://{address}/api/"
        self.metrics = metrics
        self.last_failed_ms = -1e12
        self.failing_since_ms = -1e12
        self.mean_append_ms = 0.0
        self.mean_answer_ms = 0.0
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
        """Appends entries to a keyed topic, all or none of them.

        Args:
            topic: Name of the topic.
            partition: Number of the partition.
            entries: Pairs of key and value. An empty value deletes the
                key; no entry at all only sets the writer's epoch.
            at: Offset at which the partition must end, or None.
            writer: Name, epoch and sequence number of the writer, or None.
            timeout_s: Timeout; None means ``append_timeout_s``.

        Raises:
            LogUnavailable: Nothing was appended.
            LinkLost: The entries may have been appended, or still may be.
            LogFenced: A writer with a higher epoch has appended.
            LogEndMoved: The partition does not end at ``at``.
            LogOutOfSequence: The writer's last append was another one.
        """
        query = {"topic": topic, "part": partition}
        if at is not None:
            query["at"] = at
        if writer is not None:
            query["producer"], query["epoch"], query["sequence"] = writer
        started_ms = clock.monotonic_ms()
        try:
            status, body = await self.call(
                "POST",
                "log-append",
                query=query,
                data=codec.encode_records(
                    codec.encode_keyed(key, value) for key, value in entries
                ),
                timeout_s=timeout_s or self.append_timeout_s,
            )
        finally:
            duration_ms = clock.monotonic_ms() - started_ms
            self.mean_append_ms += APPEND_MEAN_WEIGHT * (
                duration_ms - self.mean_append_ms
            )
        if status == STATUS_OK:
            return store_answers.decode_appended(body)
        if status == STATUS_PRECONDITION_FAILED:
            raise exception.LogEndMoved(
                end=store_answers.decode_appended(body).end
            )
        answer = store_answers.parse_object(body)
        if status == STATUS_CONFLICT and answer.get("reason") == "fenced":
            raise exception.LogFenced(
                message="A newer writer has appended.",
                remedy="Stop writing as this writer.",
            )
        if status == STATUS_CONFLICT and answer.get("reason") == "seq":
            raise exception.LogOutOfSequence(
                expected=store_answers.expected_sequence(answer)
            )
        raise store_answers.unexpected_status_error("append", status)

    async def read(
        self,
        topic,
        partition,
        start,
        *,
        wait_ms=0,
        max_kb=1024,
        read_margin_s=READ_MARGIN_S,
        on_progress=None,
    ):
        """Reads records from an offset on, waiting ``wait_ms`` for the first.

        Args:
            topic: Name of the topic.
            partition: Number of the partition.
            start: Offset of the first record.
            wait_ms: Milliseconds for which the store waits for a record.
            max_kb: Size in kilobytes after which the store adds no further
                record; the first one is returned whatever its size.
            read_margin_s: Longest time in seconds, after ``wait_ms``, without
                a part of the answer.
            on_progress: Function called whenever a part of the answer has
                arrived, or None.

        Raises:
            LogUnavailable, LinkLost: The store did not serve the call.
            LogTrimmed: The store has deleted the records.
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
            timeout_s=wait_ms / MS_PER_S + read_margin_s,
            waits=wait_ms > 0,
            large=True,
            on_progress=on_progress,
        )
        if status == STATUS_OK:
            return store_answers.decode_page(body)
        if status == STATUS_GONE:
            raise exception.LogTrimmed()
        raise store_answers.unexpected_status_error("read", status)

    async def end(self, topic, partition, *, timeout_s):
        """Returns the offset at which a partition ends.

        The answer holds no records, however large the newest ones are.

        Raises:
            LogUnavailable, LinkLost: The store did not serve the call.
        """
        page = await self.read(
            topic, partition, BEYOND_ANY_END, read_margin_s=timeout_s
        )
        return page.end

    async def newest(self, topic, partition, *, on_progress=None):
        """Reads the newest record of each key of a partition.

        Args:
            topic: Name of the topic.
            partition: Number of the partition.
            on_progress: Function called whenever a part of an answer has
                arrived, or None.

        Returns:
            The records, and the offset from which to read on.

        Raises:
            LogUnavailable, LinkLost: The store did not serve the call.
        """
        reading = newest_reading.NewestReading(
            store=self,
            topic=topic,
            partition=partition,
            on_progress=on_progress,
        )
        return await reading.run()

    async def newest_page(self, topic, partition, after, *, on_progress=None):
        """Reads a page of the newest records of a partition.

        Args:
            topic: Name of the topic.
            partition: Number of the partition.
            after: Key after which the page starts, empty for the first one.
            on_progress: Function called whenever a part of the answer has
                arrived, or None.

        Returns:
            The ``NewestPage``.

        Raises:
            LogUnavailable, LinkLost: The store did not serve the call.
        """
        query = {"topic": topic, "part": partition}
        if after:
            # This is the name of the parameter in the store's API.
            query["dependsOn"] = after
        status, body = await self.call(
            "GET",
            "log-newest",
            query=query,
            large=True,
            on_progress=on_progress,
        )
        if status != STATUS_OK:
            raise store_answers.unexpected_status_error(
                "read of the newest records", status
            )
        return store_answers.decode_newest(body)

    async def join(self, group, member, topic, *, ttl_ms, generation):
        """Joins a group, or renews the membership, and returns it."""
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
            raise store_answers.unexpected_status_error("join", status)
        return store_answers.decode_membership(body)

    async def leave(self, group, member):
        """Leaves a group before its membership expires."""
        message = {"group": group, "member": member}
        status, _ = await self.call("POST", "log-leave", message=message)
        if status != STATUS_OK:
            raise store_answers.unexpected_status_error("leave", status)

    async def call(
        self,
        method,
        name,
        *,
        query=None,
        message=None,
        data=None,
        timeout_s=CALL_TIMEOUT_S,
        waits=False,
        large=False,
        on_progress=None,
    ):
        """Makes a call and returns the HTTP status and body of the answer.

        Args:
            method: HTTP method.
            name: Name of the call in the store's API.
            query: Fields of the query, or None.
            message: Body that is encoded as JSON, or None.
            data: Bytes of the body, or None.
            timeout_s: Longest time until the whole answer is read.
            waits: Whether the store may hold the answer back. The store has
                accepted such a call at its start; its answer does not show
                that later calls are served.
            large: Whether the answer may be large. ``timeout_s`` is then the
                longest time without a part of it, since the whole takes long
                over a narrow or shared link.
            on_progress: Function called whenever a part of the answer has
                arrived, or None.

        Raises:
            LogUnavailable: The call had no effect.
            LinkLost: The store may have executed the call.
        """
        headers = None
        if message is not None:
            data = msgspec.json.encode(message)
            headers = JSON_TYPE
        url = yarl.URL(self.base + name)
        if query:
            url = url.with_query(query)
        timeout = aiohttp.ClientTimeout(
            total=LONGEST_TRANSFER_S if large else timeout_s,
            connect=CONNECT_TIMEOUT_S,
            sock_read=timeout_s if large else None,
        )
        started_ms = clock.monotonic_ms()
        self.metrics.count("store_calls", call=name)
        answer = None
        try:
            async with self.session.request(
                method, url, data=data, headers=headers, timeout=timeout
            ) as answer:
                body = await read_body(answer, on_progress)
                status = answer.status
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            self.record_failure(name, started_ms, waits=waits)
            raise store_answers.unavailable_error(name, repr(error)) from error
        except TRANSPORT_ERRORS as error:
            self.record_failure(name, started_ms, waits=waits)
            received = 0 if answer is None else answer.content.total_bytes
            self.metrics.count("store_bytes_discarded", received, call=name)
            raise exception.LinkLost(
                message=f"The store did not answer {name} in full, "
                f"{received} bytes were received: {error!r}.",
                remedy="Repeat the call; records carry their keys.",
            ) from error
        if status in STATUS_REFUSED:
            self.record_failure(name, started_ms, waits=waits)
            raise store_answers.unavailable_error(name, f"status {status}")
        if waits:
            self.last_served_ms = max(self.last_served_ms, started_ms)
        else:
            self.last_served_ms = clock.monotonic_ms()
            if len(body) <= SMALL_ANSWER_BYTES:
                self.mean_answer_ms += ANSWER_MEAN_WEIGHT * (
                    self.last_served_ms - started_ms - self.mean_answer_ms
                )
        return status, body

    @property
    def append_timeout_s(self):
        """Seconds to wait for the answer to an append.

        The store executes an append even after its timeout, and repeated
        appends slow it down further; so a slow store gets a longer timeout.
        """
        wanted_s = APPEND_TIMEOUT_FACTOR * self.mean_append_ms / MS_PER_S
        return min(MAX_APPEND_TIMEOUT_S, max(MIN_APPEND_TIMEOUT_S, wanted_s))

    @property
    def since_served_ms(self):
        """Milliseconds since the last served call."""
        return clock.monotonic_ms() - self.last_served_ms

    @property
    def slow(self):
        """Whether the answers of the store take much longer than usual."""
        return self.mean_answer_ms > SLOW_ANSWER_MS

    @property
    def usual_gap_ms(self):
        """Milliseconds between two served calls that a slow store explains."""
        return SLOW_STORE_FACTOR * self.mean_answer_ms

    @property
    def failing(self):
        """Whether calls fail and none was served for ``FAILING_AFTER_MS``."""
        return (
            self.last_failed_ms > self.last_served_ms
            and self.since_served_ms > max(FAILING_AFTER_MS, self.usual_gap_ms)
        )

    @property
    def reachable(self):
        """Whether the store is believed to serve this process."""
        if self.last_failed_ms < self.last_served_ms:
            return True
        return self.since_served_ms < max(
            UNREACHABLE_AFTER_MS, self.usual_gap_ms
        )

    def record_failure(self, name, started_ms, *, waits=False):
        """Records the time of a failed call and counts it.

        Args:
            name: Name of the call.
            started_ms: Monotonic time of its start in milliseconds.
            waits: Whether the store may have held its answer back. Such a
                call may have started long before the store failed.
        """
        now_ms = clock.monotonic_ms()
        if self.last_failed_ms < self.last_served_ms:
            self.failing_since_ms = now_ms if waits else started_ms
        self.last_failed_ms = now_ms
        self.metrics.count("store_failures", call=name)


async def read_body(answer, on_progress):
    """Reads the body of an answer.

    Args:
        answer: The HTTP answer.
        on_progress: Function called whenever a part of it has arrived,
            unless the call was refused; or None.
    """
    if on_progress is None:
        return await answer.read()
    parts = []
    async for part in answer.content.iter_any():
        parts.append(part)
        if answer.status == STATUS_OK:
            on_progress()
    return b"".join(parts)
