"""Decodes the answers of the platform's store."""

import base64

import msgspec

from cicadafold import decoding
from cicadafold import exception
from cicadafold.platform import codec
from cicadafold.telemetry import logs

__all__ = [
    "AppendResult",
    "Membership",
    "NewestPage",
    "NewestRecord",
    "Page",
    "decode_appended",
    "decode_membership",
    "decode_newest",
    "decode_page",
    "expected_sequence",
    "parse_object",
    "unavailable_error",
    "unexpected_status_error",
]

LOG = logs.get_logger("store")
decode_json = decoding.json_decoder()


class AppendResult(msgspec.Struct, frozen=True):
    """Offset of the first appended record, and the partition's new end."""

    offset: int
    end: int


class Page(msgspec.Struct, frozen=True):
    """One page of consecutive records of a keyed topic.

    Attributes:
        end: Offset at which the partition ends.
        entries: Pairs of key and value; an empty value deletes the key.
    """

    end: int
    entries: list[tuple[str, bytes]]


class NewestRecord(msgspec.Struct, frozen=True):
    """The newest record of a key."""

    key: str
    value: bytes
    offset: int


class NewestPage(msgspec.Struct, frozen=True):
    """One page of the newest records of a partition.

    Attributes:
        end: Offset at which the partition ended.
        records: ``NewestRecord`` objects of the page.
        next_after: Key after which the next page starts, empty if this is
            the last one.
    """

    end: int
    records: list[NewestRecord]
    next_after: str


class Membership(msgspec.Struct, frozen=True):
    """Membership of a process in a group.

    Attributes:
        generation: Number of the group's last change.
        assigned: Pairs of topic and partition assigned to the process.
    """

    generation: int
    assigned: list[tuple[str, int]]


def parse_object(body):
    """Decodes a JSON object; returns an empty one if that fails."""
    try:
        found = decode_json(body)
    except ValueError as error:
        LOG.warning("An answer of the store cannot be decoded: %s", error)
        return {}
    return found if isinstance(found, dict) else {}


def decode_object(body):
    """Decodes a JSON object.

    An answer that was received in part must not read as an empty one.

    Raises:
        ValueError: The body is not a JSON object.
    """
    found = decode_json(body)
    if not isinstance(found, dict):
        raise ValueError("the answer is not a JSON object")
    return found


def decode_appended(body):
    """Decodes the offsets in the answer to an append.

    Raises:
        LinkLost: The answer cannot be decoded; the append may have been
            executed.
    """
    try:
        answer = decode_object(body)
        return AppendResult(
            int(answer.get("offset", 0)), int(answer.get("end", 0))
        )
    except decoding.UNDECODABLE as error:
        raise exception.LinkLost(
            message=f"The answer to log-append cannot be decoded: {error!r}.",
            remedy="Repeat the append; records carry their keys.",
        ) from error


def decode_page(body):
    """Decodes the answer to a read.

    Raises:
        LogUnavailable: It cannot be decoded.
    """
    try:
        end, _, found = codec.decode_records(body)
    except decoding.UNDECODABLE as error:
        raise undecodable_error("log-read", error) from error
    return Page(end, [codec.decode_keyed(item) for item in found])


def decode_newest(body):
    """Decodes one page of newest records; records not valid are skipped.

    Raises:
        LogUnavailable: It cannot be decoded.
    """
    try:
        answer = decode_object(body)
        items = list(answer.get("items") or ())
        more = answer.get("hasMore") and items
        return NewestPage(
            int(answer.get("end", 0)),
            [*filter(None, map(newest_record, items))],
            str(items[-1]["key"]) if more else "",
        )
    except decoding.UNDECODABLE as error:
        raise undecodable_error("log-newest", error) from error


def decode_membership(body):
    """Decodes the answer to joining a group.

    Raises:
        LogUnavailable: It cannot be decoded.
    """
    try:
        answer = decode_object(body)
        return Membership(
            int(answer.get("generation", 0)),
            [(row[0], int(row[1])) for row in answer.get("parts") or ()],
        )
    except decoding.UNDECODABLE as error:
        raise undecodable_error("log-join", error) from error


def undecodable_error(name, error):
    """Returns the exception for an answer that cannot be decoded."""
    return unavailable_error(name, f"its answer is not valid: {error!r}")


def expected_sequence(answer):
    """Returns the sequence number in a refusal, -1 if it has none."""
    for name in ("sequence", "expected", "seq"):
        if isinstance(answer.get(name), int):
            return answer[name]
    return -1


def newest_record(item):
    """Decodes a listed record; returns None if its fields are not valid."""
    try:
        if not isinstance(item["key"], str):
            raise ValueError("its key is not a text")
        return NewestRecord(
            item["key"],
            base64.b64decode(item["value"]),
            int(item.get("offset", 0)),
        )
    except decoding.UNDECODABLE as error:
        LOG.warning(
            "A record in an answer of the store cannot be decoded and is "
            "skipped: %r",
            error,
        )
        return None


def unavailable_error(name, reason):
    """Returns the exception for a call that had no effect."""
    return exception.LogUnavailable(
        message=f"The store did not execute {name}: {reason}.",
        remedy="Try again after a pause.",
    )


def unexpected_status_error(operation, status):
    """Returns the exception for a status that the API does not define."""
    return exception.LogUnavailable(
        message=f"The {operation} was answered with status {status}.",
        remedy="Check the store's version.",
    )
