"""Base class of every message that the schema file defines."""

import msgspec

__all__ = ["Message"]


class Message(
    msgspec.Struct, kw_only=True, forbid_unknown_fields=True, gc=False
):
    """A message that refuses unknown fields when it is decoded."""
