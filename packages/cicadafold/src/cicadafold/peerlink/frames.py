"""Frames sent over the links between members, encoded as JSON arrays."""

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

    A dispatch may be repeated: an owner that already has the request sends
    its reply to the new sender as well.

    Attributes:
        serial: Serial number that the reply repeats.
        rack: Name of the rack.
        attempt: Offset of the control record that made the sender the
            coordinator; 0 for requests that are not recorded.
        first: False if the request may have been dispatched before.
        budget_ms: Time left until the deadline, in milliseconds.
        age_ms: Time since the request may first have been dispatched, in
            milliseconds.
        hops: Number of times that the request was redirected.
        spent_us: Time that the sender spent on choosing a rack, in
            microseconds.
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

    A reply of ``ABSENT`` proves that the rack does not have the request:
    every worker of the rack has been inventoried in the owner's term, and
    dispatches of coordinators before ``attempt`` are refused from then on.
    For a request that is not idempotent it also proves that no worker was
    restarted since the request was accepted; if one was, the reply is
    ``UNKNOWN``.

    Attributes:
        serial: Serial number that the reply repeats.
        rack: Name of the rack.
        attempt: Offset of the control record that made the sender the
            coordinator.
        age_ms: Time since the request may first have been dispatched, in
            milliseconds.
        idempotent: Whether the request may run more than once.
    """

    serial: int
    rack: str
    request_id: str
    attempt: int
    age_ms: int
    idempotent: bool


class ReplyStatus(enum.Enum):
    """Status of a request in the reply of the owner of a rack."""

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
    """Reply of the owner of a rack to any frame.

    Attributes:
        serial: Serial number of the frame.
        started: Whether a target may have started the request.
        worker: Name of the worker that ran the request.
        rack: Name of the rack that a redirected request should go to.
        code: Error code of a refusal.
        text: Error message or reason.
        retry_after_ms: Time after which the caller may repeat a refused
            request, in milliseconds.
        waited_us: Time in the owner's queue, in microseconds.
        decision_us: Time that the sender and the owner spent on placement,
            in microseconds.
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
