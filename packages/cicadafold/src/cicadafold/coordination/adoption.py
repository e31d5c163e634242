"""Finds another coordinator for requests whose own is gone.

The member with the greatest rendezvous weight appends an adopt record. The
first one in the log's order holds, and its offset fences the dispatches of
the earlier coordinator.
"""

import asyncio

from cicadafold import clock
from cicadafold.controllog import records
from cicadafold.controllog import state as control_state
from cicadafold.coordination import request_dispatcher
from cicadafold import exception
from cicadafold.ownership import assignment
from cicadafold.telemetry import logs
from cicadafold_schema import messages

__all__ = ["Adopter"]

ADOPT_PERIOD_S = 0.5
ADOPTED_MIN_BUDGET_MS = 5000

LOG = logs.get_logger("ledger")


class Adopter:
    """Adopts the open requests that fall to this member.

    Args:
        node: The services of this process.
        coordinate: Function that takes the request of an adoption.

    Attributes:
        adopting: Requests whose adopt record is on its way.
        open_ids: Requests without a final outcome.
    """

    def __init__(self, *, node, coordinate):
        self.node = node
        self.coordinate = coordinate
        self.adopting = set()
        self.open_ids = set()
        self.indexed_state = None

    def on_record(self, record):
        """Follows which requests are open, and adoptions."""
        if isinstance(record, records.Done):
            self.open_ids.discard(record.request_id)
        elif isinstance(record, records.Accept):
            self.open_ids.add(record.request_id)
        elif isinstance(record, records.Adopt):
            self.on_adopt(record)

    def on_adopt(self, record):
        """Coordinates a request that this member has adopted."""
        self.adopting.discard(record.request_id)
        if record.incarnation != self.node.incarnation:
            return
        entry = self.node.tail.state.requests.get(record.request_id)
        if entry is None or not control_state.is_open(entry):
            return
        ours = (
            entry.coordinator == self.node.name
            and entry.incarnation == self.node.incarnation
        )
        kind = self.node.kind(entry.kind)
        if ours and kind is not None:
            LOG.info("%s is adopted.", entry.request_id)
            self.coordinate(self.build_request(entry, kind))

    def build_request(self, entry, kind):
        """Builds the request of an adopted entry."""
        submit = messages.SubmitRequest(
            request_id=entry.request_id,
            kind=entry.kind,
            team=entry.team,
            payload=entry.payload,
            origin=entry.region,
        )
        age_ms = self.node.tail.age_ms(entry.accepted_ms)
        rest_ms = entry.deadline_ms - age_ms
        budget_ms = max(ADOPTED_MIN_BUDGET_MS, rest_ms)
        request = request_dispatcher.PendingRequest(
            submit=submit,
            kind=kind,
            deadline_ms=clock.monotonic_ms() + budget_ms,
            attempt=entry.attempt,
            first=False,
            adopted=True,
        )
        request.earliest_dispatch_ms -= self.node.tail.age_ms(
            entry.accepted_ms
        )
        return request

    async def run(self):
        """Adopts the requests whose coordinator is gone."""
        while True:
            await asyncio.sleep(ADOPT_PERIOD_S)
            if self.node.tail.ready and not self.node.view.draining:
                self.adopt_orphans()

    def adopt_orphans(self):
        """Appends adopt records for the requests that fall to us."""
        members = self.node.rack_claimer.eligible_members()
        state = self.node.tail.state
        self.index_open_requests(state)
        for request_id in list(self.open_ids):
            entry = state.requests.get(request_id)
            if entry is None or not control_state.is_open(entry):
                self.open_ids.discard(request_id)
                continue
            if entry.request_id in self.adopting or self.coordinator_is_alive(
                entry, state
            ):
                continue
            if self.is_preferred_coordinator(entry, members):
                self.adopting.add(entry.request_id)
                asyncio.create_task(self.adopt(entry))

    def index_open_requests(self, state):
        """Finds the open requests once after a snapshot was taken over."""
        if self.indexed_state is state:
            return
        self.indexed_state = state
        self.open_ids = {
            entry.request_id
            for entry in state.requests.values()
            if control_state.is_open(entry)
        }

    def coordinator_is_alive(self, entry, state):
        """Whether the coordinator of a request counts as alive."""
        member = state.members.get(entry.coordinator)
        if member is None or member.incarnation != entry.incarnation:
            return False
        return self.node.view.is_alive(member)

    def is_preferred_coordinator(self, entry, members):
        """Whether this member should adopt a request."""
        near = [m for m in members if m.region == entry.region] or members
        if not near:
            return False
        chosen = max(
            near,
            key=lambda m: assignment.rendezvous_weight(
                entry.request_id, m.name
            ),
        )
        return self.node.view.is_self(chosen)

    async def adopt(self, entry):
        """Appends the adopt record of one request."""
        record = records.Adopt(
            request_id=entry.request_id,
            member=self.node.name,
            incarnation=self.node.incarnation,
            previous=entry.attempt,
        )
        try:
            await self.node.appender.append(record)
        except (exception.LogUnavailable, exception.LinkLost):
            self.adopting.discard(entry.request_id)
