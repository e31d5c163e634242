"""Fenced group commit of job progress by the scheduler."""

import asyncio

from cicadafold import clock
from cicadafold import exception
from cicadafold.journal import record_limits
from cicadafold.journal import records
from cicadafold.journal import stored_records
from cicadafold.telemetry import containment
from cicadafold.telemetry import logs

__all__ = ["PARTITIONS", "ProgressWriter", "fence_partitions"]

# Few, since a new scheduler has to read all of them.
PARTITIONS = 2
WRITER = "scheduler"
# Gathers the changes of a short time in one append, as each append has a cost.
BATCH_DELAY_S = 0.02
RETRY_PAUSE_S = 0.05
# Pause after a deletion that the store did not confirm, as the next attempt
# holds up the batches behind it too.
DELETION_PAUSE_MS = 5000.0
MAX_ENTRIES_PER_APPEND = 400

LOG = logs.get_logger("progress")
Part = containment.Part


async def fence_partitions(store, term):
    """Fences off progress writers of earlier terms in all partitions.

    Retries until the store answers.

    Args:
        store: Client of the store.
        term: Term of this scheduler, used as the writer's epoch.

    Raises:
        LogFenced: A later term has fenced a partition.
    """
    await asyncio.gather(
        *(
            retry_until_answered(
                lambda at=partition: store.append(
                    records.PROGRESS_TOPIC, at, [], writer=(WRITER, term, 0)
                )
            )
            for partition in range(PARTITIONS)
        )
    )


async def retry_until_answered(call):
    """Calls a coroutine function until the store answers it.

    An answer that the sequence number is not the expected one counts, as the
    fence is then in place.

    Returns:
        The result of the call, or None after such an answer.
    """
    while True:
        try:
            return await call()
        except exception.LogOutOfSequence:
            return None
        except (exception.LogUnavailable, exception.LinkLost) as error:
            LOG.warning(
                "Fencing a journal partition failed and is retried: %s", error
            )
            await asyncio.sleep(RETRY_PAUSE_S)


class PartitionState:
    """State of the writer in one partition.

    Attributes:
        sequence: Sequence number of the last append that was tried.
        unconfirmed: Entries of that append if it is not confirmed, or None.
    """

    def __init__(self):
        self.sequence = 0
        self.unconfirmed = None


