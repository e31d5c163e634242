"""Reads the configuration that the operators publish in the store."""

import asyncio

import msgspec

from cicadafold import exception
from cicadafold.jobs import model
from cicadafold.platform import wire_configuration
from cicadafold.telemetry import logs

__all__ = ["ConfigurationSource", "Reading"]

TOPIC = "keyed.op"
PARTITION = 0
KEY = "config"
# An answer without records takes some tens of milliseconds; a short margin
# detects early that the store no longer answers.
END_TIMEOUT_S = 0.4
# Longest time without a part of a large answer, which many hosts may read at
# the same time over one link.
IDLE_S = 1.5
# The store adds no record to the first one that it returns.
FIRST_RECORD_KB = 1
MS_PER_S = 1000

LOG = logs.get_logger("configuration")


class Reading(msgspec.Struct):
    """Result of a read.

    Attributes:
        end: Offset up to which the topic is known.
        revision: Offset of the record of the configuration, -1 if none was
            read.
        configuration: The ``Configuration``; None if none was read or it
            cannot be decoded.
        size: Size of its record in bytes.
    """

    end: int
    revision: int = -1
    configuration: model.Configuration | None = None
    size: int = 0


class ConfigurationSource:
    """Reads the operators' topic.

    Args:
        store: Client of the store.
    """

    def __init__(self, *, store):
        self.store = store

    async def end(self):
        """Returns the offset at which the topic ends, without its records.

        Raises:
            LogUnavailable, LinkLost: The store did not serve the call.
        """
        usual_s = self.store.usual_gap_ms / MS_PER_S
        return await self.store.end(
            TOPIC, PARTITION, timeout_s=max(END_TIMEOUT_S, usual_s)
        )

    async def next(self, end, *, wait_ms):
        """Waits for the record at the end of the topic and returns it.

        Args:
            end: Offset of the record.
            wait_ms: Milliseconds for which the store waits for it.

        Returns:
            A ``Reading``; its end is ``end`` if there is no record.

        Raises:
            LogUnavailable, LinkLost: The store did not serve the call.
            LogTrimmed: The store has deleted the record.
        """
        page = await self.store.read(
            TOPIC,
            PARTITION,
            end,
            wait_ms=wait_ms,
            max_kb=FIRST_RECORD_KB,
            read_margin_s=IDLE_S,
        )
        reading = Reading(end + len(page.entries))
        for index, (key, value) in enumerate(page.entries):
            if key == KEY and value:
                await fill_reading(reading, value, end + index)
        return reading

    async def newest(self, end):
        """Reads the newest configuration.

        Args:
            end: Offset at which the topic is known to end.

        Returns:
            A ``Reading``.

        Raises:
            LogUnavailable, LinkLost: The store did not serve the call.
        """
        if end == 0:
            return Reading(0)
        try:
            reading = await self.next(end - 1, wait_ms=0)
        except exception.LogTrimmed:
            reading = Reading(end)
        if reading.revision >= 0:
            return reading
        # The last record has another key, or the store has deleted it.
        found, end = await self.store.newest(TOPIC, PARTITION)
        reading = Reading(end)
        for record in found:
            if record.key == KEY and record.value:
                await fill_reading(reading, record.value, record.offset)
        return reading


async def fill_reading(reading, value, offset):
    """Adds the configuration of a record to a reading.

    Args:
        reading: The ``Reading``.
        value: Value of the record.
        offset: Offset of the record.
    """
    reading.revision = offset
    reading.size = len(value)
    try:
        parser = wire_configuration.configuration_parser(value)
        reading.configuration = await run_in_steps(parser)
    except ValueError as error:
        LOG.error(
            "Cannot decode the new configuration; keeping the current one: %s",
            error,
            fields={"revision": offset, "source": "store"},
        )


async def run_in_steps(steps):
    """Runs a generator to its end and lets other tasks run in between.

    Returns:
        The value that the generator returns.
    """
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return stop.value
        await asyncio.sleep(0)
