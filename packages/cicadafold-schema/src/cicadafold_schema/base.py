"""Base class of the messages that ``openapi.yaml`` defines."""

import msgspec

__all__ = ["Message"]


class Message(
    msgspec.Struct, kw_only=True, forbid_unknown_fields=True, gc=False
):
    """A message whose decoding fails if there are unknown fields."""
