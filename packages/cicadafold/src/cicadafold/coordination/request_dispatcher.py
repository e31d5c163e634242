"""Dispatches requests to the owners of racks until there is a final reply."""

import asyncio

from cicadafold_schema import messages

from cicadafold import clock
from cicadafold import exception
from cicadafold.peerlink import frames

__all__ = ["RequestDispatcher", "PendingRequest"]

RETRY_PAUSE_S = 0.05
REPLY_GRACE_MS = 500
ASSIGNED_RACK_TIMEOUT_MS = 2500
LOCATE_TIMEOUT_S = 3.0

Status = frames.ReplyStatus


class PendingRequest:
    """A request that waits for the final reply of a rack's owner.

    Attributes:
        submit: The caller's request.
        kind: Kind of the request.
        deadline_ms: Monotonic time in milliseconds of the deadline.
        attempt: Offset of the record that makes this process coordinator;
            0 if the request is not recorded.
        first: Whether no earlier dispatch can have started the request.
        adopted: Whether an earlier dispatch may have gone to any rack, so that
            the owners of all racks are asked for the request first.
        created_ms: Monotonic time in milliseconds of this object's creation.
        earliest_dispatch_ms: Monotonic time in milliseconds before which no
            dispatch can have been sent.
        spent_us: Microseconds that it took to choose the rack.
        deadline_extensions: Number of times that the deadline was extended.
        hops: Number of redirects to another rack.
        rack: Name of the assigned rack, or None.
        possibly_run: Whether a rack's owner could not exclude that a lost
            worker has run the request.
    """

    def __init__(
        self,
        *,
        submit,
        kind,
        deadline_ms,
        attempt=0,
        first=True,
        adopted=False,
    ):
        self.submit = submit
        self.request_id = submit.request_id
        self.kind = kind
        self.deadline_ms = deadline_ms
        self.attempt = attempt
        self.first = first
        self.adopted = adopted
        self.created_ms = clock.monotonic_ms()
        self.earliest_dispatch_ms = self.created_ms
        self.spent_us = 0
        self.deadline_extensions = 0
        self.hops = 0
        self.rack = None
        self.possibly_run = False

    def age_ms(self):
        """Returns the milliseconds since the earliest possible dispatch."""
        return int(clock.monotonic_ms() - self.earliest_dispatch_ms) + 1


