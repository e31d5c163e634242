"""Asks the scheduler, wherever it is, and answers its questions."""

from cicadafold import exception
from cicadafold.jobs import model
from cicadafold.peers import link
from cicadafold.peers import messages

__all__ = ["SchedulerAsker"]


class SchedulerAsker:
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
            return term.state_of(job)
        reply = await self.remote.call(
            lambda number: messages.StateQuery(number, job),
            timeout_s=timeout_s,
        )
        if not reply.ready:
            raise starting()
        return None if reply.state is None else model.JobState(reply.state)

    async def healthy(self, *, timeout_s):
        """Returns whether the scheduler says that it can do its work."""
        term = self.local()
        if term is not None:
            return term.healthy()
        try:
            reply = await self.remote.call(
                messages.HealthQuery, timeout_s=timeout_s
            )
        except (exception.LinkNotOpen, exception.LinkLost):
            return False
        return reply.healthy

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
            raise starting()
        return reply.count


@link.answer(messages.StateQuery)
async def answer_state(owner, query, _):
    """Tells a peer the state of a job."""
    try:
        state = owner.serving_term().state_of(query.job)
    except exception.Starting:
        return messages.StateReply(query.number, False)
    shown = None if state is None else state.value
    return messages.StateReply(query.number, True, shown)


@link.answer(messages.PendingQuery)
async def answer_pending(owner, query, _):
    """Tells a peer how many jobs of a queue have not started."""
    try:
        count = owner.serving_term().pending(query.queue)
    except exception.Starting:
        return messages.PendingReply(query.number, False)
    return messages.PendingReply(query.number, True, count)


@link.answer(messages.HealthQuery)
async def answer_health(owner, query, _):
    """Tells a peer whether the scheduler can do its work."""
    healthy = owner.term is not None and owner.term.healthy()
    return messages.HealthReply(query.number, healthy)


@link.answer(messages.AdviseQuery)
async def answer_advise(owner, query, _):
    """Calls the advice service for the scheduler."""
    try:
        granted = await owner.advice.advise(
            query.job,
            query.occurrence,
            query.step,
            query.workers,
            timeout_s=query.timeout_s,
        )
    except exception.TargetUnreachable as error:
        return messages.AdviseReply(query.number, None, str(error))
    return messages.AdviseReply(query.number, granted)


@link.answer(messages.Hello)
async def take_hello(owner, hello, peer):
    """Takes the name and the newest term of the process that calls."""
    peer.member = hello.member
    owner.on_hello(hello, peer)


def starting():
    """Returns the error of a scheduler that cannot tell yet."""
    return exception.Starting(
        message="The scheduler has not read the journal to its end.",
        remedy="Ask again.",
        retry_after_ms=300,
    )
