"""Drops journal records that are no longer needed.

The specification of a job is dropped as soon as its end is recorded, so that
a new scheduler has less to read. The record of the end is kept for as long as
callers may ask for it.
"""

import asyncio

from cicadafold import clock
from cicadafold import exception
from cicadafold.journal import records
from cicadafold.telemetry import containment
from cicadafold.telemetry import logs

__all__ = ["RecordCleaner"]

PERIOD_S = 1.0
# Ends are kept for this many times the promised period, so that a request
# that is repeated after the end of its job still finds the record.
END_KEPT_FACTOR = 1.5
MS_PER_S = 1000.0

LOG = logs.get_logger("journal")
Part = containment.Part


class RecordCleaner:
    """Drops the specifications of ended jobs, and later their ends.

    A submission may be repeated at any time, and its record is then stored
    again. An end is dropped only when no partition holds such a record, so
    that nobody who reads the journal finds an ended job without its end.

    Args:
        store: Client of the store.
        journal: Writer of job progress to the journal.
        status_s: Seconds for which callers may ask for the state of an ended
            job.
        on_end_dropped: Function called with the identifier of each job whose
            end is dropped.
        containment: ``Containment`` of the term.

    Attributes:
        kept_ms: Milliseconds for which an end is kept after the newest
            record of its job was read.
        stored: ``StoredRecords`` of the jobs topic.
        has_read_up_to: Function that returns whether all job records that
            existed at a monotonic time, in milliseconds, have been read.
        pending: Keys that have to be deleted, by partition.
        ends: Monotonic times in milliseconds from which the ends are kept,
            by identifier of the job, oldest first.
        strays: Such times of cancellations whose job is not known.
    """

    def __init__(
        self, *, store, journal, status_s, on_end_dropped, containment
    ):
        self.containment = containment
        self.store = store
        self.journal = journal
        self.on_end_dropped = on_end_dropped
        self.kept_ms = status_s * MS_PER_S * END_KEPT_FACTOR
        self.stored = None
        self.has_read_up_to = None
        self.pending = {}
        self.ends = {}
        self.strays = {}

    def add(self, job):
        """Schedules the records of a job for dropping.

        Args:
            job: Identifier of a job whose end is recorded.
        """
        if job not in self.ends:
            self.ends[job] = clock.monotonic_ms()
            self.delete_records(job)

    def add_stray(self, job):
        """Schedules a cancellation for dropping whose job is not known.

        It is kept as long as an end: the record of the job may be stored
        late, and the job must not run then.

        Args:
            job: Identifier that no job in the journal has.
        """
        self.strays.setdefault(job, clock.monotonic_ms())

    def on_known(self, job):
        """Handles that the job of a cancellation has become known."""
        self.strays.pop(job, None)

    def on_stored(self, job, partition, key):
        """Handles a record that was read from the journal.

        If its job has ended, that was submitted or cancelled again. The
        record is dropped, and the end is kept for the whole time from now on.

        Args:
            job: Identifier of the job.
            partition: Partition that holds the record.
            key: Key of the record.
        """
        if job not in self.ends:
            return
        del self.ends[job]
        self.ends[job] = clock.monotonic_ms()
        self.pending.setdefault(partition, set()).add(key)

    async def run(self):
        """Drops records every ``PERIOD_S`` seconds until the term ends."""
        while True:
            await asyncio.sleep(PERIOD_S)
            now_ms = clock.monotonic_ms()
            self.drop_ends(now_ms)
            self.drop_strays(now_ms)
            for partition in list(self.pending):
                await self.drop(partition)

    def drop_ends(self, now_ms):
        """Drops the ends that have been kept long enough."""
        for job in self.kept_long_enough(self.ends, now_ms):
            if job in self.stored.keys:
                continue
            del self.ends[job]
            with self.containment.contain(Part.CLEANUP, job, request_id=job):
                self.journal.record_removal(job)
                self.on_end_dropped(job)

    def drop_strays(self, now_ms):
        """Drops the cancellations whose jobs have not become known."""
        for job in self.kept_long_enough(self.strays, now_ms):
            del self.strays[job]
            with self.containment.contain(Part.CLEANUP, job, request_id=job):
                self.delete_records(job)
                self.on_end_dropped(job)

    def kept_long_enough(self, since, now_ms):
        """Returns the jobs whose records may be dropped.

        Args:
            since: Monotonic times in milliseconds by job, oldest first.
            now_ms: Monotonic time in milliseconds.
        """
        found = []
        for job, since_ms in since.items():
            until_ms = since_ms + self.kept_ms
            if now_ms < until_ms or not self.has_read_up_to(until_ms):
                break
            found.append(job)
        return found

    def delete_records(self, job):
        """Schedules all records of a job for deletion."""
        for partition, key in self.stored.places(job):
            self.pending.setdefault(partition, set()).add(key)

    async def drop(self, partition):
        """Deletes the scheduled keys of one partition.

        If the store cannot be reached, the next round tries again.

        Args:
            partition: Number of the journal partition.
        """
        keys = self.pending.pop(partition)
        entries = [(key, b"") for key in sorted(keys)]
        try:
            await self.store.append(records.JOBS_TOPIC, partition, entries)
        except (exception.LogUnavailable, exception.LinkLost) as error:
            LOG.debug("Could not drop job records, retrying: %s", error)
            self.pending.setdefault(partition, set()).update(keys)
