"""Reads the journal at the start of a term, and then follows new jobs."""

import asyncio
import math

import msgspec

from cicadafold import exception
from cicadafold.jobs import spec_checks
from cicadafold.journal import accept_writer
from cicadafold.journal import progress_writer
from cicadafold.journal import records
from cicadafold.journal import stored_records
from cicadafold.platform import newest_reading
from cicadafold.telemetry import logs

__all__ = ["JobsTail", "JournalState", "read_journal"]

RETRY_PAUSE_S = 0.1
# Entry hosts notify the scheduler of the jobs that they accept; the tail finds
# those whose notification was lost. Each read has a cost.
TAIL_PAUSE_S = 0.35
MS_PER_S = 1000.0
# Skipped keys that are remembered, so that each is logged once.
MAX_ODD_KEYS = 1000
# A record may be one of a later term that has started meanwhile, but of none
# that is further ahead.
MAX_LATER_TERMS = 1000

LOG = logs.get_logger("journal")


class JournalState(msgspec.Struct):
    """Content of the journal, as far as it was read.

    Attributes:
        specs: ``JobSpec`` of each accepted job by its identifier.
        cancelled: Identifiers of cancelled jobs.
        progress: Newest ``JobProgress`` of each job by its identifier.
        offsets: Offset of the next record to read, by partition of the jobs
            topic.
        stored: ``StoredRecords`` of the jobs topic.
        stored_progress: ``StoredRecords`` of the progress topic.
        workers: Newest record of the workers, or None.
        complete_until_s: Event loop time in seconds before which all records
            that existed have been read.
        odd_keys: Topic, partition and key of records that were skipped.
    """

    specs: dict
    cancelled: set
    progress: dict
    offsets: dict
    stored: stored_records.StoredRecords
    stored_progress: stored_records.StoredRecords
    workers: records.KnownWorkers | None = None
    complete_until_s: float = 0.0
    odd_keys: set = msgspec.field(default_factory=set)

    def apply(self, partition, key, value):
        """Applies a record of the jobs topic.

        Args:
            partition: Partition that holds the record.
            key: Key of the record.
            value: Value of the record; empty if it deletes the key.

        Returns:
            Identifier of the job if it is newly accepted or newly cancelled,
            else None.
        """
        if not records.is_job_key(key):
            self.log_odd_key(records.JOBS_TOPIC, partition, key)
            return None
        cancelling, job = records.parse_key(key)
        if not value:
            self.stored.discard(job, partition, key)
            return None
        self.stored.add(job, partition, key)
        if cancelling:
            known = job in self.cancelled
            self.cancelled.add(job)
            return None if known else job
        if job in self.specs:
            return None
        try:
            spec = records.decode_spec(value)
            if spec.id != job:
                raise ValueError(f"it is one of the job {spec.id}")
            self.specs[job] = spec
        except ValueError as error:
            LOG.warning(
                "The record of an accepted job cannot be decoded and is "
                "skipped: %s",
                error,
                fields={"request_id": job, "partition": partition},
            )
            return None
        return job

    def log_odd_key(self, topic, partition, key):
        """Logs that a record has the key of no job and is skipped, once."""
        place = (topic, partition, key)
        if place in self.odd_keys:
            return
        if len(self.odd_keys) < MAX_ODD_KEYS:
            self.odd_keys.add(place)
        LOG.warning(
            "A record has a key that belongs to no job and is skipped.",
            fields={"topic": topic, "partition": partition, "key": key[:80]},
        )

    def remove_job(self, job):
        """Removes all that is known of a job that has ended."""
        self.specs.pop(job, None)
        self.cancelled.discard(job)
        self.progress.pop(job, None)


