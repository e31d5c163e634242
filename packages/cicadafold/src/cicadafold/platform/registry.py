"""Follows the registry of workers and the configuration in the store."""

import asyncio

from cicadafold import exception
from cicadafold.platform import wire
from cicadafold.telemetry import logs

__all__ = ["ConfigurationSource", "RegistrySource"]

REGISTRY_TOPIC = "keyed.servers"
OPERATOR_TOPIC = "keyed.op"
PARTITION = 0
CONFIGURATION_KEY = "config"
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

    Attributes:
        offset: Offset of the next record to read, or None before the first
            read.
    """

    def __init__(self, *, store, topic):
        self.store = store
        self.topic = topic
        self.offset = None

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
        if self.offset is not None:
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
        found, self.offset = await self.store.newest(self.topic, PARTITION)
        return {record.key: record.value for record in found}, True


class RegistrySource:
    """Reads the registry of workers.

    Args:
        store: Client of the store.

    Attributes:
        known: Last value of each worker's entry by worker name.
    """

    def __init__(self, *, store):
        self.tail = KeyedTopicTail(store=store, topic=REGISTRY_TOPIC)
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


class ConfigurationSource:
    """Reads the configuration that the operators publish.

    Args:
        store: Client of the store.
    """

    def __init__(self, *, store):
        self.tail = KeyedTopicTail(store=store, topic=OPERATOR_TOPIC)

    async def next(self, *, wait_ms):
        """Waits for a change and returns the newest configuration.

        Args:
            wait_ms: Milliseconds for which the store waits for a change.

        Returns:
            The ``Configuration``, or None if it has not changed or cannot
            be decoded.

        Raises:
            LogUnavailable: The store refused or could not be reached.
            LinkLost: The store did not answer.
        """
        values, complete = await self.tail.changes(wait_ms=wait_ms)
        value = values.get(CONFIGURATION_KEY)
        if not value:
            if complete:
                # The store did not wait, since the topic may not exist yet;
                # yield to the other tasks.
                await asyncio.sleep(0)
            return None
        try:
            return wire.parse_configuration(value)
        except ValueError as error:
            LOG.error(
                "Cannot decode the new configuration; keeping the current "
                "one: %s",
                error,
            )
            return None
