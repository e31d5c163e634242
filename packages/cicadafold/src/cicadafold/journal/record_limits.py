"""Sizes of the records and appends that the store accepts."""

import msgspec

from cicadafold import exception

__all__ = ["RecordLimits"]

# Length of a record, before it in the body of an append.
LENGTH_BYTES = 4
# Length of the key, before it in a record.
KEY_LENGTH_BYTES = 1


class RecordLimits(msgspec.Struct, frozen=True):
    """Limits of the store. A call beyond them is refused, however repeated.

    Attributes:
        record_bytes: Largest size of a record in bytes, key included.
        call_bytes: Largest size of all records of an append in bytes.
    """

    record_bytes: int = 262_144
    call_bytes: int = 2_097_152

    def fits(self, key, value):
        """Whether the store accepts a record.

        Examples:
            >>> RecordLimits(4).fits("a", b"xy")
            True
            >>> RecordLimits(4).fits("a", b"xyz")
            False
        """
        return record_size(key, value) <= self.record_bytes

    def check(self, key, value):
        """Checks that the store accepts a record.

        Raises:
            TooLarge: It does not; the message names the limit.
        """
        if not self.fits(key, value):
            raise exception.TooLarge(
                message=f"The record has {record_size(key, value)} bytes, "
                f"over the store's limit of {self.record_bytes}.",
                remedy="Split the job into several jobs with fewer steps.",
            )

    def split(self, entries, max_entries):
        """Yields entries in groups that the store accepts in one append.

        Args:
            entries: Pairs of key and value, each of which fits.
            max_entries: Most entries of a group.

        Examples:
            >>> limits = RecordLimits(10, 20)
            >>> [len(x) for x in limits.split([("a", b"xyz")] * 3, 9)]
            [2, 1]
        """
        group, size = [], 0
        for key, value in entries:
            entry_size = record_size(key, value) + LENGTH_BYTES
            if group and (
                size + entry_size > self.call_bytes
                or len(group) == max_entries
            ):
                yield group
                group, size = [], 0
            group.append((key, value))
            size += entry_size
        if group:
            yield group


def record_size(key, value):
    """Returns the size of a record in bytes."""
    return KEY_LENGTH_BYTES + len(key.encode()) + len(value)
