"""Binary framing of the records in the platform's log."""

import struct

__all__ = [
    "encode_records",
    "encode_keyed_record",
    "decode_keyed_record",
    "decode_records",
]

LENGTH = struct.Struct(">I")
BOUNDS = struct.Struct(">QQ")


def encode_records(records):
    """Returns the body of an append.

    Examples:
        >>> encode_records([b"ab"])
        b'\\x00\\x00\\x00\\x02ab'
    """
    parts = []
    for record in records:
        parts.append(LENGTH.pack(len(record)))
        parts.append(record)
    return b"".join(parts)


def decode_records(body):
    """Splits the body of a read.

    Args:
        body: Two bounds of 8 bytes, then records with their lengths.

    Returns:
        End of the partition, first retained offset, list of records. A
        record that is cut off at the end is left out.
    """
    end, first = BOUNDS.unpack_from(body)
    records = []
    at = BOUNDS.size
    while at + LENGTH.size <= len(body):
        (length,) = LENGTH.unpack_from(body, at)
        at += LENGTH.size
        if at + length > len(body):
            break
        records.append(body[at : at + length])
        at += length
    return end, first, records


def encode_keyed_record(key, value=b""):
    """Returns a record of a keyed topic; no value drops the key.

    Examples:
        >>> encode_keyed_record("a", b"bc")
        b'\\x01abc'
    """
    name = key.encode()
    return bytes((len(name),)) + name + value


def decode_keyed_record(record):
    """Splits a record of a keyed topic into key and value.

    Examples:
        >>> decode_keyed_record(b"\\x01abc")
        ('a', b'bc')
    """
    if not record:
        return "", b""
    size = record[0]
    name = record[1 : 1 + size]
    return name.decode(errors="replace"), record[1 + size :]
