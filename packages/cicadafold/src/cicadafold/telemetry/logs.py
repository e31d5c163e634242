"""JSON logs: short sentences with a fixed prefix for each part."""

import logging
import sys

from pythonjsonlogger import json as json_logger

__all__ = ["configure", "get_logger"]

ROOT = "cicadafold"


class PrefixAdapter(logging.LoggerAdapter):
    """Puts the prefix of its part before each sentence."""

    def process(self, msg, kwargs):
        """Adds the prefix and moves keyword fields to the record."""
        fields = kwargs.pop("fields", {})
        kwargs["extra"] = fields
        return f"{self.extra['part']}: {msg}", kwargs


def get_logger(part):
    """Returns the logger of one part of the system.

    Args:
        part: Prefix of the part, for example ``ownership``.
    """
    return PrefixAdapter(logging.getLogger(ROOT), {"part": part})


def configure(*, member, level="INFO", stream=sys.stderr, handler=None):
    """Sends JSON lines to a stream, or to a handler.

    Args:
        member: Name of the entry host, put in each line.
        level: Name of the lowest level that is written.
        stream: Where the lines go.
        handler: Handler to use in place of the stream, or None.
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
