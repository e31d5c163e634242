"""Log handler that never blocks and limits the rate of lines."""

import logging
import os
import time

__all__ = ["RateLimitedHandler"]

# A busy scheduler writes about 150 lines a second; the limits leave a margin
# for bursts. Writing a line takes about 30 microseconds.
LINES_PER_S = 500
BURST_LINES = 1000
# Lines beyond the burst that only warnings and errors may use.
RESERVED_LINES = 200


class RateLimitedHandler(logging.Handler):
    """Writes log lines to a file descriptor at a limited rate.

    The limit is a token bucket. Lines that exceed it, and lines for which
    the descriptor would block, are dropped; the next line that is written
    follows a line with their number. Warnings and errors
    may use ``RESERVED_LINES`` more than other lines.

    Args:
        descriptor: Open file descriptor, which is set to non-blocking.
        clock: Function that returns the monotonic time in seconds.

    Attributes:
        tokens: Number of lines that may be written at once.
        updated_s: Time at which ``tokens`` was last increased.
        dropped: Lines dropped since the last report of their number.
    """

    def __init__(self, *, descriptor, clock=time.monotonic):
        super().__init__()
        self.descriptor = descriptor
        self.clock = clock
        self.tokens = float(BURST_LINES + RESERVED_LINES)
        self.updated_s = clock()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record):
        """Writes a log record, or drops it if the rate is exceeded."""
        now_s = self.clock()
        gained = (now_s - self.updated_s) * LINES_PER_S
        self.updated_s = now_s
        self.tokens = min(BURST_LINES + RESERVED_LINES, self.tokens + gained)
        urgent = record.levelno >= logging.WARNING
        if self.tokens < (1 if urgent else 1 + RESERVED_LINES):
            self.dropped += 1
            return
        self.tokens -= 1
        if self.dropped:
            count, self.dropped = self.dropped, 0
            self.write(self.report(count))
        self.write(record)

    def report(self, count):
        """Returns a log record with the number of dropped lines."""
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
        """Writes a log record as one line, or drops it if that would block."""
        try:
            line = self.format(record) + "\n"
            os.write(self.descriptor, line.encode())
        except BlockingIOError:
            self.dropped += 1
        except Exception:
            self.handleError(record)