class RequestDispatcher:
    """Dispatches requests; each step can be repeated without harm."""

    def __init__(self, *, node):
        self.node = node

    async def dispatch(self, request):
        """Dispatches a request until there is a final reply, or its deadline.

        Args:
            request: The ``PendingRequest``.

        Returns:
            A reply whose status is neither ``MOVED`` nor ``REDIRECT``.

        Raises:
            NeverFits: No rack of the cell can ever run the request.
            Starting: The list of workers has not been received yet.
        """
        started_ms = clock.monotonic_ms()
        if request.rack is None or request.adopted:
            self.choose_rack(request)
        spent_ms = clock.monotonic_ms() - started_ms
        request.spent_us = int(spent_ms * clock.US_PER_MS)
        if request.adopted and not await self.locate(request):
            return expired_reply(request)
        if request.possibly_run:
            return possibly_run_reply()
        while True:
            budget_ms = request.deadline_ms - clock.monotonic_ms()
            if budget_ms <= 0:
                return expired_reply(request)
            owner = self.live_owner(request.rack)
            if owner is None:
                self.try_another_rack(request)
                await self.wait_before_retry(request)
                continue
            reply = await self.send_dispatch(request, owner, budget_ms)
            if reply is None:
                await self.wait_before_retry(request)
            elif reply.status is Status.MOVED:
                request.first = request.first and not reply.started
                await self.wait_before_retry(request)
            elif reply.status is Status.REDIRECT:
                request.rack = reply.rack
                request.hops += 1
            else:
                return reply

    def choose_rack(self, request):
        """Assigns the preferred rack of those that can run the request.

        Raises:
            NeverFits: No rack of the cell can ever run the request.
            Starting: The list of workers has not been received yet.
        """
        rack = next(self.node.candidate_racks(request), None)
        if rack is not None:
            request.rack = rack
            return
        if not self.node.hosts.racks:
            raise exception.Starting(
                message="The list of workers has not been received yet.",
                remedy="Submit again in a moment.",
                retry_after_ms=clock.MS_PER_S,
            )
        raise exception.NeverFits(
            message=f"No rack can ever run a request of {request.kind.name}.",
            remedy=self.node.largest_worker_text(),
        )

    async def locate(self, request):
        """Finds the rack whose owner knows an adopted request.

        The owners of all racks that can run the request are asked until
        one knows it or all have answered.

        Returns:
            False if the deadline passed before that.
        """
        pending_racks = set(self.node.racks_that_fit(request.kind))
        while pending_racks and clock.monotonic_ms() < request.deadline_ms:
            replies = await asyncio.gather(
                *(
                    self.locate_in_rack(request, rack)
                    for rack in sorted(pending_racks)
                )
            )
            for rack, reply in zip(
                sorted(pending_racks), replies, strict=True
            ):
                if reply is None or reply.status is Status.MOVED:
                    continue
                if reply.status is Status.KNOWN:
                    request.rack = rack
                    request.possibly_run = False
                    return True
                request.possibly_run |= reply.status is Status.UNKNOWN
                pending_racks.discard(rack)
            if pending_racks:
                await self.wait_before_retry(request)
        return not pending_racks

    async def locate_in_rack(self, request, rack):
        """Asks a rack's owner whether it knows a request.

        Returns:
            The reply, or None if the owner did not reply.
        """
        owner = self.live_owner(rack)
        if owner is None:
            return None
        frame = frames.Locate(
            serial=0,
            rack=rack,
            request_id=request.request_id,
            attempt=request.attempt,
            age_ms=request.age_ms(),
            idempotent=request.kind.idempotent,
        )
        try:
            return await self.node.call_member(
                owner, request.kind.lane, frame, timeout_s=LOCATE_TIMEOUT_S
            )
        except (exception.LinkNotOpen, exception.LinkLost, TimeoutError):
            return None

    def live_owner(self, rack):
        """Returns the process that owns a rack; None if none is alive."""
        state = self.node.tail.state
        owner = state.owners.get(rack)
        if owner is None or not self.node.view.owner_is_alive(owner):
            return None
        return state.members[owner.member]

    def try_another_rack(self, request):
        """Assigns another rack if the assigned one stays without an owner.

        Duplicates of a request are detected at its assigned rack. Therefore
        another one is assigned only after ``ASSIGNED_RACK_TIMEOUT_MS``, and
        only if no dispatch can have started the request.
        """
        waited_ms = clock.monotonic_ms() - request.created_ms
        if not request.first or waited_ms < ASSIGNED_RACK_TIMEOUT_MS:
            return
        for rack in self.node.candidate_racks(request):
            if self.live_owner(rack) is not None:
                request.rack = rack
                return

    async def send_dispatch(self, request, owner, budget_ms):
        """Sends one dispatch to the owner of the assigned rack.

        Args:
            request: The ``PendingRequest``.
            owner: Process that owns the assigned rack.
            budget_ms: Milliseconds until the deadline of the request.

        Returns:
            The reply, or None if there was none.
        """
        frame = frames.Dispatch(
            serial=0,
            rack=request.rack,
            request_id=request.request_id,
            kind=request.kind.name,
            team=request.submit.team,
            payload=request.submit.payload,
            attempt=request.attempt,
            first=request.first,
            budget_ms=int(budget_ms),
            age_ms=request.age_ms(),
            hops=request.hops,
            spent_us=request.spent_us,
        )
        timeout_s = (budget_ms + REPLY_GRACE_MS) / clock.MS_PER_S
        try:
            return await self.node.call_member(
                owner, request.kind.lane, frame, timeout_s=timeout_s
            )
        except exception.LinkNotOpen:
            return None
        except (exception.LinkLost, TimeoutError):
            request.first = False
            return None

    async def wait_before_retry(self, request):
        """Waits ``RETRY_PAUSE_S`` or until the control state changes."""
        try:
            async with asyncio.timeout(RETRY_PAUSE_S):
                await self.node.tail.changed.wait()
        except TimeoutError:
            pass


def expired_reply(request):
    """Returns the reply for a request whose deadline has passed.

    Its status is ``REFUSED`` if no dispatch can have started the request,
    else ``UNKNOWN``.
    """
    if request.first:
        return frames.Reply(
            serial=0,
            status=Status.REFUSED,
            code=messages.ErrorCode.deadline_exceeded.value,
            text="No owner of a rack could be reached before the deadline.",
            retry_after_ms=clock.MS_PER_S,
        )
    return frames.Reply(
        serial=0,
        status=Status.UNKNOWN,
        started=True,
        text="The owner of the rack did not report an outcome in time.",
    )


def possibly_run_reply():
    """Returns the reply for a request that a lost worker may have run."""
    return frames.Reply(
        serial=0,
        status=Status.UNKNOWN,
        started=True,
        text="A worker that may have run the request was restarted.",
    )