async def read_journal(store, *, term=math.inf, on_progress=None):
    """Reads all partitions of the journal to their ends.

    Args:
        store: Client of the store.
        term: Number of the term that reads it.
        on_progress: Function called whenever a part of an answer of the
            store has arrived, or None.

    Returns:
        The ``JournalState``.
    """
    state = JournalState(
        {},
        set(),
        {},
        {},
        stored_records.StoredRecords(),
        stored_records.StoredRecords(),
    )
    parts = []
    state.complete_until_s = asyncio.get_running_loop().time()
    async with asyncio.TaskGroup() as group:
        for partition in range(accept_writer.PARTITIONS):
            group.create_task(read_jobs(store, partition, state, on_progress))
        for partition in range(progress_writer.PARTITIONS):
            group.create_task(
                read_progress(
                    store,
                    partition,
                    state,
                    parts,
                    newest_term=term + MAX_LATER_TERMS,
                    on_progress=on_progress,
                )
            )
    state.workers = records.join_workers(parts)
    return state


async def read_newest(
    store, topic, partition, *, on_progress=None, follows=False
):
    """Reads the newest record of each key, until the store has answered.

    A call that fails is repeated; the pages read before are kept.

    Args:
        store: Client of the store.
        topic: Name of the topic.
        partition: Number of the partition.
        on_progress: Function called whenever a part of an answer has
            arrived, or None.
        follows: Whether records that are appended meanwhile are read too, as
            the store may delete them before the last page is read.

    Returns:
        The records, and the offset from which a tail continues.
    """
    reading = newest_reading.NewestReading(
        store=store,
        topic=topic,
        partition=partition,
        on_progress=on_progress,
        follows=follows,
    )
    while True:
        try:
            return await reading.run()
        except (exception.LogUnavailable, exception.LinkLost) as error:
            LOG.warning(
                "A journal partition cannot be read and is retried: %s",
                error,
                fields={
                    "topic": topic,
                    "partition": partition,
                    "records": len(reading.records),
                },
            )
            await asyncio.sleep(RETRY_PAUSE_S)


async def read_jobs(store, partition, state, on_progress):
    """Reads a partition of the jobs topic into a journal state."""
    found, resume = await read_newest(
        store,
        records.JOBS_TOPIC,
        partition,
        on_progress=on_progress,
        follows=True,
    )
    for record in found:
        state.apply(partition, record.key, record.value)
    state.offsets[partition] = resume


async def read_progress(
    store, partition, state, parts, *, newest_term, on_progress
):
    """Reads a partition of the progress topic into a journal state.

    Of the records of a job, in any partition, the one with the highest term
    and version is kept.

    Args:
        store: Client of the store.
        partition: Number of the partition.
        state: Journal state to update.
        parts: List to which the parts of records of the workers are added.
        newest_term: Records of later terms are skipped; they would hide
            those that the next terms write.
        on_progress: Function called whenever a part of an answer has
            arrived, or None.
    """
    topic = records.PROGRESS_TOPIC
    found, _ = await read_newest(
        store, topic, partition, on_progress=on_progress
    )
    for record in found:
        if not record.value:
            continue
        if records.is_workers_key(record.key):
            add_workers(parts, record.value, newest_term)
            continue
        if not spec_checks.is_job_id(record.key):
            state.log_odd_key(topic, partition, record.key)
            continue
        try:
            progress = records.decode_progress(record.value)
            check_term(progress, newest_term)
        except ValueError as error:
            LOG.warning(
                "The progress record of a job cannot be decoded and is "
                "skipped: %s",
                error,
                fields={"request_id": record.key},
            )
            continue
        known = state.progress.get(record.key)
        version = (progress.term, progress.version)
        newest = known is None or (known.term, known.version) < version
        state.stored_progress.add(
            record.key, partition, record.key, newest=newest
        )
        if newest:
            state.progress[record.key] = progress


def check_term(record, newest_term):
    """Checks that a record was written in a term that can have started.

    Raises:
        ValueError: It was not.
    """
    if not 0 <= record.term <= newest_term:
        raise ValueError(f"term {record.term} has not started")


def add_workers(parts, value, newest_term):
    """Adds a part of a record of the workers to the parts that were read.

    Args:
        parts: List of ``KnownWorkers``.
        value: Encoded ``KnownWorkers``.
        newest_term: A part of a later term is skipped.
    """
    try:
        part = records.decode_workers(value)
        check_term(part, newest_term)
        parts.append(part)
    except ValueError as error:
        LOG.warning(
            "The record of the workers cannot be decoded and is skipped: %s",
            error,
        )


