"""Binary encoding of records in the calls to the platform's store."""

import struct

__all__ = [
    "decode_keyed",
    "decode_records",
    "encode_keyed",
    "encode_records",
]

# Length of a record in bytes, before the record.
LENGTH = struct.Struct(">I")
# End and first retained offset of the partition, before the records.
BOUNDS = struct.Struct(">QQ")


def encode_records(records):
    """Encodes records as the body of an append.

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
    """Decodes the body of the answer to a read.

    Args:
        body: Two offsets of 8 bytes, then each record after its length.

    Returns:
        Tuple of the offset at which the partition ends, the first offset
        that it retains, and the list of records. A record that is truncated
        at the end of the body is left out.
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


def encode_keyed(key, value=b""):
    """Encodes a record of a keyed topic.

    Args:
        key: Key of the record, at most 255 bytes in UTF-8.
        value: Value of the key; an empty one deletes the key.

    Examples:
        >>> encode_keyed("a", b"bc")
        b'\\x01abc'
    """
    name = key.encode()
    return bytes((len(name),)) + name + value


def decode_keyed(record):
    """Decodes a record of a keyed topic into its key and value.

    Examples:
        >>> decode_keyed(b"\\x01abc")
        ('a', b'bc')
    """
    if not record:
        return "", b""
    size = record[0]
    name = record[1 : 1 + size]
    return name.decode(errors="replace"), record[1 + size :]
