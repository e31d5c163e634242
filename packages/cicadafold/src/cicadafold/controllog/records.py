"""Records of the control stream.

One entry of the log is a JSON array of records, as a process appends all
records that gathered while its last append was under way.
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
    """Base of all records."""


class Join(RecordBase, tag="join"):
    """A process has started; a newer join of a name replaces it."""

    member: str
    incarnation: str
    address: str
    failure_domain: str
    region: str


class Leave(RecordBase, tag="leave"):
    """A process stops for good, or was found dead by another."""

    member: str
    incarnation: str


class Claim(RecordBase, tag="claim"):
    """Makes a member the owner of a rack.

    The claim holds only if the rack's term is still ``previous``. The
    offset of the entry becomes the new term.

    Attributes:
        writer: Member that wrote the claim, if it is another one that
            hands the rack over.
    """

    rack: str
    member: str
    incarnation: str
    previous: int
    writer: str = ""


class RackHosts(RecordBase, tag="hosts"):
    """The workers that an owner may start tasks on.

    Whoever owns the rack next must read the inventory of each of them,
    also of those that the platform's list no longer shows. The record
    holds only if the rack's term is still ``term``.
    """

    rack: str
    term: int
    hosts: list[platform.HostEntry]


class Accept(RecordBase, tag="accept"):
    """A durable or non-idempotent request is accepted."""

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
    """Makes a member the coordinator of a request.

    The adoption holds only if the request's attempt is still ``previous``.
    """

    request_id: str
    member: str
    incarnation: str
    previous: int


class Done(RecordBase, tag="done"):
    """The final outcome of a recorded request; the first one holds."""

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

    The change holds only if the revision is still ``base_revision``.
    """

    change_id: str
    base_revision: int
    author: str
    configuration: messages.Configuration


class Snapshot(RecordBase, tag="snapshot"):
    """The whole folded state after the entry at ``through``.

    Attributes:
        through: Offset of the last entry that the state contains.
        state: The folded state as JSON.
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
