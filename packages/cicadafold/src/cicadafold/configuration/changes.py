"""Changes between two revisions of the configuration, and their encoding.

The encoding is compressed text: a line with a header, then lines with some
rules each. Encoding and decoding yield to other tasks between the lines, so
that thousands of rules do not stall the process.
"""

import asyncio
import zlib

import msgspec

from cicadafold import decoding
from cicadafold.jobs import model

__all__ = ["WHOLE", "Changes", "decode", "encode"]

# Base of changes that are the whole configuration.
WHOLE = -1
RULES_PER_LINE = 200
COMPRESSION_LEVEL = 3
CHUNK_BYTES = 64 * 1024
MAX_BYTES = 64 * 1024 * 1024


class Changes(msgspec.Struct, kw_only=True):
    """What has changed between two revisions.

    Attributes:
        base: Revision that the changes apply to, or ``WHOLE``.
        revision: Revision that they lead to.
        version: Version of the configuration at that revision.
        pools: ``PoolRule`` of each pool by its name.
        max_body_bytes: Maximum size of a request body in bytes.
        removed: Names of the queues that were removed.
        count: Number of queues at that revision.
        checksum: Checksum of the rules at that revision.
        rules: Rules of the queues that were added or changed, by name; all
            of them if the base is ``WHOLE``.
    """

    base: int
    revision: int
    version: int
    pools: dict[str, model.PoolRule]
    max_body_bytes: int
    removed: list[str]
    count: int
    checksum: int
    rules: dict[str, model.QueueRule] = {}


decode_header = decoding.json_decoder(Changes)
decode_rules = decoding.json_decoder(list[model.QueueRule])
encode_json = msgspec.json.Encoder().encode


async def encode(changes):
    """Encodes changes.

    Returns:
        The encoded changes as bytes.
    """
    compressor = zlib.compressobj(COMPRESSION_LEVEL)
    parts = []
    for line in lines_of(changes):
        parts.append(compressor.compress(line))
        await asyncio.sleep(0)
    parts.append(compressor.flush())
    return b"".join(parts)


def lines_of(changes):
    """Yields the lines of encoded changes."""
    header = msgspec.structs.replace(changes, rules={})
    yield encode_json(header) + b"\n"
    rules = list(changes.rules.values())
    for start in range(0, len(rules), RULES_PER_LINE):
        yield encode_json(rules[start : start + RULES_PER_LINE]) + b"\n"


async def decode(body):
    """Decodes changes.

    Raises:
        msgspec.DecodeError: They cannot be decoded, or are larger than
            ``MAX_BYTES``.
    """
    changes = None
    async for line in decompressed_lines(body):
        if changes is None:
            changes = decode_header(line)
            changes.rules = {}
            continue
        for rule in decode_rules(line):
            changes.rules[rule.name] = rule
    if changes is None:
        raise msgspec.DecodeError("The changes have no header.")
    return changes


async def decompressed_lines(body):
    """Yields the lines of compressed text.

    Raises:
        msgspec.DecodeError: It is truncated, not valid or too large.
    """
    decompressor = zlib.decompressobj()
    rest = b""
    size = 0
    while not decompressor.eof:
        try:
            chunk = decompressor.decompress(body, CHUNK_BYTES)
        except zlib.error as error:
            raise msgspec.DecodeError(
                f"The text cannot be decompressed: {error}."
            ) from error
        body = decompressor.unconsumed_tail
        size += len(chunk)
        if size > MAX_BYTES or not (chunk or body or decompressor.eof):
            raise msgspec.DecodeError(
                f"The text is truncated, or over {MAX_BYTES} bytes."
            )
        *lines, rest = (rest + chunk).split(b"\n")
        for line in lines:
            yield line
            await asyncio.sleep(0)
    if rest:
        raise msgspec.DecodeError("The last line is not complete.")
