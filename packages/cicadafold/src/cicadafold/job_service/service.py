"""Job calls of the callers: submit, query and cancel jobs, count a queue."""

import asyncio
import collections

import msgspec

from cicadafold import clock
from cicadafold import exception
from cicadafold.job_service import gang_check
from cicadafold.job_service import unread_jobs
from cicadafold.journal import record_limits
from cicadafold.journal import records
from cicadafold.telemetry import logs

__all__ = ["JobService"]

US_PER_MS = 1000.0
# Accepted jobs that are remembered, as the scheduler may not know them yet.
REMEMBERED_JOBS = 2000
RETRY_PAUSE_S = 0.05
# Longest wait for one answer of the scheduler; the next try may reach the
# scheduler of a later term.
QUERY_TIMEOUT_S = 0.8
RELAY_TIMEOUT_S = 1.2
# The scheduler's process then waits for an append under way and its own.
SLOW_RELAY_TIMEOUT_S = 2.5
RETRY_AFTER_MS = 1000
# Share of the time of a cancellation in which the scheduler has to tell whose
# job it is; the rest is for the record.
RECORD_SHARE = 0.6

LOG = logs.get_logger("caller")


class AcceptedJob(msgspec.Struct):
    """A job that this process has accepted.

    Attributes:
        team: Name of its team, empty for none.
        recorded_ms: Monotonic time in milliseconds by which its newest
            record was durable.
    """

    team: str
    recorded_ms: float


