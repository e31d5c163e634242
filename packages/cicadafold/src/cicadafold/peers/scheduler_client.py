"""Client of the scheduler, and the handlers of messages between processes.

The handlers run in the process that receives a message. They get the
``CellNode`` of that process, the message and the link that it came over.
"""

import asyncio

from cicadafold import clock
from cicadafold import exception
from cicadafold.jobs import model
from cicadafold.peers import link
from cicadafold.peers import messages

__all__ = ["SchedulerClient"]

RETRY_AFTER_MS = 1000


class SchedulerClient:
    """Queries the scheduler, in this process or in another.

    Args:
        local: Function that returns the term that this process serves, or
            None.
        remote: ``SchedulerLink`` to the process that serves the newest
            term.
    """

    def __init__(self, *, local, remote):
        self.local = local
        self.remote = remote

    @property
    def is_local(self):
        """Whether this process runs the scheduler."""
        return self.local() is not None

    @property
    def remote_is_linked(self):
        """Whether there is a link to a scheduler in another process."""
        return self.local() is None and self.remote.link is not None

    async def state(self, job, *, team="", recorded_ms=None, timeout_s):
        """Returns the state of a job, or None if the job is unknown.

        Args:
            job: Identifier of the job.
            team: Name of the team that asks, empty for none.
            recorded_ms: Monotonic time in milliseconds by which its record
                was durable, if this process has accepted it, else None.
            timeout_s: Seconds to wait for a scheduler in another process.

        Raises:
            Starting: The scheduler has not read the journal far enough.
            LinkNotOpen: There is no link to a scheduler.
            LinkLost: The scheduler did not answer in time.
            UnknownRequest: It is a job of another team.
        """
        term = self.local()
        if term is not None:
            return term.jobs.state(job, team, recorded_ms)
        age_ms = None
        if recorded_ms is not None:
            age_ms = clock.monotonic_ms() - recorded_ms
        reply = await self.remote.call(
            lambda number: messages.StateQuery(number, job, team, age_ms),
            timeout_s=timeout_s,
        )
        if not reply.ready:
            raise starting_error()
        if reply.foreign:
            raise foreign_error()
        return None if reply.state is None else model.JobState(reply.state)

    async def health(self, *, timeout_s):
        """Returns the health of the scheduler's term.

        A term of this process that has ended says nothing about the next
        one, which another process may serve.

        Args:
            timeout_s: Seconds to wait for a scheduler in another process.

        Returns:
            The ``messages.Health``, or None if there is no link to the
            scheduler or it does not answer in time.
        """
        term = self.local()
        if term is not None:
            health = term.health()
            if health is not messages.Health.NO_TERM:
                return health
        try:
            reply = await self.remote.call(
                messages.HealthQuery, timeout_s=timeout_s
            )
        except (exception.LinkNotOpen, exception.LinkLost):
            return None
        return reply.health

    async def record(self, key, value, *, timeout_s):
        """Writes a journal record through the scheduler's process.

        Args:
            key: Key of the record.
            value: Value of the record.
            timeout_s: Seconds to wait for the reply.

        Raises:
            LogUnavailable: The record is not stored and never will be.
            LinkNotOpen: There is no link to a scheduler; nothing was sent.
            LinkLost: The link failed or the reply did not come in time;
                the record may be stored.
            OutcomeUnknown: The store did not confirm the record to the
                scheduler's process; the record may be stored.
        """
        reply = await self.remote.call(
            lambda number: messages.RecordQuery(number, key, value, timeout_s),
            timeout_s=timeout_s,
        )
        if reply.outcome is messages.Outcome.STORED:
            return
        if reply.outcome is messages.Outcome.REFUSED:
            raise exception.LogUnavailable(
                message="The scheduler's process could not store the record.",
                remedy="Send the request again later.",
                retry_after_ms=RETRY_AFTER_MS,
            )
        raise exception.OutcomeUnknown(
            message="The store did not confirm the record.",
            remedy="Send the request again with the same ID.",
        )

    async def notify_accepted(self, spec):
        """Notifies the scheduler of an accepted job with a durable record.

        The message may be lost: the scheduler also finds the job when it
        reads the journal, only later.
        """
        term = self.local()
        if term is not None:
            term.jobs.on_accepted(spec)
        elif self.remote.link is not None:
            await self.remote.link.send_if_open(messages.JobAccepted(spec))

    async def notify_cancelled(self, job):
        """Notifies the scheduler of a cancellation with a durable record."""
        term = self.local()
        if term is not None:
            term.jobs.on_cancelled(job)
        elif self.remote.link is not None:
            await self.remote.link.send_if_open(messages.JobCancelled(job))

    async def pending(self, queue, *, timeout_s):
        """Returns how many jobs of a queue have not started.

        Args:
            queue: Name of the queue.
            timeout_s: Seconds to wait for a scheduler in another process.

        Raises:
            Starting: The scheduler has not read the journal far enough.
            LinkNotOpen: There is no link to a scheduler.
            LinkLost: The scheduler did not answer in time.
        """
        term = self.local()
        if term is not None:
            return term.jobs.pending(queue)
        reply = await self.remote.call(
            lambda number: messages.PendingQuery(number, queue),
            timeout_s=timeout_s,
        )
        if not reply.ready:
            raise starting_error()
        return reply.count

    async def admission_wait_ms(self, spec, *, timeout_s):
        """Returns None if a job may be accepted, or when its turn comes.

        Args:
            spec: Specification of the job, with a team.
            timeout_s: Seconds to wait for a scheduler in another process.

        Returns:
            Milliseconds until the job's turn, or None.

        Raises:
            LinkNotOpen: There is no link to a scheduler.
            LinkLost: The scheduler did not answer in time.
        """
        term = self.local()
        if term is not None:
            return term.admission.wait_ms(spec.id, spec.team, spec.rule.pool)
        reply = await self.remote.call(
            lambda number: messages.AdmissionQuery(
                number, spec.id, spec.team, spec.rule.pool
            ),
            timeout_s=timeout_s,
        )
        return reply.wait_ms


