"""Accepts and deduplicates recorded requests, and records their outcome.

A durable or non-idempotent request is recorded on the control log before it
is dispatched. The first accept record of a request id makes its sender the
coordinator; other processes wait for the done record. If a coordinator fails
or leaves, another process adopts the request. The offset of the adopt record
becomes the attempt of the request, so that rack owners refuse the dispatches
of the earlier coordinator.
"""

import asyncio
import functools
import uuid

from cicadafold_schema import messages

from cicadafold import clock
from cicadafold.controllog import records
from cicadafold.controllog import state as control_state
from cicadafold.coordination import adoption
from cicadafold.coordination import answers
from cicadafold.coordination import request_dispatcher
from cicadafold import exception
from cicadafold.peerlink import frames
from cicadafold.telemetry import logs

__all__ = ["Coordinator"]

SERVICE_POLL_PERIOD_S = 2.0
RETRY_AFTER_MS = 1000
MAX_DEADLINE_EXTENSIONS = 5

LOG = logs.get_logger("ledger")


class Coordinator:
    """Handles the recorded requests of one process.

    Args:
        node: ``Node``, which holds the components of this process.

    Attributes:
        dispatcher: Sends requests to the owners of racks.
        waiters: Futures of the waiting callers by request id.
        request_tasks: Tasks by id of the requests coordinated here.
        abandoned_nonces: Nonces of accept records whose callers have been
            told that the outcome is unknown. If such a record is applied
            later, the request ends as not run.
        running_replies: Last replies of running services by request id.
    """

    def __init__(self, *, node):
        self.node = node
        self.dispatcher = request_dispatcher.RequestDispatcher(node=node)
        self.waiters = {}
        self.request_tasks = {}
        self.abandoned_nonces = set()
        self.running_replies = {}
        self.adopter = adoption.Adopter(node=node, coordinate=self.coordinate)

    def start(self):
        """Registers for the records of the control log."""
        self.node.tail.add_listener(self.on_records)

    async def submit(self, submit, kind, deadline_ms):
        """Records and runs a request, and returns its answer.

        Args:
            submit: The caller's request.
            kind: Kind of the request.
            deadline_ms: Monotonic time in milliseconds of the final answer.

        Raises:
            CicadafoldError: The request was not accepted or not done.
        """
        known = self.node.tail.state.requests.get(submit.request_id)
        if known is not None and not ended_not_run(known):
            check_same_request(known, submit)
            return await self.wait_for_answer(submit, deadline_ms)
        entry = await self.accept(submit, kind, deadline_ms)
        if entry is not None:
            request = request_dispatcher.PendingRequest(
                submit=submit,
                kind=kind,
                deadline_ms=deadline_ms,
                attempt=entry.attempt,
                first=submit.attempt == 1,
            )
            self.coordinate(request)
        return await self.wait_for_answer(submit, deadline_ms)

    async def accept(self, submit, kind, deadline_ms):
        """Records a request; returns its entry if it is coordinated here.

        Raises:
            LogUnavailable: The request was not accepted.
            OutcomeUnknown: The record was not confirmed in time.
            RequestConflict: The request id belongs to another request.
        """
        if not self.node.log_is_usable():
            raise exception.LogUnavailable(
                message="The request is not accepted: the control log refuses "
                "appends or cannot be read.",
                remedy="Submit again after retry_after_ms.",
                retry_after_ms=RETRY_AFTER_MS,
            )
        nonce = uuid.uuid4().hex[:12]
        record = records.Accept(
            request_id=submit.request_id,
            member=self.node.name,
            incarnation=self.node.incarnation,
            nonce=nonce,
            kind=kind.name,
            team=submit.team,
            region=submit.origin or self.node.region,
            deadline_ms=int(deadline_ms - clock.monotonic_ms()),
            payload=submit.payload,
        )
        await self.append_and_apply(record, nonce, deadline_ms)
        entry = self.node.tail.state.requests.get(submit.request_id)
        if entry is None:
            raise unknown_outcome_error()
        check_same_request(entry, submit)
        return entry if entry.nonce == nonce else None

    async def append_and_apply(self, record, nonce, deadline_ms):
        """Appends an accept record and waits until it is applied.

        Raises:
            LogUnavailable: The record was refused.
            OutcomeUnknown: The record was not applied in time. If that
                happens later, the request ends as not run.
        """
        tail = self.node.tail
        try:
            async with asyncio.timeout(remaining_s(deadline_ms)):
                offset = await self.node.appender.append(record)
        except (exception.LinkLost, TimeoutError) as error:
            self.abandoned_nonces.add(nonce)
            raise unknown_outcome_error() from error
        applied = await tail.wait_until(
            lambda: tail.state.offset >= offset,
            timeout_s=remaining_s(deadline_ms),
        )
        if not applied:
            self.abandoned_nonces.add(nonce)
            raise unknown_outcome_error()

    def coordinate(self, request):
        """Starts a task that dispatches a request and records its outcome.

        A task of an earlier attempt is cancelled. Owners of racks refuse
        its dispatches, and dispatching the request again is safe.
        """
        earlier = self.request_tasks.get(request.request_id)
        if earlier is not None:
            earlier.cancel()
        task = asyncio.create_task(self.run_request(request))
        self.request_tasks[request.request_id] = task
        task.add_done_callback(
            functools.partial(self.remove_ended_task, request.request_id)
        )

    def remove_ended_task(self, request_id, task):
        """Removes a task that has ended, and logs an unexpected error."""
        if self.request_tasks.get(request_id) is task:
            del self.request_tasks[request_id]
        if not task.cancelled() and task.exception() is not None:
            LOG.error(
                "Coordination of %s failed; no outcome is recorded: %r",
                request_id,
                task.exception(),
            )

    async def run_request(self, request):
        """Dispatches a request until it ends and records its outcome.

        A running service is dispatched again periodically. Nothing is
        recorded if another process has become the coordinator.
        """
        while True:
            reply = await self.dispatch(request)
            if not self.is_coordinator_of(request):
                return
            if self.extend_deadline(request, reply):
                continue
            if reply.status is not frames.ReplyStatus.RUNNING:
                break
            self.answer_running(request, reply)
            await asyncio.sleep(SERVICE_POLL_PERIOD_S)
            request.first = False
            request.deadline_ms = (
                clock.monotonic_ms() + request.kind.deadline_ms
            )
        await self.record_outcome(request, reply)

    def extend_deadline(self, request, reply):
        """Extends a durable idempotent request's deadline; returns whether.

        Such a request is dispatched again if its outcome is unknown: its
        callers are answered by their own deadline, but the request must not
        be lost with the owner of its rack.
        """
        kind = request.kind
        unknown = reply.status is frames.ReplyStatus.UNKNOWN
        if not (unknown and kind.idempotent and kind.durable):
            return False
        request.deadline_extensions += 1
        if request.deadline_extensions > MAX_DEADLINE_EXTENSIONS:
            return False
        request.first = False
        request.adopted = True
        request.deadline_ms = clock.monotonic_ms() + kind.deadline_ms
        return True

    async def dispatch(self, request):
        """Dispatches a request; returns an error as a ``REFUSED`` reply."""
        try:
            return await self.dispatcher.dispatch(request)
        except exception.CicadafoldError as error:
            return frames.Reply(
                serial=0,
                status=frames.ReplyStatus.REFUSED,
                code=error.code.value,
                text=error.message,
                retry_after_ms=error.retry_after_ms or 0,
            )

    def is_coordinator_of(self, request):
        """Whether this process still coordinates an open request."""
        entry = self.node.tail.state.requests.get(request.request_id)
        if entry is None or not control_state.is_open(entry):
            return False
        return entry.attempt == request.attempt

    def answer_running(self, request, reply):
        """Answers the callers that wait for a service to run."""
        self.running_replies[request.request_id] = reply
        answer = answers.answer_of_reply(request.request_id, reply)
        for future in self.waiters.pop(request.request_id, []):
            if not future.done():
                future.set_result(answer)

    async def record_outcome(self, request, reply):
        """Records the outcome of a request and answers its callers.

        Callers learn that a request was not run only after that is on the
        log, as another process could otherwise adopt the request and run
        it.
        """
        record = records.Done(
            request_id=request.request_id, **answers.done_fields(reply)
        )
        if record.outcome is not messages.Outcome.not_run:
            self.node.appender.append_in_background(record)
            self.answer_waiters(request.request_id, reply)
            return
        try:
            await self.node.appender.append(record)
        except (exception.LogUnavailable, exception.LinkLost):
            self.node.appender.append_in_background(record)
            self.fail_waiters(request.request_id, unknown_outcome_error())
        else:
            self.answer_waiters(request.request_id, reply)

    def answer_waiters(self, request_id, reply):
        """Answers the waiting callers of a request by a final reply."""
        try:
            answer = answers.answer_of_reply(request_id, reply)
        except exception.CicadafoldError as error:
            self.fail_waiters(request_id, error)
            return
        for future in self.waiters.pop(request_id, []):
            if not future.done():
                future.set_result(answer)

    def fail_waiters(self, request_id, error):
        """Answers the waiting callers of a request by an error."""
        for future in self.waiters.pop(request_id, []):
            if not future.done():
                future.set_exception(error)

    async def wait_for_answer(self, submit, deadline_ms):
        """Returns the answer to a recorded request when it has ended.

        Returns at once if the caller asked not to wait, or if the request
        is a running service.

        Raises:
            CicadafoldError: The request was not done, or not in time.
        """
        entry = self.node.tail.state.requests.get(submit.request_id)
        if entry is not None and not control_state.is_open(entry):
            return answers.answer_of_entry(entry)
        if submit.request_id in self.running_replies:
            return answers.answer_of_reply(
                submit.request_id, self.running_replies[submit.request_id]
            )
        if not submit.wait:
            return messages.Answer(
                request_id=submit.request_id,
                outcome=messages.Outcome.accepted,
            )
        future = asyncio.get_running_loop().create_future()
        self.waiters.setdefault(submit.request_id, []).append(future)
        try:
            async with asyncio.timeout(remaining_s(deadline_ms) + 1.0):
                return await future
        except TimeoutError as error:
            raise unknown_outcome_error() from error

    def release_waiters(self):
        """Answers all waiting callers as accepted, for a drain."""
        for request_id in list(self.waiters):
            answer = messages.Answer(
                request_id=request_id, outcome=messages.Outcome.accepted
            )
            for future in self.waiters.pop(request_id):
                if not future.done():
                    future.set_result(answer)

    # Records of the control log.

    def on_records(self, applied):
        """Handles the records of one applied entry of the control log."""
        for record in applied:
            self.adopter.on_record(record)
            if isinstance(record, records.Done):
                self.on_done(record)
            elif isinstance(record, records.Accept):
                self.on_accept(record)

    def on_done(self, record):
        """Answers the waiting callers of a request that has ended."""
        self.running_replies.pop(record.request_id, None)
        if record.request_id not in self.waiters:
            return
        entry = self.node.tail.state.requests.get(record.request_id)
        if entry is None or control_state.is_open(entry):
            return
        try:
            answer = answers.answer_of_entry(entry)
        except exception.CicadafoldError as error:
            self.fail_waiters(record.request_id, error)
            return
        for future in self.waiters.pop(record.request_id):
            if not future.done():
                future.set_result(answer)

    def on_accept(self, record):
        """Ends a request as not run if its accept record was abandoned."""
        if record.nonce not in self.abandoned_nonces:
            return
        self.abandoned_nonces.discard(record.nonce)
        entry = self.node.tail.state.requests.get(record.request_id)
        if entry is not None and entry.nonce == record.nonce:
            self.node.appender.append_in_background(
                records.Done(
                    request_id=record.request_id,
                    outcome=messages.Outcome.not_run,
                    code=messages.ErrorCode.log_unavailable.value,
                )
            )


def ended_not_run(entry):
    """Whether a recorded request ended as not run."""
    return entry.outcome is messages.Outcome.not_run


def check_same_request(entry, submit):
    """Raises RequestConflict if an id is in use for another request."""
    if (entry.kind, entry.team) != (submit.kind, submit.team):
        raise exception.RequestConflict(
            message="The request id is in use for another request.",
            remedy="Use a new request id.",
        )


def unknown_outcome_error():
    """Returns the error for a request that may be running or have run."""
    return exception.OutcomeUnknown(
        message="The request may be running or may have run.",
        remedy="Ask for its status before you submit it again.",
        retry_after_ms=RETRY_AFTER_MS,
    )


def remaining_s(deadline_ms):
    """Returns the seconds until a monotonic deadline, at least 0."""
    return max(0.0, (deadline_ms - clock.monotonic_ms()) / clock.MS_PER_S)
