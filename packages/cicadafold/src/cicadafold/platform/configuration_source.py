"""Reads the configuration that the operators publish in the store."""

import msgspec

from cicadafold import exception
from cicadafold.jobs import model
from cicadafold.platform import wire
from cicadafold.telemetry import logs

__all__ = ["ConfigurationSource", "Reading"]

TOPIC = "keyed.op"
PARTITION = 0
KEY = "config"
# An answer of the store takes some tens of milliseconds; a short margin
# detects early that the store no longer answers.
READ_MARGIN_S = 0.4
# Longest time without a part of a large answer, which many hosts may read at
# the same time over one link.
IDLE_S = 1.5
# The store adds no record to the first one that it returns.
FIRST_RECORD_KB = 1

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

    @property
    def margin_s(self):
        """Seconds for an answer; a slow store is given more."""
        return max(READ_MARGIN_S, self.store.usual_gap_ms / 1000)

    async def end(self):
        """Returns the offset at which the topic ends, without its records.

        Raises:
            LogUnavailable, LinkLost: The store did not serve the call.
        """
        return await self.store.end(TOPIC, PARTITION, timeout_s=self.margin_s)

    async def next(self, end, *, wait_ms, max_bytes=None):
        """Waits for the record at the end of the topic and returns it.

        Args:
            end: Offset of the record.
            wait_ms: Milliseconds for which the store waits for it.
            max_bytes: Largest answer to receive; None for one of any size.

        Returns:
            A ``Reading``; its end is ``end`` if there is no record.

        Raises:
            LogUnavailable, LinkLost: The store did not serve the call.
            LogTrimmed: The store has deleted the record.
            AnswerTooLarge: The record is larger than ``max_bytes``.
        """
        page = await self.store.read(
            TOPIC,
            PARTITION,
            end,
            wait_ms=wait_ms,
            max_kb=FIRST_RECORD_KB,
            read_margin_s=self.margin_s if max_bytes is not None else IDLE_S,
            max_bytes=max_bytes,
            patient=max_bytes is None,
        )
        reading = Reading(end + len(page.entries))
        for index, (key, value) in enumerate(page.entries):
            if key == KEY and value:
                fill_reading(reading, value, end + index)
        return reading

    async def newest(self, end, *, max_bytes=None):
        """Reads the newest configuration.

        Args:
            end: Offset at which the topic is known to end.
            max_bytes: Largest answer to receive; None for one of any size.

        Returns:
            A ``Reading``.

        Raises:
            LogUnavailable, LinkLost: The store did not serve the call.
            AnswerTooLarge: The record is larger than ``max_bytes``.
        """
        if end == 0:
            return Reading(0)
        try:
            reading = await self.next(end - 1, wait_ms=0, max_bytes=max_bytes)
        except exception.LogTrimmed:
            reading = Reading(end)
        if reading.revision >= 0:
            return reading
        # The last record has another key, or the store has deleted it.
        found, end = await self.store.newest(TOPIC, PARTITION, patient=True)
        reading = Reading(end)
        for record in found:
            if record.key == KEY and record.value:
                fill_reading(reading, record.value, record.offset)
        return reading


def fill_reading(reading, value, offset):
    """Adds the configuration of a record to a reading.

    Args:
        reading: The ``Reading``.
        value: Value of the record.
        offset: Offset of the record.
    """
    reading.revision = offset
    reading.size = len(value)
    try:
        reading.configuration = wire.parse_configuration(value)
    except ValueError as error:
        LOG.error(
            "Cannot decode the new configuration; keeping the current one: %s",
            error,
            fields={"revision": offset, "source": "store"},
        )