@link.handles(messages.AdmissionQuery)
async def answer_admission(node, query, _):
    """Returns whether a peer may accept a job, or when its turn comes."""
    wait_ms = None
    if node.term is not None:
        wait_ms = node.term.admission.wait_ms(
            query.job, query.team, query.pool
        )
    return messages.AdmissionReply(query.number, wait_ms)


@link.handles(messages.AdmissionNotice)
async def handle_admission_notice(node, notice, _):
    """Replaces the teams that this host has to ask the scheduler about."""
    claim = node.scheduler_link.claim
    if claim is None or notice.term >= claim.term:
        node.host_admission.on_notice(notice)


@link.handles(messages.StateQuery)
async def answer_state(node, query, _):
    """Returns the reply to a peer's query for the state of a job."""
    recorded_ms = None
    if query.recorded_age_ms is not None:
        recorded_ms = clock.monotonic_ms() - query.recorded_age_ms
    try:
        state = node.serving_term().jobs.state(
            query.job, query.team, recorded_ms
        )
    except exception.Starting:
        return messages.StateReply(query.number, False)
    except exception.UnknownRequest:
        return messages.StateReply(query.number, True, foreign=True)
    value = None if state is None else state.value
    return messages.StateReply(query.number, True, value)


@link.handles(messages.PendingQuery)
async def answer_pending(node, query, _):
    """Returns the reply to a peer's query for a queue's pending jobs."""
    try:
        count = node.serving_term().jobs.pending(query.queue)
    except exception.Starting:
        return messages.PendingReply(query.number, False)
    return messages.PendingReply(query.number, True, count)


@link.handles(messages.HealthQuery)
async def answer_health(node, query, _):
    """Returns the health of this process's term and of its store access."""
    health = messages.Health.NO_TERM
    if node.term is not None:
        health = node.term.health()
    return messages.HealthReply(
        query.number, health, node.store.since_served_ms
    )


@link.handles(messages.JobAccepted)
async def handle_accepted(node, message, _):
    """Passes a job that a peer has accepted to this process's term."""
    if node.term is not None:
        node.term.jobs.on_accepted(message.spec)


@link.handles(messages.JobCancelled)
async def handle_cancelled(node, message, _):
    """Passes a cancellation that a peer has recorded to the term."""
    if node.term is not None:
        node.term.jobs.on_cancelled(message.job)


@link.handles(messages.TakeOver)
async def handle_take_over(node, message, _):
    """Claims the next term for a scheduler that has handed over its own."""
    await node.candidate.take_over(message.term, message.reason)


@link.handles(messages.RecordQuery)
async def answer_record(node, query, _):
    """Writes a journal record for a peer that does not reach the store."""
    deadline_s = asyncio.get_running_loop().time() + query.timeout_s
    try:
        await node.relay_writer.write(
            query.key, query.value, deadline_s=deadline_s
        )
    except exception.LogUnavailable:
        outcome = messages.Outcome.REFUSED
    except exception.OutcomeUnknown:
        outcome = messages.Outcome.UNKNOWN
    else:
        outcome = messages.Outcome.STORED
    return messages.RecordReply(query.number, outcome)


@link.handles(messages.AdviseQuery)
async def answer_advise(node, query, _):
    """Calls the advice service on behalf of the scheduler."""
    try:
        granted = await node.advice.advise(
            query.job,
            query.occurrence,
            query.step,
            query.workers,
            timeout_s=query.timeout_s,
        )
    except exception.TargetUnreachable as error:
        return messages.AdviseReply(query.number, None, str(error))
    return messages.AdviseReply(query.number, granted)


@link.handles(messages.Hello)
async def handle_hello(node, hello, peer):
    """Registers the process that has opened the link."""
    peer.member = hello.member
    node.on_hello(hello, peer)


def starting_error():
    """Returns the error for a scheduler that is still reading the journal."""
    return exception.Starting(
        message="The scheduler has not read the journal to its end.",
        remedy="Send the request again.",
        retry_after_ms=300,
    )


def foreign_error():
    """Returns the error for a job of another team than the one that asks."""
    return exception.UnknownRequest(
        message="The job is one of another team.",
        remedy="Send the key of its team.",
    )