class JobsTail:
    """Follows a partition of the jobs topic.

    Args:
        store: Client of the store.
        partition: Number of the partition.
        state: ``JournalState`` to which new records are applied.
        on_job: Function called with the identifier of each job that is new
            or newly cancelled, and the longest time in milliseconds for
            which its record can have existed.
        on_stored: Function called with job, partition and key of each record
            that the partition holds.

    Attributes:
        read_at_s: Event loop time in seconds of the last successful read.
        progress_at_s: Event loop time in seconds at which a part of an answer
            of the store has arrived last.
        complete_until_s: Event loop time in seconds at which the last read
            started that reached the end of the partition; all records that
            the partition held by then have been applied.
        failing: Whether the last read failed.
    """

    def __init__(self, *, store, partition, state, on_job, on_stored):
        self.store = store
        self.partition = partition
        self.state = state
        self.on_job = on_job
        self.on_stored = on_stored
        self.read_at_s = asyncio.get_running_loop().time()
        self.progress_at_s = self.read_at_s
        self.complete_until_s = state.complete_until_s
        self.failing = False

    async def run(self):
        """Reads and applies new records until cancelled."""
        while True:
            try:
                await self.read_once()
                self.track_read_error(None)
                await asyncio.sleep(TAIL_PAUSE_S)
            except exception.LogTrimmed:
                await self.reload()
            except (exception.LogUnavailable, exception.LinkLost) as error:
                self.track_read_error(error)
                await asyncio.sleep(RETRY_PAUSE_S)

    def record_progress(self):
        """Records that a part of an answer of the store has arrived."""
        self.progress_at_s = asyncio.get_running_loop().time()

    def track_read_error(self, error):
        """Logs when reads start to fail and when they succeed again.

        Args:
            error: Error of the last read, or None if it succeeded.
        """
        if (error is not None) == self.failing:
            return
        self.failing = error is not None
        if self.failing:
            LOG.warning(
                "New jobs of a journal partition cannot be read and are "
                "retried: %s",
                error,
                fields={"partition": self.partition},
            )
        else:
            LOG.info(
                "New jobs of a journal partition can be read again.",
                fields={"partition": self.partition},
            )

    async def read_once(self):
        """Reads and applies the records appended since the last read."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        complete_until_s = self.complete_until_s
        page = await self.store.read(
            records.JOBS_TOPIC,
            self.partition,
            self.state.offsets[self.partition],
            on_progress=self.record_progress,
        )
        self.read_at_s = loop.time()
        self.state.offsets[self.partition] += len(page.entries)
        for key, value in page.entries:
            self.apply(key, value, complete_until_s)
        if self.state.offsets[self.partition] >= page.end:
            self.complete_until_s = started_s

    async def reload(self):
        """Reads the newest record of each key instead of the next records.

        Needed when the store has deleted records before they were read.
        """
        LOG.warning(
            "Unread records of new jobs were deleted by the store; the "
            "newest record of each key is read instead.",
            fields={"partition": self.partition},
        )
        found, resume = await read_newest(
            self.store,
            records.JOBS_TOPIC,
            self.partition,
            on_progress=self.record_progress,
            follows=True,
        )
        self.state.stored.discard_partition(self.partition)
        for record in found:
            self.apply(record.key, record.value, 0.0)
        self.state.offsets[self.partition] = resume

    def apply(self, key, value, complete_until_s):
        """Applies a record and reports its job if that has changed.

        Args:
            key: Key of the record.
            value: Value of the record.
            complete_until_s: Event loop time in seconds before which the
                record was not in the partition, or 0 if none is known.
        """
        job = self.state.apply(self.partition, key, value)
        if value and records.is_job_key(key):
            self.on_stored(records.parse_key(key)[1], self.partition, key)
        if job is None:
            return
        max_age_ms = math.inf
        if complete_until_s:
            now_s = asyncio.get_running_loop().time()
            max_age_ms = (now_s - complete_until_s) * MS_PER_S
        self.on_job(job, max_age_ms)
