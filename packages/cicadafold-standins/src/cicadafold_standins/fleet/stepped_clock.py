"""Time of day with steps, set from outside the process."""

import mmap
import struct
import time

__all__ = ["OFFSET_VARIABLE", "OffsetFile", "SteppedClock"]

# Environment variable that names the file with the offset.
OFFSET_VARIABLE = "CICADAFOLD_CLOCK_OFFSET_FILE"
OFFSET = struct.Struct("=d")
MS_PER_S = 1000


class OffsetFile:
    """File that holds the offset of a clock.

    Args:
        path: Path of the file, which is created with an offset of 0.
    """

    def __init__(self, path):
        self.path = path
        path.write_bytes(OFFSET.pack(0.0))

    def set(self, offset_ms):
        """Sets the offset in milliseconds."""
        with self.path.open("r+b") as file:
            file.write(OFFSET.pack(offset_ms))


class SteppedClock:
    """Unix time plus the offset that a file holds.

    Args:
        path: Path of the file.
    """

    def __init__(self, path):
        with path.open("rb") as file:
            self.memory = mmap.mmap(
                file.fileno(), OFFSET.size, access=mmap.ACCESS_READ
            )

    def wall_ms(self):
        """Returns Unix time in milliseconds, plus the offset."""
        (offset_ms,) = OFFSET.unpack(self.memory[:])
        return time.time() * MS_PER_S + offset_ms
