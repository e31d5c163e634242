"""Writes log lines without ever waiting, up to a rate."""

import logging
import os
import time

__all__ = ["RateLimitedHandler"]

# Lines a second that a busy scheduler writes, about 150, with room for
# bursts; a line takes about 30 microseconds to write.
LINES_PER_S = 500
BURST_LINES = 1000


class RateLimitedHandler(logging.Handler):
    """Writes to a descriptor; lines over the rate are counted and dropped.

    Args:
        descriptor: Open file descriptor; it is set not to block.
        clock: Function that returns seconds.
    """

    def __init__(self, *, descriptor, clock=time.monotonic):
        super().__init__()
        self.descriptor = descriptor
        self.clock = clock
        self.tokens = float(BURST_LINES)
        self.at_s = clock()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record):
        """Writes one record if the rate allows it."""
        now_s = self.clock()
        gained = (now_s - self.at_s) * LINES_PER_S
        self.at_s = now_s
        self.tokens = min(BURST_LINES, self.tokens + gained)
        if self.tokens < 1:
            self.dropped += 1
            return
        self.tokens -= 1
        if self.dropped:
            count, self.dropped = self.dropped, 0
            self.write(self.report(count))
        self.write(record)

    def report(self, count):
        """Returns a record that tells how many lines were dropped."""
        return logging.LogRecord(
            "cicadafold",
            logging.WARNING,
            __file__,
            0,
            "logs: %s lines were dropped.",
            (count,),
            None,
        )

    def write(self, record):
        """Writes one line; one that would have to wait is dropped."""
        try:
            line = self.format(record) + "\n"
            os.write(self.descriptor, line.encode())
        except BlockingIOError:
            self.dropped += 1
        except Exception:
            self.handleError(record)
