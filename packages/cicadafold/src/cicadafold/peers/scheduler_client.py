"""Asks the scheduler, wherever it is, and answers its questions."""

import asyncio

from cicadafold import exception
from cicadafold.jobs import model
from cicadafold.peers import link
from cicadafold.peers import messages

__all__ = ["SchedulerClient"]

RETRY_AFTER_MS = 1000


class SchedulerClient:
    """Asks the scheduler of this process, or the one behind the link.

    Args:
        local: Function that returns the term of this process, or None.
        remote: Link to the scheduler of another process.
    """

    def __init__(self, *, local, remote):
        self.local = local
        self.remote = remote

    async def state(self, job, *, timeout_s):
        """Returns the state of a job, None if there is none.

        Raises:
            Starting: The scheduler cannot tell yet.
            LinkNotOpen: There is no scheduler now.
            LinkLost: The scheduler did not answer.
        """
        term = self.local()
        if term is not None:
            return term.job_state(job)
        reply = await self.remote.call(
            lambda number: messages.StateQuery(number, job),
            timeout_s=timeout_s,
        )
        if not reply.ready:
            raise starting_error()
        return None if reply.state is None else model.JobState(reply.state)

    async def health(self, *, timeout_s):
        """Returns what the scheduler says of its term.

        Returns:
            Its health, or None if it does not answer.
        """
        term = self.local()
        if term is not None:
            return term.health()
        try:
            reply = await self.remote.call(
                messages.HealthQuery, timeout_s=timeout_s
            )
        except (exception.LinkNotOpen, exception.LinkLost):
            return None
        return reply.health

    async def record(self, key, value, *, timeout_s):
        """Writes a record through the scheduler's process.

        Raises:
            LogUnavailable: The record is not stored and never will be.
            LinkNotOpen: There is no scheduler now; nothing was sent.
            LinkLost: The record may be stored.
            OutcomeUnknown: The record may be stored.
        """
        reply = await self.remote.call(
            lambda number: messages.RecordQuery(number, key, value, timeout_s),
            timeout_s=timeout_s,
        )
        if reply.outcome is messages.Outcome.STORED:
            return
        if reply.outcome is messages.Outcome.REFUSED:
            raise exception.LogUnavailable(
                message="The scheduler's process stored no record.",
                remedy="Send the request again later.",
                retry_after_ms=RETRY_AFTER_MS,
            )
        raise exception.OutcomeUnknown(
            message="The record was not confirmed.",
            remedy="Send the request again with the same ID.",
        )

    async def notify_accepted(self, spec):
        """Tells the scheduler of a durable job; the journal tells it too."""
        term = self.local()
        if term is not None:
            term.on_job_accepted(spec)
        elif self.remote.link is not None:
            await self.remote.link.send_if_open(messages.JobAccepted(spec))

    async def notify_cancelled(self, job):
        """Tells the scheduler of a durable cancelling."""
        term = self.local()
        if term is not None:
            term.on_job_cancelled(job)
        elif self.remote.link is not None:
            await self.remote.link.send_if_open(messages.JobCancelled(job))

    async def configuration(self, version, *, timeout_s):
        """Returns the scheduler's configuration if it is newer, or None.

        Raises:
            LinkNotOpen: There is no scheduler now.
            LinkLost: The scheduler did not answer.
        """
        reply = await self.remote.call(
            lambda number: messages.ConfigurationQuery(number, version),
            timeout_s=timeout_s,
        )
        return reply.configuration

    async def pending(self, queue, *, timeout_s):
        """Returns how many jobs of a queue have not started.

        Raises:
            Starting: The scheduler cannot tell yet.
            LinkNotOpen: There is no scheduler now.
            LinkLost: The scheduler did not answer.
        """
        term = self.local()
        if term is not None:
            return term.pending(queue)
        reply = await self.remote.call(
            lambda number: messages.PendingQuery(number, queue),
            timeout_s=timeout_s,
        )
        if not reply.ready:
            raise starting_error()
        return reply.count


@link.handles(messages.StateQuery)
async def answer_state(node, query, _):
    """Tells a peer the state of a job."""
    try:
        state = node.serving_term().job_state(query.job)
    except exception.Starting:
        return messages.StateReply(query.number, False)
    shown = None if state is None else state.value
    return messages.StateReply(query.number, True, shown)


@link.handles(messages.PendingQuery)
async def answer_pending(node, query, _):
    """Tells a peer how many jobs of a queue have not started."""
    try:
        count = node.serving_term().pending(query.queue)
    except exception.Starting:
        return messages.PendingReply(query.number, False)
    return messages.PendingReply(query.number, True, count)


@link.handles(messages.HealthQuery)
async def answer_health(node, query, _):
    """Tells a peer how the term of this process is."""
    health = messages.Health.NO_TERM
    if node.term is not None:
        health = node.term.health()
    return messages.HealthReply(query.number, health, node.store.age_ms)


@link.handles(messages.JobAccepted)
async def handle_accepted(node, message, _):
    """Takes a job that a peer has accepted."""
    if node.term is not None:
        node.term.on_job_accepted(message.spec)


@link.handles(messages.JobCancelled)
async def handle_cancelled(node, message, _):
    """Takes a cancelling that a peer has recorded."""
    if node.term is not None:
        node.term.on_job_cancelled(message.job)


@link.handles(messages.TakeOver)
async def handle_take_over(node, message, _):
    """Claims the next term when the last one was given up."""
    await node.campaign.take_over(message.term)


@link.handles(messages.RecordQuery)
async def answer_record(node, query, _):
    """Writes a record for a process that does not reach the store."""
    deadline_s = asyncio.get_running_loop().time() + query.timeout_s
    try:
        await node.writer.write(query.key, query.value, deadline_s=deadline_s)
    except exception.LogUnavailable:
        outcome = messages.Outcome.REFUSED
    except exception.OutcomeUnknown:
        outcome = messages.Outcome.UNKNOWN
    else:
        outcome = messages.Outcome.STORED
    return messages.RecordReply(query.number, outcome)


@link.handles(messages.ConfigurationQuery)
async def answer_configuration(node, query, _):
    """Gives a newer configuration to a peer that cannot read it."""
    current = node.routes.current
    if current is None or current.version <= query.version:
        return messages.ConfigurationReply(query.number)
    return messages.ConfigurationReply(query.number, current)


@link.handles(messages.AdviseQuery)
async def answer_advise(node, query, _):
    """Calls the advice service for the scheduler."""
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
    """Takes the name and the newest term of the process that calls."""
    peer.member = hello.member
    node.on_hello(hello, peer)


def starting_error():
    """Returns the error of a scheduler that cannot tell yet."""
    return exception.Starting(
        message="The scheduler has not read the journal to its end.",
        remedy="Ask again.",
        retry_after_ms=300,
    )
