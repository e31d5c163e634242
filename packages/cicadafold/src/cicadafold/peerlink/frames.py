"""Frames on the links between members, as JSON arrays."""

import enum

import msgspec

__all__ = [
    "CancelFrame",
    "Dispatch",
    "Locate",
    "Reply",
    "ReplyStatus",
    "decode_calls",
    "decode_replies",
    "encode",
]


class FrameBase(
    msgspec.Struct, kw_only=True, array_like=True, tag=True, gc=False
):
    """Base of all frames."""


class Dispatch(FrameBase, tag="d"):
    """Asks the owner of a rack to run a request.

    Sending a dispatch again is safe: an owner that knows the request
    attaches the sender to it.

    Attributes:
        serial: Number that the reply repeats.
        attempt: Offset of the record that makes the sender coordinator;
            0 for requests that are not recorded.
        first: False if the request may have been dispatched before.
        budget_ms: Milliseconds left until the deadline.
        age_ms: Milliseconds since a dispatch may first have been sent.
        hops: How often the request was redirected.
        spent_us: Microseconds that the sender spent on deciding.
    """

    serial: int
    rack: str
    request_id: str
    kind: str
    team: str
    payload: str
    attempt: int
    first: bool
    budget_ms: int
    age_ms: int
    hops: int
    spent_us: int


class CancelFrame(FrameBase, tag="c"):
    """Asks the owner of a rack to cancel a request."""

    serial: int
    rack: str
    request_id: str


class Locate(FrameBase, tag="l"):
    """Asks whether the owner of a rack knows a recorded request.

    An answer of ``ABSENT`` is a proof: every worker of the rack has been
    inventoried under the owner's term, and dispatches of coordinators
    before ``attempt`` are refused from then on. For a request that is not
    idempotent it also proves that no worker has been booted since the
    request was accepted; ``UNKNOWN`` says that one has.
    """

    serial: int
    rack: str
    request_id: str
    attempt: int
    age_ms: int
    idempotent: bool


class ReplyStatus(enum.Enum):
    """How the owner of a rack answers."""

    DONE = "done"
    RUNNING = "running"
    FAILED = "failed"
    MOVED = "moved"
    REDIRECT = "redirect"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"
    KNOWN = "known"
    ABSENT = "absent"


class Reply(FrameBase, tag="a"):
    """Answer of the owner of a rack.

    Attributes:
        started: Whether a target may have started the request.
        rack: Where a redirected request goes.
        code: Error code of a refusal.
        waited_us: Microseconds in the owner's queue.
        decision_us: Microseconds that the owner spent on deciding.
    """

    serial: int
    status: ReplyStatus
    started: bool = False
    result: str = ""
    worker: str = ""
    rack: str = ""
    code: str = ""
    text: str = ""
    retry_after_ms: int = 0
    waited_us: int = 0
    decision_us: int = 0


encode = msgspec.json.Encoder().encode
decode_calls = msgspec.json.Decoder(
    list[Dispatch | CancelFrame | Locate]
).decode
decode_replies = msgspec.json.Decoder(list[Reply]).decode
