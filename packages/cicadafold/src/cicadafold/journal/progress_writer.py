"""Fenced group commit of the progress of jobs by the scheduler."""

import asyncio

from cicadafold import exception
from cicadafold.journal import records
from cicadafold.telemetry import logs

__all__ = ["PARTITIONS", "ProgressWriter", "fence_partitions"]

# A new scheduler has to read all of them, so they are few.
PARTITIONS = 2
WRITER = "scheduler"
# Collects the ends of a moment into one append; each append is paid for.
BATCH_DELAY_S = 0.02
RETRY_PAUSE_S = 0.05
MAX_BATCH_JOBS = 400

LOG = logs.get_logger("progress")


async def fence_partitions(store, term):
    """Keeps writers of earlier terms from the progress of jobs.

    Raises:
        LogFenced: A later term has begun.
    """
    for partition in range(PARTITIONS):
        await retry_until_answered(
            lambda at=partition: store.append(
                records.PROGRESS_TOPIC, at, [], writer=(WRITER, term, 0)
            )
        )


async def retry_until_answered(call):
    """Repeats a call until it has an answer."""
    while True:
        try:
            return await call()
        except exception.LogOutOfSequence:
            return None
        except (exception.LogUnavailable, exception.LinkLost) as error:
            LOG.warning("The store is needed and fails: %s", error)
            await asyncio.sleep(RETRY_PAUSE_S)


class PartitionState:
    """One partition as this writer sees it.

    Attributes:
        sequence: Number of the last append that was tried.
        doubtful: Records of an append without an answer, or None.
    """

    def __init__(self):
        self.sequence = 0
        self.unconfirmed = None


class ProgressWriter:
    """Records the progress of changed jobs in batches.

    An append without an answer is repeated as it was, under its sequence
    number, before its partition is used again: the store then executes it
    once, however late. Meanwhile the next partition is used; the reader
    takes the highest version of a job.

    Args:
        store: Client of the store.
        term: Term of this scheduler.
        metrics: Where appends are counted.
        on_durable: Function called with the jobs of each durable batch,
            each with the state that was recorded.
    """

    def __init__(self, *, store, term, metrics, on_durable):
        self.store = store
        self.term = term
        self.metrics = metrics
        self.on_durable = on_durable
        self.version = 0
        self.changed = {}
        self.removed = []
        self.workers = None
        self.batch = 0
        self.durable_batch = 0
        self.batch_requested = asyncio.Event()
        self.batch_written = asyncio.Event()
        self.partitions = [PartitionState() for _ in range(PARTITIONS)]
        self.current_partition = 0

    def record_job(self, job):
        """Notes that a job has changed.

        Returns:
            Number of the batch that will hold the change.
        """
        self.changed[job.spec.id] = job
        self.batch_requested.set()
        return self.batch + 1

    def record_workers(self, workers):
        """Records the workers on which tasks may be started.

        Returns:
            Number of the batch that will hold the record.
        """
        self.version += 1
        self.workers = records.KnownWorkers(self.term, self.version, workers)
        self.batch_requested.set()
        return self.batch + 1

    def record_removal(self, job):
        """Forgets the progress of a job."""
        self.removed.append(job)
        self.batch_requested.set()

    async def run(self):
        """Records changes until a later term begins.

        Raises:
            LogFenced: A later term has begun.
        """
        while True:
            await self.batch_requested.wait()
            await asyncio.sleep(BATCH_DELAY_S)
            self.batch_requested.clear()
            jobs = list(self.changed.values())
            self.changed.clear()
            self.batch += 1
            # A job may change while its record is on the way.
            states = [(job, job.state) for job in jobs]
            await self.write_batch(jobs)
            self.durable_batch = self.batch
            self.on_durable(states)
            self.batch_written.set()
            self.batch_written.clear()

    async def write_batch(self, jobs):
        """Records a batch of jobs, in as many appends as it needs."""
        made = []
        for job in jobs:
            self.version += 1
            progress = records.progress_record(
                job, term=self.term, version=self.version
            )
            made.append((job.spec.id, records.encode(progress)))
        if self.workers is not None:
            entry = records.encode(self.workers)
            made.append((records.WORKERS_KEY, entry))
            self.workers = None
        made.extend((name, b"") for name in self.removed)
        self.removed.clear()
        for start in range(0, len(made), MAX_BATCH_JOBS):
            await self.append(made[start : start + MAX_BATCH_JOBS])

    async def append(self, made):
        """Appends records to the first partition that takes them."""
        while True:
            partition = self.partitions[self.current_partition]
            try:
                if partition.unconfirmed is not None:
                    await self.send_unconfirmed(partition)
                partition.sequence += 1
                partition.unconfirmed = made
                await self.send_unconfirmed(partition)
                return
            except exception.LogUnavailable as error:
                LOG.warning("Progress was not taken: %s", error)
            except exception.LinkLost as error:
                LOG.warning("Progress is in doubt: %s", error)
            self.current_partition = (self.current_partition + 1) % PARTITIONS
            await asyncio.sleep(RETRY_PAUSE_S)

    async def send_unconfirmed(self, partition):
        """Sends the lane's newest append until it is answered."""
        writer = (WRITER, self.term, partition.sequence)
        try:
            await self.store.append(
                records.PROGRESS_TOPIC,
                self.partitions.index(partition),
                partition.unconfirmed,
                writer=writer,
            )
        except exception.LogOutOfSequence as error:
            if error.expected <= partition.sequence:
                partition.sequence = error.expected - 1
                partition.unconfirmed = None
                raise exception.LogUnavailable(
                    message="The sequence was reset.",
                    remedy="The append is repeated.",
                ) from error
        partition.unconfirmed = None
