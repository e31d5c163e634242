"""State that every member folds from the control stream."""

from cicadafold.platform import messages as platform
from cicadafold_schema import messages
import msgspec

__all__ = [
    "ControlState",
    "MemberEntry",
    "Ownership",
    "RequestEntry",
    "is_open",
]


class MemberEntry(msgspec.Struct, kw_only=True):
    """A member as its last join record describes it.

    Attributes:
        joined_at: Offset of the join record.
        left: Whether this incarnation has left.
    """

    name: str
    incarnation: str
    address: str
    failure_domain: str
    region: str
    joined_at: int
    left: bool = False


class Ownership(msgspec.Struct, kw_only=True):
    """Owner of a rack; the term is the offset of its claim."""

    member: str
    incarnation: str
    term: int


class RequestEntry(msgspec.Struct, kw_only=True, omit_defaults=True):
    """A recorded request.

    Attributes:
        attempt: Offset of the accept or adopt record that holds.
        accepted_ms: Log time of the accept record in milliseconds.
        done_ms: Log time of the done record; 0 while open.
    """

    request_id: str
    coordinator: str
    incarnation: str
    nonce: str
    attempt: int
    kind: str
    team: str
    region: str
    accepted_ms: int
    deadline_ms: int
    payload: str = ""
    cancelled: bool = False
    outcome: messages.Outcome | None = None
    result: str = ""
    worker: str = ""
    code: str = ""
    done_ms: int = 0


class ControlState(msgspec.Struct, kw_only=True):
    """Everything that is agreed by the order of the control stream.

    Attributes:
        offset: Offset of the last folded entry.
    """

    offset: int = 0
    members: dict[str, MemberEntry] = {}
    owners: dict[str, Ownership] = {}
    rack_hosts: dict[str, list[platform.HostEntry]] = {}
    requests: dict[str, RequestEntry] = {}
    configuration: messages.Configuration = msgspec.field(
        default_factory=lambda: messages.Configuration(
            revision=0, kinds=[], teams=[]
        )
    )
    history: list[messages.HistoryEntry] = []


def is_open(entry):
    """Whether a recorded request has no final outcome yet."""
    return entry.outcome is None
