"""Appends the folded state again, well before its records expire."""

import asyncio

import msgspec

from cicadafold.controllog import records
from cicadafold import exception
from cicadafold.ownership import assignment
from cicadafold.telemetry import logs

__all__ = ["Snapshotter"]

MAX_PERIOD_S = 5.0
RETENTION_SHARE = 1 / 8
MAX_ENTRIES = 20_000

LOG = logs.get_logger("snapshot")


class Snapshotter:
    """Appends a snapshot when the last one is old.

    The member with the greatest rendezvous weight does it; two at once do
    no harm. A new member starts from the last snapshot.
    """

    def __init__(self, *, node, retention_s):
        self.node = node
        self.interval_s = retention_s * RETENTION_SHARE
        self.check_period_s = min(MAX_PERIOD_S, self.interval_s / 2)
        self.last_offset = 0
        self.last_s = None

    async def run(self):
        """Looks each period whether a snapshot is due."""
        self.node.tail.add_listener(self.on_records)
        while True:
            await asyncio.sleep(self.check_period_s)
            if self.is_due():
                await self.append()

    def on_records(self, found):
        """Notes the snapshots of all members."""
        for record in found:
            if isinstance(record, records.Snapshot):
                self.last_offset = record.through
                self.last_s = asyncio.get_running_loop().time()

    def is_due(self):
        """Whether this member should append a snapshot now."""
        node = self.node
        if not node.tail.ready or not node.log_is_usable():
            return False
        members = node.rack_claimer.eligible_members()
        if not members:
            return False
        chosen = max(
            members,
            key=lambda m: assignment.rendezvous_weight("snapshot", m.name),
        )
        if not node.view.is_self(chosen):
            return False
        now_s = asyncio.get_running_loop().time()
        if self.last_s is None:
            self.last_s = now_s - self.interval_s + self.check_period_s
            return False
        entries = node.tail.state.offset - self.last_offset
        return now_s - self.last_s >= self.interval_s or entries >= MAX_ENTRIES

    async def append(self):
        """Appends the state as it is folded now."""
        state = self.node.tail.state
        record = records.Snapshot(
            through=state.offset,
            state=msgspec.Raw(msgspec.json.encode(state)),
        )
        try:
            await self.node.appender.append(record)
        except (exception.LogUnavailable, exception.LinkLost):
            LOG.warning("The log took no snapshot. It is tried again.")
            return
        LOG.info("The state through entry %d is on the log.", state.offset)
