"""What callers of jobs can do: submit, look, cancel, count."""

import asyncio
import collections

from cicadafold import clock
from cicadafold import exception
from cicadafold.jobs import model
from cicadafold.journal import records
from cicadafold.telemetry import logs

__all__ = ["JobService"]

MILLISECONDS = 1000.0
# Jobs accepted here that the scheduler may not have read yet.
REMEMBERED_JOBS = 2000
RETRY_PAUSE_S = 0.05
# Longest single wait for the scheduler; the next try may find a new one.
ASK_TIMEOUT_S = 0.8
RELAY_TIMEOUT_S = 1.2
RETRY_AFTER_MS = 1000

LOG = logs.get_logger("caller")


class JobService:
    """Serves callers of jobs on one entry host.

    Args:
        writer: Writer of acceptances and cancellings.
        scheduler: Client of the scheduler, with ``state`` and ``pending``.
        isolated: Function that tells whether this host reaches neither
            the store nor the scheduler.
        reachable: Function that tells whether this host reaches the store.
        metrics: Where calls are counted.
    """

    def __init__(self, *, writer, scheduler, isolated, reachable, metrics):
        self.writer = writer
        self.scheduler = scheduler
        self.isolated = isolated
        self.reachable = reachable
        self.metrics = metrics
        self.accepted = collections.OrderedDict()

    async def submit(self, spec, *, deadline_s):
        """Records a job.

        Args:
            spec: Description of the job.
            deadline_s: Loop time at which the caller stops waiting.

        Raises:
            LogUnavailable: The job was not accepted and never will be.
            OutcomeUnknown: The job may have been accepted.
        """
        begun_ms = clock.monotonic_ms()
        key, value = records.accept_record(spec)
        await self.record(key, value, deadline_s)
        self.remember_accepted(spec.id)
        await self.scheduler.notify_accepted(spec)
        took_ms = clock.monotonic_ms() - begun_ms
        self.metrics.record_us(
            "accept", took_ms * MILLISECONDS, queue=spec.queue
        )
        LOG.info(
            "A job is accepted.",
            fields={
                "request_id": spec.id,
                "queue": spec.queue,
                "steps": len(spec.steps),
                "took_ms": round(took_ms),
            },
        )

    async def record(self, key, value, deadline_s):
        """Writes a record, through the scheduler's host if need be.

        Raises:
            LogUnavailable: The record is not stored and never will be.
            OutcomeUnknown: The record may be stored.
        """
        if self.reachable():
            await self.writer.write(key, value, deadline_s=deadline_s)
            return
        left_s = deadline_s - asyncio.get_running_loop().time()
        try:
            await self.scheduler.record(
                key, value, timeout_s=min(RELAY_TIMEOUT_S, left_s)
            )
        except exception.LinkNotOpen as error:
            raise exception.LogUnavailable(
                message="Neither the store nor the scheduler is reached.",
                remedy="Send the request again.",
                retry_after_ms=RETRY_AFTER_MS,
            ) from error
        except exception.LinkLost as error:
            raise exception.OutcomeUnknown(
                message="The scheduler's host did not confirm the record.",
                remedy="Send the request again with the same ID.",
            ) from error
        self.metrics.count("records_relayed")

    def remember_accepted(self, job):
        """Keeps the identifier of an accepted job for a while."""
        self.accepted[job] = True
        if len(self.accepted) > REMEMBERED_JOBS:
            self.accepted.popitem(last=False)

    async def state(self, job, *, deadline_s):
        """Returns the state of a job, None if there is none.

        Raises:
            Starting: The scheduler did not answer in time.
        """
        found = await self.retry_until_answered(
            lambda timeout_s: self.scheduler.state(job, timeout_s=timeout_s),
            deadline_s,
        )
        if found is None and job in self.accepted:
            return model.JobState.QUEUED
        return found

    async def pending(self, queue, *, deadline_s):
        """Returns how many jobs of a queue have not started.

        Raises:
            Starting: The scheduler did not answer in time.
        """
        return await self.retry_until_answered(
            lambda timeout_s: self.scheduler.pending(
                queue, timeout_s=timeout_s
            ),
            deadline_s,
        )

    async def cancel(self, job, *, deadline_s):
        """Cancels a job.

        Returns:
            Whether there is such a job, as far as known.

        Raises:
            LogUnavailable: The cancelling is not recorded.
            OutcomeUnknown: The cancelling may be recorded.
        """
        try:
            found = await self.scheduler.state(job, timeout_s=ASK_TIMEOUT_S)
            known = found is not None or job in self.accepted
        except exception.CicadafoldError as error:
            LOG.debug("The scheduler did not answer: %s", error)
            known = True
            found = None
        if not known:
            return False
        if found is not None and found.final:
            return True
        key, value = records.cancel_record(job)
        await self.record(key, value, deadline_s)
        await self.scheduler.notify_cancelled(job)
        LOG.info("A cancelling is recorded.", fields={"request_id": job})
        return True

    async def retry_until_answered(self, ask, deadline_s):
        """Asks the scheduler until it answers or time is up."""
        loop = asyncio.get_running_loop()
        while True:
            left_s = deadline_s - loop.time()
            try:
                return await ask(max(0.05, min(ASK_TIMEOUT_S, left_s)))
            except (
                exception.LinkNotOpen,
                exception.LinkLost,
                exception.Starting,
            ) as error:
                late = loop.time() + RETRY_PAUSE_S >= deadline_s
                if late or self.isolated():
                    raise exception.Starting(
                        message="The scheduler does not answer.",
                        remedy="Ask again.",
                        retry_after_ms=500,
                    ) from error
            await asyncio.sleep(RETRY_PAUSE_S)
