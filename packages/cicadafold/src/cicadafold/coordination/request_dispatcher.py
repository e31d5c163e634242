"""Brings one request to the owner of its rack until there is an answer."""

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
    """A request on its way to the owner of a rack.

    Attributes:
        attempt: Offset of the record that makes this member coordinator;
            0 if the request is not recorded.
        first: Whether no dispatch can have been sent before.
        adopted: Whether an earlier coordinator may have sent the request
            to any rack.
        born_ms: Monotonic time before which no dispatch can have been
            sent.
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
        """Returns the milliseconds since a dispatch may have been sent."""
        return int(clock.monotonic_ms() - self.earliest_dispatch_ms) + 1


class RequestDispatcher:
    """Dispatches requests; every step is safe to repeat."""

    def __init__(self, *, node):
        self.node = node

    async def dispatch(self, request):
        """Returns the final reply of the owner of a rack.

        Args:
            request: The request to place.

        Returns:
            A reply whose status is not ``MOVED`` or ``REDIRECT``.
        """
        started_ms = clock.monotonic_ms()
        if request.rack is None or request.adopted:
            self.choose_rack(request)
        spent_ms = clock.monotonic_ms() - started_ms
        request.spent_us = int(spent_ms * clock.MILLISECONDS)
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
        """Chooses the home rack among those that could hold the request.

        Raises:
            NeverFits: No rack of the cell could ever hold it.
            Starting: The list of workers is not known yet.
        """
        rack = next(self.node.candidate_racks(request), None)
        if rack is not None:
            request.rack = rack
            return
        if not self.node.hosts.racks:
            raise exception.Starting(
                message="The list of workers is not known yet.",
                remedy="Submit again in a moment.",
                retry_after_ms=clock.MILLISECONDS,
            )
        raise exception.NeverFits(
            message=f"No rack could ever hold {request.kind.name}.",
            remedy=self.node.largest_worker_text(),
        )

    async def locate(self, request):
        """Finds the rack that an adopted request was sent to.

        Returns:
            False if the deadline passed before all racks had answered.
        """
        unasked = set(self.node.racks_that_fit(request.kind))
        while unasked and clock.monotonic_ms() < request.deadline_ms:
            replies = await asyncio.gather(
                *(
                    self.locate_in_rack(request, rack)
                    for rack in sorted(unasked)
                )
            )
            for rack, reply in zip(sorted(unasked), replies, strict=True):
                if reply is None or reply.status is Status.MOVED:
                    continue
                if reply.status is Status.KNOWN:
                    request.rack = rack
                    request.possibly_run = False
                    return True
                request.possibly_run |= reply.status is Status.UNKNOWN
                unasked.discard(rack)
            if unasked:
                await self.wait_before_retry(request)
        return not unasked

    async def locate_in_rack(self, request, rack):
        """Asks the owner of a rack whether it knows a request."""
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
        """Returns the member that owns a rack if it counts as alive."""
        state = self.node.tail.state
        owner = state.owners.get(rack)
        if owner is None or not self.node.view.owner_is_alive(owner):
            return None
        return state.members[owner.member]

    def try_another_rack(self, request):
        """Leaves a rack that has long been without an owner.

        Duplicates of a request meet at its home rack, so that it is left
        only when its owner has not come back for a while.
        """
        waited_ms = clock.monotonic_ms() - request.created_ms
        if not request.first or waited_ms < ASSIGNED_RACK_TIMEOUT_MS:
            return
        for rack in self.node.candidate_racks(request):
            if self.live_owner(rack) is not None:
                request.rack = rack
                return

    async def send_dispatch(self, request, owner, budget_ms):
        """Sends one dispatch and returns its reply, or None."""
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
        timeout_s = (budget_ms + REPLY_GRACE_MS) / clock.MILLISECONDS
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
        """Waits a little, or until the folded state changes."""
        try:
            async with asyncio.timeout(RETRY_PAUSE_S):
                await self.node.tail.changed.wait()
        except TimeoutError:
            pass


def expired_reply(request):
    """Builds the reply of a request whose deadline has passed."""
    if request.first:
        return frames.Reply(
            serial=0,
            status=Status.REFUSED,
            code=messages.ErrorCode.deadline_exceeded.value,
            text="No owner of a rack could be reached in time.",
            retry_after_ms=clock.MILLISECONDS,
        )
    return frames.Reply(
        serial=0,
        status=Status.UNKNOWN,
        started=True,
        text="The owner of the rack was lost with the request.",
    )


def possibly_run_reply():
    """Builds the reply of a request that a lost worker may have run."""
    return frames.Reply(
        serial=0,
        status=Status.UNKNOWN,
        started=True,
        text="A worker that may have run the request was restarted.",
    )
