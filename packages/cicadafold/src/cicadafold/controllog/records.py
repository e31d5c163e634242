"""Records of the control log.

An entry of the log is a JSON array of records, because a process appends the
records together that were queued while its last append was under way.
"""

from cicadafold.platform import messages as platform
from cicadafold_schema import messages
import msgspec

__all__ = [
    "Accept",
    "Adopt",
    "CancelMark",
    "Change",
    "Claim",
    "Done",
    "Join",
    "Leave",
    "RackHosts",
    "Record",
    "Snapshot",
    "decode_entry",
    "encode_entry",
]


class RecordBase(
    msgspec.Struct,
    kw_only=True,
    tag_field="t",
    omit_defaults=True,
    gc=False,
):
    """Base class of all control records."""


class Join(RecordBase, tag="join"):
    """A process has started; a later join of the same name replaces it."""

    member: str
    incarnation: str
    address: str
    failure_domain: str
    region: str


class Leave(RecordBase, tag="leave"):
    """A process has stopped, or another process found that it failed."""

    member: str
    incarnation: str


class Claim(RecordBase, tag="claim"):
    """Makes a process the owner of a rack.

    The claim has an effect only if the rack's term is still ``previous``.
    The offset of its entry becomes the new term.

    Attributes:
        member: Name of the new owner.
        previous: Term of the rack that the claim ends; 0 for the first one.
        writer: Name of the process that hands the rack over by this claim;
            empty if the new owner wrote the claim itself.
    """

    rack: str
    member: str
    incarnation: str
    previous: int
    writer: str = ""


class RackHosts(RecordBase, tag="hosts"):
    """The workers on which the owner of a rack may start tasks.

    The next owner must read the inventory of each of them, including those
    that are no longer in the platform's list of workers. The record has an
    effect only if the rack's term is still ``term``.
    """

    rack: str
    term: int
    hosts: list[platform.HostEntry]


class Accept(RecordBase, tag="accept"):
    """A durable or non-idempotent request is accepted.

    Attributes:
        member: Name of the process that coordinates the request.
        nonce: Identifier of this record, by which its writer recognizes
            whether this or another accept record was applied.
        region: Region that the request comes from.
        deadline_ms: Milliseconds from the acceptance to the deadline.
    """

    request_id: str
    member: str
    incarnation: str
    nonce: str
    kind: str
    team: str
    region: str
    deadline_ms: int
    payload: str = ""


class Adopt(RecordBase, tag="adopt"):
    """Makes a process the coordinator of an open request.

    The record has an effect only if the request's attempt is still
    ``previous``. The offset of its entry becomes the new attempt.
    """

    request_id: str
    member: str
    incarnation: str
    previous: int


class Done(RecordBase, tag="done"):
    """The final outcome of a recorded request; only the first has effect."""

    request_id: str
    outcome: messages.Outcome
    result: str = ""
    worker: str = ""
    code: str = ""


class CancelMark(RecordBase, tag="cancel"):
    """A caller has cancelled a recorded request."""

    request_id: str


class Change(RecordBase, tag="change"):
    """A change of the configuration.

    The change has an effect only if the revision is still
    ``base_revision``.
    """

    change_id: str
    base_revision: int
    author: str
    configuration: messages.Configuration


class Snapshot(RecordBase, tag="snapshot"):
    """The whole state after the entry at ``through`` was applied.

    Attributes:
        through: Offset of the last entry that the state contains.
        state: The ``ControlState`` as JSON.
    """

    through: int
    state: msgspec.Raw


Record = (
    Join
    | Leave
    | Claim
    | RackHosts
    | Accept
    | Adopt
    | Done
    | CancelMark
    | Change
    | Snapshot
)

encode_entry = msgspec.json.Encoder().encode
decode_entry = msgspec.json.Decoder(list[Record]).decode
