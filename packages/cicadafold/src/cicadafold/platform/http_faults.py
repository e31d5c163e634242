"""Keeps the content of malformed HTTP requests out of the logs.

The HTTP library logs the line that it cannot parse, which may hold the key of
a caller.
"""

import logging

from aiohttp import http_exceptions

from cicadafold import clock

__all__ = ["hide_requests"]

SERVER_LOGGER = "aiohttp.server"
# Pause between two log lines about malformed requests.
LOG_PAUSE_MS = 1000.0


class MalformedRequestFilter:
    """Log filter that removes the error, and most of a flood of lines.

    Attributes:
        logged_ms: Monotonic time of the last line in milliseconds.
        malformed: Number of malformed requests since then.
    """

    def __init__(self):
        self.logged_ms = -LOG_PAUSE_MS
        self.malformed = 0

    def filter(self, record):
        """Returns whether a log record is written."""
        error = record.exc_info[1] if record.exc_info else None
        if not isinstance(error, http_exceptions.HttpProcessingError):
            return True
        self.malformed += 1
        now_ms = clock.monotonic_ms()
        if now_ms - self.logged_ms < LOG_PAUSE_MS:
            return False
        self.logged_ms = now_ms
        record.msg = "%s malformed HTTP requests were refused: %s."
        record.args = (self.malformed, type(error).__name__)
        record.exc_info = None
        self.malformed = 0
        return True


def hide_requests():
    """Adds the filter to the logger of the HTTP library, once."""
    logger = logging.getLogger(SERVER_LOGGER)
    if not any(
        isinstance(each, MalformedRequestFilter) for each in logger.filters
    ):
        logger.addFilter(MalformedRequestFilter())