class ProgressWriter:
    """Appends the progress of changed jobs to the journal in batches.

    An append that got no answer is repeated unchanged and with the same
    sequence number before its partition is used for another one, so that the
    store executes it exactly once, however late. Until then the next
    partition is used. Readers keep the record of each job with the highest
    term and version.

    Args:
        store: Client of the store.
        term: Term of this scheduler.
        metrics: Metrics of the process, which also count contained errors.
        on_durable: Function called after each durable batch with a list of
            its jobs, each with the state that was recorded.
        limits: ``RecordLimits`` of the store.

    Attributes:
        version: Version of the last record of this term.
        changed: Jobs to record in the next batch, by identifier.
        removed: Identifiers of jobs whose progress is to be deleted.
        next_deletion_ms: Monotonic time in milliseconds before which nothing
            is deleted.
        workers: ``KnownWorkers`` to record in the next batch, or None.
        batch: Number of the batch written last or being written.
        durable_batch: Number of the last durable batch.
        batch_requested: Set while there is something to write.
        batch_written: Pulsed after each durable batch, to wake its waiters.
        partitions: ``PartitionState`` of each partition.
        current_partition: Number of the partition that is used now.
        stored: ``StoredRecords`` of the topic, those of earlier terms
            included.
    """

    def __init__(
        self,
        *,
        store,
        term,
        metrics,
        on_durable,
        limits=record_limits.RecordLimits(),
    ):
        self.limits = limits
        self.store = store
        self.term = term
        self.metrics = metrics
        self.containment = containment.Containment(metrics=metrics)
        self.on_durable = on_durable
        self.version = 0
        self.changed = {}
        self.removed = []
        self.next_deletion_ms = 0.0
        self.workers = None
        self.batch = 0
        self.durable_batch = 0
        self.batch_requested = asyncio.Event()
        self.batch_written = asyncio.Event()
        self.partitions = [PartitionState() for _ in range(PARTITIONS)]
        self.current_partition = 0
        self.stored = stored_records.StoredRecords()

    def record_job(self, job):
        """Requests that the progress of a job be recorded.

        Args:
            job: Job that has changed.

        Returns:
            Number of the batch that will contain the change.
        """
        self.changed[job.spec.id] = job
        self.batch_requested.set()
        return self.batch + 1

    def record_workers(self, workers):
        """Requests that the workers of this term be recorded.

        Args:
            workers: ``KnownWorker`` of each worker on which this term may
                start tasks, or on which tasks may still run.

        Returns:
            Number of the batch that will contain the record.
        """
        self.version += 1
        self.workers = records.KnownWorkers(self.term, self.version, workers)
        self.batch_requested.set()
        return self.batch + 1

    def record_removal(self, job):
        """Requests that the progress records of a job be deleted.

        Args:
            job: Identifier of the job.
        """
        self.removed.append(job)
        self.batch_requested.set()

    async def run(self):
        """Writes the requested batches until a later term starts.

        Raises:
            LogFenced: A later term has fenced the journal.
        """
        while True:
            await self.batch_requested.wait()
            await asyncio.sleep(BATCH_DELAY_S)
            self.batch_requested.clear()
            jobs = list(self.changed.values())
            self.changed.clear()
            self.batch += 1
            # A job may change again while its record is being written.
            states = [(job, job.state) for job in jobs]
            await self.write_batch(jobs)
            self.durable_batch = self.batch
            with self.containment.contain(Part.JOURNAL):
                self.on_durable(states)
            self.batch_written.set()
            self.batch_written.clear()
            if clock.monotonic_ms() >= self.next_deletion_ms:
                await self.delete_removed()

    async def write_batch(self, jobs):
        """Writes the records of a batch, in as many appends as it needs.

        Args:
            jobs: Changed jobs.
        """
        entries = []
        for job in jobs:
            self.version += 1
            entries.append(self.job_entry(job))
        if self.workers is not None:
            entries += records.workers_entries(self.workers, self.limits)
            self.workers = None
        # A record that is too large is refused, however often it is sent.
        fitting = [entry for entry in entries if self.limits.fits(*entry)]
        for key, value in entries:
            if not self.limits.fits(key, value):
                LOG.error(
                    "A record is too large for the store and is left out.",
                    fields={"key": key, "bytes": len(value)},
                )
        for group in self.limits.split(fitting, MAX_ENTRIES_PER_APPEND):
            await self.append(group)

    def job_entry(self, job):
        """Returns key and value of the record of a job's progress.

        If there is an unexpected error, the record holds which tasks are
        done, so that these are not started again.
        """
        try:
            entry, left_out = records.progress_entry(
                job, term=self.term, version=self.version, limits=self.limits
            )
        except Exception as error:
            job_id = job.spec.id
            self.containment.report(
                Part.JOURNAL, job_id, error, request_id=job_id
            )
            return records.done_entry(
                job, term=self.term, version=self.version
            )
        if left_out:
            self.metrics.count("progress_records_shortened")
            LOG.warning(
                "The progress of a job is too large for the store; parts of "
                "it are not recorded.",
                fields={"request_id": job.spec.id, "left_out": left_out},
            )
        return entry

    async def delete_removed(self):
        """Deletes the records of removed jobs, in every partition.

        The partition with the newest record of a job comes last, so that no
        older record is ever the only one. What the store does not confirm is
        tried again after ``DELETION_PAUSE_MS``.
        """
        jobs, self.removed = self.removed, []
        while jobs:
            by_partition = {}
            for job in jobs:
                places = self.stored.places(job)
                if places:
                    by_partition.setdefault(places[0][0], []).append(job)
            jobs = []
            for partition, found in by_partition.items():
                chunk = found[:MAX_ENTRIES_PER_APPEND]
                if await self.delete(partition, chunk):
                    jobs += found
                else:
                    self.removed += found
                    self.next_deletion_ms = (
                        clock.monotonic_ms() + DELETION_PAUSE_MS
                    )

    async def delete(self, partition, jobs):
        """Deletes the records of jobs in one partition.

        Args:
            partition: Number of the partition.
            jobs: Identifiers of the jobs.

        Returns:
            Whether the store has confirmed it.
        """
        try:
            await self.send(partition, [(job, b"") for job in jobs])
        except (exception.LogUnavailable, exception.LinkLost) as error:
            LOG.debug("Could not delete job progress, retrying: %s", error)
            return False
        for job in jobs:
            self.stored.discard(job, partition, job)
        return True

    async def send(self, number, entries):
        """Appends entries to one partition, after its unconfirmed append.

        Args:
            number: Number of the partition.
            entries: Pairs of key and value.

        Raises:
            LogUnavailable: The store did not execute the append.
            LinkLost: The store did not confirm it.
            LogFenced: A later term has fenced the partition.
        """
        partition = self.partitions[number]
        if partition.unconfirmed is not None:
            await self.send_unconfirmed(partition)
        partition.sequence += 1
        partition.unconfirmed = entries
        for key, value in entries:
            if value:
                self.stored.add(key, number, key)
        await self.send_unconfirmed(partition)

    async def append(self, entries):
        """Appends entries to the first partition that confirms them.

        Args:
            entries: Pairs of key and value.
        """
        while True:
            try:
                await self.send(self.current_partition, entries)
                return
            except exception.LogUnavailable as error:
                LOG.warning(
                    "The store did not accept an append of job progress, "
                    "which is retried in the next partition: %s",
                    error,
                )
            except exception.LinkLost as error:
                LOG.warning(
                    "The store did not confirm an append of job progress, "
                    "which is retried in the next partition: %s",
                    error,
                )
            self.current_partition = (self.current_partition + 1) % PARTITIONS
            await asyncio.sleep(RETRY_PAUSE_S)

    async def send_unconfirmed(self, partition):
        """Sends the unconfirmed append of a partition once.

        Raises:
            LogUnavailable: The store did not execute it, or the sequence of
                the partition had to be reset.
            LinkLost: The store did not confirm it.
            LogFenced: A later term has fenced the partition.
        """
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
                    message="The store expected an earlier sequence number.",
                    remedy="The append is repeated in another partition.",
                ) from error
        partition.unconfirmed = None
