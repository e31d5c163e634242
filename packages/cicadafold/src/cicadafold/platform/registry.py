"""Reads the registry of workers and the configuration from the store."""

import asyncio

from cicadafold import exception
from cicadafold.platform import wire
from cicadafold.telemetry import logs

__all__ = ["ConfigurationSource", "RegistrySource"]

REGISTRY_TOPIC = "keyed.servers"
OPERATOR_TOPIC = "keyed.op"
PARTITION = 0
CONFIGURATION_KEY = "config"
# Soon notices a store that has fallen silent; an answer takes some tens of
# milliseconds.
READ_MARGIN_S = 0.4

LOG = logs.get_logger("registry")


class KeyedTopicTail:
    """Reads a keyed topic: newest records first, then what follows.

    Args:
        store: Client of the store.
        topic: Name of the topic.
    """

    def __init__(self, *, store, topic):
        self.store = store
        self.topic = topic
        self.offset = None

    async def changes(self, *, wait_ms=0):
        """Returns what has changed since the last call.

        Returns:
            Newest value by key, empty bytes for dropped keys; and whether
            these are all keys there are.
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
                    "The history is gone; the newest records are read.",
                    fields={"topic": self.topic},
                )
            else:
                self.offset += len(page.entries)
                return dict(page.entries), False
        found, self.offset = await self.store.newest(self.topic, PARTITION)
        return {record.key: record.value for record in found}, True


class RegistrySource:
    """The registry of workers.

    Args:
        store: Client of the store.
    """

    def __init__(self, *, store):
        self.tail = KeyedTopicTail(store=store, topic=REGISTRY_TOPIC)
        self.known = {}

    async def changes(self):
        """Returns changed reports by worker; None for those that are gone.

        Raises:
            LogUnavailable: The store does not answer.
        """
        values, whole = await self.tail.changes()
        changed = {}
        for name, value in values.items():
            report = wire.parse_host_report(name, value) if value else None
            if value and report is None:
                if self.known.get(name) != value:
                    LOG.warning(
                        "An entry of the registry is unreadable.",
                        fields={"worker": name},
                    )
            self.known[name] = value
            changed[name] = report
        if whole:
            for name in set(self.known) - set(values):
                changed[name] = None
                del self.known[name]
        return changed


class ConfigurationSource:
    """The configuration that the operators publish.

    Args:
        store: Client of the store.
    """

    def __init__(self, *, store):
        self.tail = KeyedTopicTail(store=store, topic=OPERATOR_TOPIC)

    async def next(self, *, wait_ms):
        """Waits for a change and returns the newest configuration.

        Returns:
            The configuration, or None if it has not changed.

        Raises:
            LogUnavailable: The store does not answer.
        """
        values, whole = await self.tail.changes(wait_ms=wait_ms)
        value = values.get(CONFIGURATION_KEY)
        if not value:
            if whole:
                # Nothing to wait on yet: the topic may not exist.
                await asyncio.sleep(0)
            return None
        try:
            return wire.parse_configuration(value)
        except ValueError as error:
            LOG.error("The configuration cannot be read: %s", error)
            return None
