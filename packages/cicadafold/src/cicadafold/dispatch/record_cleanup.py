"""Drops journal records that are no longer needed.

The specification of a job is dropped as soon as its end is recorded, so that
a new scheduler has less to read. The record of the end is kept for as long as
callers may ask for it.
"""

import asyncio

from cicadafold import clock
from cicadafold import exception
from cicadafold.journal import records
from cicadafold.telemetry import logs

__all__ = ["RecordCleaner"]

PERIOD_S = 1.0
# Ends are kept for this many times the promised period, so that a request
# that is repeated after the end of its job still finds the record.
END_KEPT_FACTOR = 1.5
MS_PER_S = 1000.0

LOG = logs.get_logger("journal")


class RecordCleaner:
    """Drops the specifications of ended jobs, and later their ends.

    Args:
        store: Client of the store.
        journal: Writer of job progress to the journal.
        status_s: Seconds for which callers may ask for the state of an ended
            job.
        on_end_dropped: Function called with the identifier of each job whose
            end is dropped.

    Attributes:
        kept_ms: Milliseconds for which an end is kept.
        partitions: Sets of journal partitions that hold records of a job, by
            identifier of the job.
        ended: Identifiers of jobs whose specification has to be dropped.
        ends: Monotonic times in milliseconds at which jobs were added, by
            identifier, oldest first.
    """

    def __init__(self, *, store, journal, status_s, on_end_dropped):
        self.store = store
        self.journal = journal
        self.on_end_dropped = on_end_dropped
        self.kept_ms = status_s * MS_PER_S * END_KEPT_FACTOR
        self.partitions = {}
        self.ended = set()
        self.ends = {}

    def add(self, job):
        """Schedules the records of a job for dropping.

        Args:
            job: Identifier of a job whose end is recorded.
        """
        self.ended.add(job)
        self.ends.setdefault(job, clock.monotonic_ms())

    async def run(self):
        """Drops records every ``PERIOD_S`` seconds until the term ends."""
        while True:
            await asyncio.sleep(PERIOD_S)
            self.drop_ends(clock.monotonic_ms())
            by_partition = {}
            for job in self.ended:
                for partition in self.partitions.get(job, ()):
                    by_partition.setdefault(partition, set()).add(job)
            for partition, jobs in by_partition.items():
                await self.drop(partition, jobs)

    def drop_ends(self, now_ms):
        """Drops the ends that have been kept long enough."""
        for job, ended_ms in list(self.ends.items()):
            if now_ms - ended_ms < self.kept_ms:
                return
            del self.ends[job]
            self.ended.discard(job)
            self.journal.record_removal(job)
            self.on_end_dropped(job)

    async def drop(self, partition, jobs):
        """Drops the specifications of jobs from one partition.

        If the store cannot be reached, the next round tries again.

        Args:
            partition: Number of the journal partition.
            jobs: Identifiers of the jobs.
        """
        entries = [(key, b"") for job in jobs for key in records.job_keys(job)]
        try:
            await self.store.append(records.JOBS_TOPIC, partition, entries)
        except (exception.LogUnavailable, exception.LinkLost) as error:
            LOG.debug("Could not drop job records, retrying: %s", error)
            return
        self.ended -= jobs
