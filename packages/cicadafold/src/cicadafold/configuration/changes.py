"""Changes between two revisions of the configuration, and their encoding.

The encoding is compressed text: a line with a header, then lines with some
rules each, as arrays, then lines with some keys each, as objects. Encoding and
decoding yield to other tasks between the lines, so that thousands of rules or
keys do not stall the process.
"""

import asyncio
import itertools
import zlib

import msgspec

from cicadafold import decoding
from cicadafold.jobs import model
from cicadafold.teams import model as team_model

__all__ = ["WHOLE", "Changes", "decode", "encode"]

# Base of changes that are the whole configuration.
WHOLE = -1
RULES_PER_LINE = 200
KEYS_PER_LINE = 2000
KEYS_MARK = b"{"
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
        checksum: Checksum of the rules, teams and keys at that revision.
        rules: Rules of the queues that were added or changed, by name; all
            of them if the base is ``WHOLE``.
        teams: Rules of all teams by name; None if they have not changed. If
            the base is ``WHOLE``, None means that the cell has no teams.
        keys: Team by digest of all keys; None if they have not changed.
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
    teams: dict[team_model.TeamName, team_model.TeamRule] | None = None
    keys: dict[team_model.KeyDigest, team_model.TeamName] | None = None


decode_header = decoding.json_decoder(Changes)
decode_rules = decoding.json_decoder(list[model.QueueRule])
decode_keys = decoding.json_decoder(
    dict[team_model.TeamName, list[team_model.KeyDigest]]
)
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
    header = msgspec.structs.replace(
        changes, rules={}, keys=None if changes.keys is None else {}
    )
    yield encode_json(header) + b"\n"
    rules = list(changes.rules.values())
    for start in range(0, len(rules), RULES_PER_LINE):
        yield encode_json(rules[start : start + RULES_PER_LINE]) + b"\n"
    keys = iter((changes.keys or {}).items())
    while some := list(itertools.islice(keys, KEYS_PER_LINE)):
        # The name of a team is written once for all its keys in a line.
        by_team = {}
        for digest, team in some:
            by_team.setdefault(team, []).append(digest)
        yield encode_json(by_team) + b"\n"


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
            if changes.keys is not None:
                changes.keys = {}
            continue
        if line.startswith(KEYS_MARK):
            add_keys(changes, line)
            continue
        for rule in decode_rules(line):
            changes.rules[rule.name] = rule
    if changes is None:
        raise msgspec.DecodeError("The changes have no header.")
    return changes


def add_keys(changes, line):
    """Adds the keys of a line to changes.

    Raises:
        msgspec.DecodeError: The line cannot be decoded, or the header
            announces no keys.
    """
    if changes.keys is None:
        raise msgspec.DecodeError("The header announces no keys.")
    for team, digests in decode_keys(line).items():
        changes.keys.update(dict.fromkeys(digests, team))


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
