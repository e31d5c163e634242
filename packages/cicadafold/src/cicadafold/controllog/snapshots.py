"""Appends snapshots of the control state to the control log.

A snapshot is appended well before the records that the state was built from
expire in the log.
"""

import asyncio

import msgspec

from cicadafold.controllog import records
from cicadafold import exception
from cicadafold.ownership import assignment
from cicadafold.telemetry import logs

__all__ = ["Snapshotter"]

MAX_CHECK_PERIOD_S = 5.0
INTERVAL_PER_RETENTION = 1 / 8
MAX_ENTRIES_BETWEEN_SNAPSHOTS = 20_000

LOG = logs.get_logger("snapshot")


class Snapshotter:
    """Appends a snapshot when the last one is old or far from the log's end.

    Only the process with the greatest rendezvous weight appends them. Two
    processes that do so at once cause no harm. A process that starts builds
    its state from the last snapshot.

    Args:
        node: ``Node``, which holds the components of this process.
        retention_s: Time for which the log retains entries, in seconds.

    Attributes:
        interval_s: Age of the last snapshot, in seconds, at which the next
            one is due.
        check_period_s: Seconds between two checks.
        last_snapshot_offset: Offset of the last entry that the last
            snapshot contains; 0 before one was read.
        last_snapshot_s: Event loop time in seconds when the last snapshot
            was read; None until the first read or check. If none was read
            by the first check, the next snapshot is due one period later.
    """

    def __init__(self, *, node, retention_s):
        self.node = node
        self.interval_s = retention_s * INTERVAL_PER_RETENTION
        self.check_period_s = min(MAX_CHECK_PERIOD_S, self.interval_s / 2)
        self.last_snapshot_offset = 0
        self.last_snapshot_s = None

    async def run(self):
        """Appends a snapshot each time that one is due, until cancelled."""
        self.node.tail.add_listener(self.on_records)
        while True:
            await asyncio.sleep(self.check_period_s)
            if self.is_due():
                await self.append()

    def on_records(self, applied):
        """Records the offset and time of the snapshots of all processes."""
        for record in applied:
            if isinstance(record, records.Snapshot):
                self.last_snapshot_offset = record.through
                self.last_snapshot_s = asyncio.get_running_loop().time()

    def is_due(self):
        """Whether this process should append a snapshot now."""
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
        if self.last_snapshot_s is None:
            self.last_snapshot_s = (
                now_s - self.interval_s + self.check_period_s
            )
            return False
        entries = node.tail.state.offset - self.last_snapshot_offset
        return (
            now_s - self.last_snapshot_s >= self.interval_s
            or entries >= MAX_ENTRIES_BETWEEN_SNAPSHOTS
        )

    async def append(self):
        """Appends a snapshot of the current state."""
        state = self.node.tail.state
        record = records.Snapshot(
            through=state.offset,
            state=msgspec.Raw(msgspec.json.encode(state)),
        )
        try:
            await self.node.appender.append(record)
        except (exception.LogUnavailable, exception.LinkLost):
            LOG.warning(
                "The control log did not confirm a snapshot. Another one is "
                "appended at the next check."
            )
            return
        LOG.info(
            "A snapshot through entry %d is on the control log.", state.offset
        )