class JobService:
    """Handles the callers' job calls on one entry host.

    Args:
        writer: ``AcceptWriter`` for journal records of accepted and
            cancelled jobs.
        relay_writer: ``AcceptWriter`` of the partitions for relayed records,
            used while this process runs the scheduler and the store is slow.
        scheduler: ``SchedulerClient`` of this process.
        isolated: Function that returns whether this process reaches neither
            the store nor the scheduler.
        store: Client of the store, which tells whether it is reachable and
            whether it is slow.
        metrics: Metrics of the process.
        cap_overage: Share of its cap by which a team may exceed it with a
            gang.
        limits: ``RecordLimits`` of the store.
        admission: ``HostAdmission``, which refuses jobs beyond the rate of
            their team; None in a process without teams.

    Attributes:
        accepted: ``AcceptedJob`` by identifier of the last jobs accepted
            here, oldest first.
    """

    def __init__(
        self,
        *,
        writer,
        relay_writer,
        scheduler,
        isolated,
        store,
        metrics,
        cap_overage=0.0,
        limits=record_limits.RecordLimits(),
        admission=None,
    ):
        self.limits = limits
        self.writer = writer
        self.relay_writer = relay_writer
        self.scheduler = scheduler
        self.isolated = isolated
        self.store = store
        self.metrics = metrics
        self.admission = admission
        self.accepted = collections.OrderedDict()
        self.gang_check = gang_check.GangCheck(
            cap_overage=cap_overage, metrics=metrics
        )

    async def submit(self, spec, *, deadline_s):
        """Accepts a job: makes its record durable, notifies the scheduler.

        Args:
            spec: Specification of the job.
            deadline_s: Event loop time in seconds at which the caller stops
                waiting.

        Raises:
            TooLarge: The store accepts no record of its size.
            NeverFits: The job has a gang that never fits its team's cap.
            Overloaded: The job was not accepted, as it is beyond the rate of
                its team.
            LogUnavailable: The job was not accepted and never will be.
            OutcomeUnknown: The job may have been accepted.
        """
        started_ms = clock.monotonic_ms()
        key, value = records.accept_record(spec)
        self.limits.check(key, value)
        await self.gang_check.check(
            spec, lambda: self.is_accepted(spec, deadline_s=deadline_s)
        )
        if self.admission is not None and spec.id not in self.accepted:
            await self.admission.check(spec, deadline_s=deadline_s)
        await self.record(key, value, deadline_s)
        self.remember_accepted(spec)
        await self.scheduler.notify_accepted(spec)
        took_ms = clock.monotonic_ms() - started_ms
        self.metrics.record_us("accept", took_ms * US_PER_MS, queue=spec.queue)
        LOG.info(
            "A job was accepted.",
            fields={
                "request_id": spec.id,
                "queue": spec.queue,
                "team": spec.team_name,
                "steps": len(spec.steps),
                "took_ms": round(took_ms),
            },
        )

    async def is_accepted(self, spec, *, deadline_s):
        """Whether a job is known to have been accepted.

        Args:
            spec: Specification of the job.
            deadline_s: Event loop time in seconds at which the caller stops
                waiting.

        Raises:
            Starting: The scheduler did not answer before the deadline.
        """
        state = await self.state(
            spec.id, team=spec.team_name, deadline_s=deadline_s
        )
        return state is not None

    async def record(self, key, value, deadline_s):
        """Writes a journal record.

        The record goes through the scheduler's process if this one does not
        reach the store. It does so too while the store is slow: a partition
        executes its appends one after another, so one process that gathers
        the records of all gets them recorded sooner than many.

        Args:
            key: Key of the record.
            value: Value of the record.
            deadline_s: Event loop time in seconds at which the caller stops
                waiting.

        Raises:
            LogUnavailable: The record is not stored and never will be.
            OutcomeUnknown: The record may be stored.
        """
        relays = self.store.slow and self.scheduler.remote_is_linked
        if not self.store.reachable:
            await self.relay(key, value, deadline_s, RELAY_TIMEOUT_S)
        elif relays:
            await self.relay(key, value, deadline_s, SLOW_RELAY_TIMEOUT_S)
        elif self.store.slow and self.scheduler.is_local:
            await self.relay_writer.write(key, value, deadline_s=deadline_s)
        else:
            await self.write_directly(key, value, deadline_s)

    async def write_directly(self, key, value, deadline_s):
        """Writes a journal record; relays it if the store has become slow.

        Raises:
            LogUnavailable: The record is not stored and never will be.
            OutcomeUnknown: The record may be stored.
        """
        try:
            await self.writer.write(key, value, deadline_s=deadline_s)
            return
        except exception.AppendSlow:
            self.metrics.count("appends_slow")
        try:
            await self.relay(key, value, deadline_s, SLOW_RELAY_TIMEOUT_S)
        except exception.LogUnavailable as error:
            # The append that timed out may still be executed.
            raise exception.OutcomeUnknown(
                message="The store did not confirm the record in time.",
                remedy="Send the request again with the same ID.",
            ) from error

    async def relay(self, key, value, deadline_s, timeout_s):
        """Writes a journal record through the scheduler's process.

        Args:
            key: Key of the record.
            value: Value of the record.
            deadline_s: Event loop time in seconds at which the caller stops
                waiting.
            timeout_s: Longest wait for the scheduler's process in seconds.

        Raises:
            LogUnavailable: The record is not stored and never will be.
            OutcomeUnknown: The record may be stored.
        """
        left_s = deadline_s - asyncio.get_running_loop().time()
        try:
            await self.scheduler.record(
                key, value, timeout_s=max(0.05, min(timeout_s, left_s))
            )
        except exception.LinkNotOpen as error:
            raise exception.LogUnavailable(
                message="Neither the store nor the scheduler is reachable.",
                remedy="Send the request again.",
                retry_after_ms=RETRY_AFTER_MS,
            ) from error
        except exception.LinkLost as error:
            raise exception.OutcomeUnknown(
                message="The scheduler's process did not confirm the record.",
                remedy="Send the request again with the same ID.",
            ) from error
        self.metrics.count("records_relayed")

    def remember_accepted(self, spec):
        """Remembers an accepted job until ``REMEMBERED_JOBS`` later ones.

        A job that is submitted again still belongs to its first team.
        """
        now_ms = clock.monotonic_ms()
        job = self.accepted.setdefault(
            spec.id, AcceptedJob(spec.team_name, now_ms)
        )
        job.recorded_ms = now_ms
        if len(self.accepted) > REMEMBERED_JOBS:
            self.accepted.popitem(last=False)

    async def state(self, job, *, team="", deadline_s):
        """Returns the state of a job, or None if the job is unknown.

        A job accepted here whose record the scheduler has not read yet is
        queued. A job of another team is unknown.

        Args:
            job: Identifier of the job.
            team: Name of the team that asks, empty for none.
            deadline_s: Event loop time in seconds at which the caller stops
                waiting.

        Raises:
            Starting: The scheduler did not answer before the deadline.
        """
        try:
            state = await self.retry_until_answered(
                lambda timeout_s: self.query_state(job, team, timeout_s),
                deadline_s,
            )
        except exception.UnknownRequest:
            return None
        return state

    async def query_state(self, job, team, timeout_s):
        """Asks the scheduler once for the state of a job.

        A job that the scheduler has forgotten is forgotten here too.

        Returns:
            The state, or None if the job is unknown.
        """
        recorded_ms = None
        if self.is_accepted_here(job, team):
            recorded_ms = self.accepted[job].recorded_ms
        state = await self.scheduler.state(
            job, team=team, recorded_ms=recorded_ms, timeout_s=timeout_s
        )
        if state is None and recorded_ms is not None:
            self.accepted.pop(job, None)
        return state

    def is_accepted_here(self, job, team):
        """Whether this process has accepted a job, as one of a team."""
        accepted = self.accepted.get(job)
        return accepted is not None and accepted.team == team

    async def pending(self, queue, *, deadline_s):
        """Returns how many jobs of a queue have not started.

        Args:
            queue: Name of the queue.
            deadline_s: Event loop time in seconds at which the caller stops
                waiting.

        Raises:
            Starting: The scheduler did not answer before the deadline.
        """
        return await self.retry_until_answered(
            lambda timeout_s: self.scheduler.pending(
                queue, timeout_s=timeout_s
            ),
            deadline_s,
        )

    async def cancel(self, job, *, team="", check_team=False, deadline_s):
        """Cancels a job: makes a cancel record durable, unless it has ended.

        If the scheduler does not answer, the job counts as known, unless its
        team has to be checked and this host has not accepted it.

        Args:
            job: Identifier of the job.
            team: Name of the team that cancels it, empty for none.
            check_team: Whether it may be a job of another team.
            deadline_s: Event loop time in seconds at which the caller stops
                waiting.

        Returns:
            Whether the job is known, and one of the team.

        Raises:
            Starting: The scheduler did not tell whose job it is.
            LogUnavailable: The cancellation was not recorded and never will
                be.
            OutcomeUnknown: The cancellation may be recorded.
        """
        accepted_here = self.is_accepted_here(job, team)
        loop = asyncio.get_running_loop()
        called_ms = clock.monotonic_ms()
        end_s = loop.time() + RECORD_SHARE * (deadline_s - loop.time())
        try:
            if check_team and not accepted_here:
                state = await self.state_before(job, team, end_s)
            else:
                state = await self.query_state(job, team, QUERY_TIMEOUT_S)
            if state is None and job not in self.accepted:
                state = await unread_jobs.wait_until_read(
                    lambda recorded_ms: self.scheduler.state(
                        job,
                        team=team,
                        recorded_ms=recorded_ms,
                        timeout_s=QUERY_TIMEOUT_S,
                    ),
                    called_ms=called_ms,
                    end_s=end_s,
                )
            known = state is not None
        except exception.UnknownRequest:
            return False
        except exception.CicadafoldError as error:
            if check_team and not accepted_here:
                raise
            LOG.debug(
                "The scheduler did not return a job's state: %s; the"
                " cancellation is recorded without it.",
                error,
            )
            known = True
            state = None
        if not known:
            return False
        if state is not None and state.final:
            return True
        key, value = records.cancel_record(job)
        await self.record(key, value, deadline_s)
        await self.scheduler.notify_cancelled(job)
        LOG.info("A cancellation was recorded.", fields={"request_id": job})
        return True

    async def state_before(self, job, team, end_s):
        """Returns the state of a job in time to record its cancellation.

        Raises:
            Starting: The scheduler did not answer by ``end_s``.
            UnknownRequest: It is a job of another team.
        """
        return await self.retry_until_answered(
            lambda timeout_s: self.query_state(job, team, timeout_s), end_s
        )

    async def retry_until_answered(self, query, deadline_s):
        """Repeats a query until the scheduler answers it.

        Args:
            query: Coroutine function that sends the query, given the
                seconds to wait.
            deadline_s: Event loop time in seconds at which the caller stops
                waiting.

        Raises:
            Starting: The deadline has passed, or this process reaches
                neither the store nor the scheduler.
        """
        loop = asyncio.get_running_loop()
        while True:
            left_s = deadline_s - loop.time()
            try:
                return await query(max(0.05, min(QUERY_TIMEOUT_S, left_s)))
            except (
                exception.LinkNotOpen,
                exception.LinkLost,
                exception.Starting,
            ) as error:
                expired = loop.time() + RETRY_PAUSE_S >= deadline_s
                if expired or self.isolated():
                    raise exception.Starting(
                        message="The scheduler does not answer.",
                        remedy="Send the request again.",
                        retry_after_ms=500,
                    ) from error
            await asyncio.sleep(RETRY_PAUSE_S)
