"""JSON logs, in which each subsystem has a message prefix."""

import logging
import sys

from pythonjsonlogger import json as json_logger

__all__ = ["configure", "get_logger"]

ROOT = "cicadafold"


class PrefixAdapter(logging.LoggerAdapter):
    """Adds the prefix of a subsystem to each message."""

    def process(self, msg, kwargs):
        """Adds the prefix, and moves ``fields`` to the log record."""
        fields = kwargs.pop("fields", {})
        kwargs["extra"] = fields
        return f"{self.extra['part']}: {msg}", kwargs


def get_logger(prefix):
    """Returns the logger of a subsystem.

    Args:
        prefix: Prefix of its messages, for example ``ownership``.
    """
    return PrefixAdapter(logging.getLogger(ROOT), {"part": prefix})


def configure(*, member, level="INFO", stream=sys.stderr, handler=None):
    """Configures the logs of this process as lines of JSON.

    Args:
        member: Name of the entry host, added to each line.
        level: Name of the lowest level that is logged.
        stream: Stream to which the lines are written.
        handler: Handler that replaces the stream, or None.
    """
    handler = handler or logging.StreamHandler(stream)
    handler.setFormatter(
        json_logger.JsonFormatter(
            "%(asctime)s %(levelname)s %(message)s",
            static_fields={"member": member},
        )
    )
    logger = logging.getLogger(ROOT)
    logger.handlers[:] = [handler]
    logger.setLevel(level)
    logger.propagate = False
