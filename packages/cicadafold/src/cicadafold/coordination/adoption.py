"""Adopts requests whose coordinator has failed or left.

The process with the greatest rendezvous weight for a request appends an adopt
record. Of several, only the first on the control log has an effect. Its
offset becomes the attempt of the request, so that rack owners refuse the
dispatches of the earlier coordinator.
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
MIN_ADOPTED_BUDGET_MS = 5000

LOG = logs.get_logger("ledger")


class Adopter:
    """Adopts open requests of which this process should be coordinator.

    Args:
        node: ``Node``, which holds the components of this process.
        coordinate: Function that starts to coordinate a
            ``PendingRequest`` after its adoption.

    Attributes:
        adopting: Identifiers of the requests whose adopt record was sent
            and is not applied yet.
        open_ids: Identifiers of the requests without a final outcome.
        indexed_state: Control state for which ``open_ids`` was last computed.
    """

    def __init__(self, *, node, coordinate):
        self.node = node
        self.coordinate = coordinate
        self.adopting = set()
        self.open_ids = set()
        self.indexed_state = None

    def on_record(self, record):
        """Updates the open requests, and handles adopt records."""
        if isinstance(record, records.Done):
            self.open_ids.discard(record.request_id)
        elif isinstance(record, records.Accept):
            self.open_ids.add(record.request_id)
        elif isinstance(record, records.Adopt):
            self.on_adopt(record)

    def on_adopt(self, record):
        """Starts to coordinate a request that this process has adopted."""
        self.adopting.discard(record.request_id)
        if record.incarnation != self.node.incarnation:
            return
        entry = self.node.tail.state.requests.get(record.request_id)
        if entry is None or not control_state.is_open(entry):
            return
        is_coordinator = (
            entry.coordinator == self.node.name
            and entry.incarnation == self.node.incarnation
        )
        kind = self.node.kind(entry.kind)
        if is_coordinator and kind is not None:
            LOG.info(
                "Request %s is coordinated by this process from now on: its "
                "earlier coordinator failed or left.",
                entry.request_id,
            )
            self.coordinate(self.build_request(entry, kind))

    def build_request(self, entry, kind):
        """Returns the pending request of an adopted entry."""
        submit = messages.SubmitRequest(
            request_id=entry.request_id,
            kind=entry.kind,
            team=entry.team,
            payload=entry.payload,
            origin=entry.region,
        )
        age_ms = self.node.tail.age_ms(entry.accepted_ms)
        remaining_ms = entry.deadline_ms - age_ms
        budget_ms = max(MIN_ADOPTED_BUDGET_MS, remaining_ms)
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
        """Checks for requests to adopt until it is cancelled."""
        while True:
            await asyncio.sleep(ADOPT_PERIOD_S)
            if self.node.tail.ready and not self.node.view.draining:
                self.adopt_orphans()

    def adopt_orphans(self):
        """Adopts each open request whose coordinator is not alive.

        Only the preferred new coordinator of a request does so.
        """
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
        """Rebuilds ``open_ids`` after the control state was replaced.

        Args:
            state: The current control state.
        """
        if self.indexed_state is state:
            return
        self.indexed_state = state
        self.open_ids = {
            entry.request_id
            for entry in state.requests.values()
            if control_state.is_open(entry)
        }

    def coordinator_is_alive(self, entry, state):
        """Whether the coordinator of a request is alive in its incarnation."""
        member = state.members.get(entry.coordinator)
        if member is None or member.incarnation != entry.incarnation:
            return False
        return self.node.view.is_alive(member)

    def is_preferred_coordinator(self, entry, members):
        """Whether this process should adopt a request.

        Processes in the region of the request precede all others.

        Args:
            entry: Entry of the request in the control state.
            members: Processes that can become coordinator.
        """
        candidates = [
            m for m in members if m.region == entry.region
        ] or members
        if not candidates:
            return False
        chosen = max(
            candidates,
            key=lambda m: assignment.rendezvous_weight(
                entry.request_id, m.name
            ),
        )
        return self.node.view.is_self(chosen)

    async def adopt(self, entry):
        """Appends the adopt record of one request.

        After a failed append the request may be adopted again later.
        """
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
