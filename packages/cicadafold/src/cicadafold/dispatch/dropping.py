"""Drops records that are not needed any more.

The description of a job is dropped once its end is recorded, which keeps
short what a new scheduler has to read. The end itself is kept for as long as
callers may ask for it.
"""

import asyncio

from cicadafold import clock
from cicadafold import exception
from cicadafold.journal import records
from cicadafold.telemetry import logs

__all__ = ["RecordDropper"]

PERIOD_S = 1.0
# A request that comes again after the end of its job, seconds later, still
# finds the record of the end.
END_KEPT_FACTOR = 1.5
MILLISECONDS = 1000.0

LOG = logs.get_logger("journal")


class RecordDropper:
    """Drops descriptions of ended jobs, and later their ends.

    Args:
        store: Client of the store.
        journal: Writer of progress.
        status_s: Seconds for which the state of an ended job is kept.
        forget: Function called with each job whose end is dropped.

    Attributes:
        homes: Partitions in which the records of a job lie.
    """

    def __init__(self, *, store, journal, status_s, forget):
        self.store = store
        self.journal = journal
        self.forget = forget
        self.kept_ms = status_s * MILLISECONDS * END_KEPT_FACTOR
        self.homes = {}
        self.ended = set()
        self.ends = {}

    def add(self, job):
        """Takes a job whose end is recorded."""
        self.ended.add(job)
        self.ends.setdefault(job, clock.monotonic_ms())

    async def run(self):
        """Drops records for as long as the term lasts."""
        while True:
            await asyncio.sleep(PERIOD_S)
            self.drop_ends(clock.monotonic_ms())
            by_partition = {}
            for job in self.ended:
                for partition in self.homes.get(job, ()):
                    by_partition.setdefault(partition, set()).add(job)
            for partition, jobs in by_partition.items():
                await self.drop(partition, jobs)

    def drop_ends(self, now_ms):
        """Drops ends that nobody asks for any more."""
        for job, ended_ms in list(self.ends.items()):
            if now_ms - ended_ms < self.kept_ms:
                return
            del self.ends[job]
            self.ended.discard(job)
            self.journal.record_removal(job)
            self.forget(job)

    async def drop(self, partition, jobs):
        """Drops the descriptions of jobs from one partition."""
        entries = [(key, b"") for job in jobs for key in records.job_keys(job)]
        try:
            await self.store.append(records.JOBS_TOPIC, partition, entries)
        except (exception.LogUnavailable, exception.LinkLost) as error:
            LOG.debug("Records were not dropped: %s", error)
            return
        self.ended -= jobs
