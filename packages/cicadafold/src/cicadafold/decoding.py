"""Decoders that refuse every bad input with one kind of error."""

import functools
import struct

import msgspec

__all__ = ["UNDECODABLE", "json_decoder", "msgpack_decoder"]

# Raised when the fields of a decoded answer are read, if they are missing or
# of another type.
UNDECODABLE = (
    ArithmeticError,
    AttributeError,
    LookupError,
    TypeError,
    ValueError,
    struct.error,
)


def json_decoder(type=object):
    """Returns a function that decodes JSON into a type.

    It raises ``msgspec.DecodeError``, a ``ValueError``, for every input that
    it cannot decode.

    Examples:
        >>> json_decoder(list[int])(b"[1]")
        [1]
    """
    return refusing_deep_input(msgspec.json.Decoder(type).decode)


def msgpack_decoder(type):
    """Returns a function that decodes MessagePack like ``json_decoder``."""
    return refusing_deep_input(msgspec.msgpack.Decoder(type).decode)


def refusing_deep_input(decode):
    """Wraps a decoder, so that deeply nested input is refused like other.

    A few kilobytes can be nested deeply enough to exceed the recursion limit
    of the interpreter, and a ``RecursionError`` would end the component that
    reads them.
    """

    @functools.wraps(decode)
    def decode_or_refuse(body):
        try:
            return decode(body)
        except RecursionError as error:
            raise msgspec.DecodeError(
                "The input is nested too deeply."
            ) from error

    return decode_or_refuse
