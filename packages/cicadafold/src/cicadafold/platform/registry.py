"""Follows the registry of workers in the store."""

from cicadafold import exception
from cicadafold.platform import newest_reading
from cicadafold.platform import wire
from cicadafold.telemetry import logs

__all__ = ["RegistrySource"]

REGISTRY_TOPIC = "keyed.servers"
PARTITION = 0
# An answer of the store takes some tens of milliseconds; a short margin
# detects early that the store no longer answers.
READ_MARGIN_S = 0.4

LOG = logs.get_logger("registry")


class KeyedTopicTail:
    """Tail reader of a keyed topic.

    It reads the newest record of each key first, then all later records.

    Args:
        store: Client of the store.
        topic: Name of the topic.
        on_progress: Function called whenever a part of the newest records of
            all keys has arrived, or None.

    Attributes:
        offset: Offset of the next record to read, or None before the first
            read.
        reading: Unfinished ``NewestReading``, or None.
    """

    def __init__(self, *, store, topic, on_progress=None):
        self.store = store
        self.topic = topic
        self.on_progress = on_progress
        self.offset = None
        self.reading = None

    async def changes(self, *, wait_ms=0):
        """Reads the changes since the last call.

        Args:
            wait_ms: Milliseconds for which the store waits for a change.

        Returns:
            Tuple of the changed values by key, where empty bytes stand for
            a deleted key, and whether they are the complete topic.

        Raises:
            LogUnavailable: The store refused or could not be reached.
            LinkLost: The store did not answer.
        """
        if self.offset is not None and self.reading is None:
            try:
                page = await self.store.read(
                    self.topic,
                    PARTITION,
                    self.offset,
                    wait_ms=wait_ms,
                    read_margin_s=READ_MARGIN_S,
                )
            except exception.LogTrimmed:
                LOG.warning(
                    "The store has deleted the next records of the topic; "
                    "reading the newest record of each key instead.",
                    fields={"topic": self.topic},
                )
            else:
                self.offset += len(page.entries)
                return dict(page.entries), False
        if self.reading is None:
            self.reading = newest_reading.NewestReading(
                store=self.store,
                topic=self.topic,
                partition=PARTITION,
                on_progress=self.on_progress,
            )
        found, self.offset = await self.reading.run()
        self.reading = None
        return {record.key: record.value for record in found}, True


class RegistrySource:
    """Reads the registry of workers.

    Args:
        store: Client of the store.
        on_progress: Function called whenever a part of the whole registry
            has arrived, or None.

    Attributes:
        known: Last value of each worker's entry by worker name.
    """

    def __init__(self, *, store, on_progress=None):
        self.tail = KeyedTopicTail(
            store=store, topic=REGISTRY_TOPIC, on_progress=on_progress
        )
        self.known = {}

    async def changes(self):
        """Reads the changes since the last call.

        Returns:
            Changed ``WorkerReport`` objects by worker name; None for a worker
            that was removed or whose entry cannot be decoded.

        Raises:
            LogUnavailable: The store refused or could not be reached.
            LinkLost: The store did not answer.
        """
        values, complete = await self.tail.changes()
        changed = {}
        for name, value in values.items():
            report = wire.parse_worker_report(name, value) if value else None
            if value and report is None:
                if self.known.get(name) != value:
                    LOG.warning(
                        "Cannot decode a worker's entry in the registry; "
                        "treating the worker as removed.",
                        fields={"worker": name},
                    )
            self.known[name] = value
            changed[name] = report
        if complete:
            for name in set(self.known) - set(values):
                changed[name] = None
                del self.known[name]
        return changed
