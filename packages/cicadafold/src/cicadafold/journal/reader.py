"""Reads the record of all jobs when a scheduler begins its term."""

import asyncio

import msgspec

from cicadafold import exception
from cicadafold.journal import accept_writer
from cicadafold.journal import progress_writer
from cicadafold.journal import records
from cicadafold.telemetry import logs

__all__ = ["JobsTail", "JournalState", "read_journal"]

RETRY_PAUSE_S = 0.1
# Hosts tell the scheduler what they accept; the tail finds what got lost on
# the way. Each read is paid for.
TAIL_PAUSE_S = 0.35

LOG = logs.get_logger("journal")


class JournalState(msgspec.Struct):
    """What the journal holds of all jobs.

    Attributes:
        specs: Accepted jobs by identifier.
        cancelled: Identifiers of cancelled jobs.
        progress: Newest progress by identifier.
        offsets: Where the tail of each partition goes on.
        homes: Partitions in which records of a job lie.
        workers: Workers that the newest recorded term knew, or None.
    """

    specs: dict
    cancelled: set
    progress: dict
    offsets: dict
    partitions: dict
    workers: records.KnownWorkers | None = None

    def apply(self, partition, key, value):
        """Takes a record of the jobs topic.

        Returns:
            The job's identifier if it is new to this state, else None.
        """
        cancelling, job = records.parse_key(key)
        if not value:
            self.partitions.pop(job, None)
            return None
        self.partitions.setdefault(job, set()).add(partition)
        if cancelling:
            known = job in self.cancelled
            self.cancelled.add(job)
            return None if known else job
        if job in self.specs:
            return None
        try:
            self.specs[job] = records.decode_spec(value)
        except msgspec.MsgspecError as error:
            LOG.warning(
                "A job's record is damaged: %s",
                error,
                fields={"request_id": job, "partition": partition},
            )
            return None
        return job

    def remove_job(self, job):
        """Forgets an ended job."""
        self.specs.pop(job, None)
        self.cancelled.discard(job)
        self.progress.pop(job, None)
        self.partitions.pop(job, None)


async def read_journal(store):
    """Reads all partitions to their ends."""
    state = JournalState({}, set(), {}, {}, {})
    async with asyncio.TaskGroup() as group:
        for partition in range(accept_writer.PARTITIONS):
            group.create_task(read_jobs(store, partition, state))
        for partition in range(progress_writer.PARTITIONS):
            group.create_task(read_progress(store, partition, state))
    return state


async def read_newest(store, topic, partition):
    """Reads the newest records, again until the store answers."""
    while True:
        try:
            return await store.newest(topic, partition)
        except (exception.LogUnavailable, exception.LinkLost) as error:
            LOG.warning(
                "The journal cannot be read yet: %s",
                error,
                fields={"topic": topic, "partition": partition},
            )
            await asyncio.sleep(RETRY_PAUSE_S)


async def read_jobs(store, partition, state):
    """Reads one partition of accepted and cancelled jobs."""
    found, resume = await read_newest(store, records.JOBS_TOPIC, partition)
    for record in found:
        state.apply(partition, record.key, record.value)
    state.offsets[partition] = resume


async def read_progress(store, partition, state):
    """Reads one partition of progress; the highest version holds."""
    topic = records.PROGRESS_TOPIC
    found, _ = await read_newest(store, topic, partition)
    for record in found:
        if not record.value:
            continue
        if record.key == records.WORKERS_KEY:
            apply_workers(state, record.value)
            continue
        try:
            progress = records.decode_progress(record.value)
        except msgspec.MsgspecError as error:
            LOG.warning(
                "A job's progress is damaged: %s",
                error,
                fields={"request_id": record.key},
            )
            continue
        known = state.progress.get(record.key)
        mine = (progress.term, progress.version)
        if known is None or (known.term, known.version) < mine:
            state.progress[record.key] = progress


def apply_workers(state, value):
    """Takes the record of the known workers if it is the newest."""
    try:
        found = records.decode_workers(value)
    except msgspec.MsgspecError as error:
        LOG.warning("The record of the workers is damaged: %s", error)
        return
    known = state.workers
    age = (found.term, found.version)
    if known is None or (known.term, known.version) < age:
        state.workers = found


class JobsTail:
    """Follows one partition of accepted and cancelled jobs.

    Args:
        store: Client of the store.
        partition: Number of the partition.
        state: Journal state, which takes the records.
        on_job: Function called with the identifier of each changed job.

    Attributes:
        read_at_s: Loop time of the last answer.
        whole_from_s: Loop time at which the last read began that came to
            the end of the partition.
    """

    def __init__(self, *, store, partition, state, on_job):
        self.store = store
        self.partition = partition
        self.state = state
        self.on_job = on_job
        self.read_at_s = asyncio.get_running_loop().time()
        self.complete_until_s = 0.0
        self.failing = False

    async def run(self):
        """Reads new records for as long as the term lasts."""
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

    def track_read_error(self, error):
        """Logs that the partition was lost or regained."""
        if (error is not None) == self.failing:
            return
        self.failing = error is not None
        if self.failing:
            LOG.warning(
                "New jobs cannot be read: %s",
                error,
                fields={"partition": self.partition},
            )
        else:
            LOG.info(
                "New jobs are read again.",
                fields={"partition": self.partition},
            )

    async def read_once(self):
        """Reads what has come since the last read."""
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        page = await self.store.read(
            records.JOBS_TOPIC,
            self.partition,
            self.state.offsets[self.partition],
        )
        self.read_at_s = loop.time()
        self.state.offsets[self.partition] += len(page.entries)
        for key, value in page.entries:
            self.apply(key, value)
        if self.state.offsets[self.partition] >= page.end:
            self.complete_until_s = begun_s

    async def reload(self):
        """Reads the newest records after the history was deleted."""
        LOG.warning(
            "The history of new jobs is gone; their newest records are read.",
            fields={"partition": self.partition},
        )
        found, resume = await read_newest(
            self.store, records.JOBS_TOPIC, self.partition
        )
        for record in found:
            self.apply(record.key, record.value)
        self.state.offsets[self.partition] = resume

    def apply(self, key, value):
        """Hands on the job of a new record."""
        job = self.state.apply(self.partition, key, value)
        if job is not None:
            self.on_job(job)
