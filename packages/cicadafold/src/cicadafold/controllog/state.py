"""Control state, which each process builds by replaying the control log."""

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
    """A process of the cell, as described by its last join record.

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
    """Owner of a rack; the term is the offset of its claim record."""

    member: str
    incarnation: str
    term: int


class RequestEntry(msgspec.Struct, kw_only=True, omit_defaults=True):
    """A recorded request.

    Attributes:
        coordinator: Name of the process that coordinates the request.
        incarnation: Incarnation of the coordinator.
        nonce: Identifier of the accept record that was applied.
        attempt: Offset of the accept or adopt record that set the current
            coordinator.
        accepted_ms: Log time of the accept record in milliseconds.
        deadline_ms: Milliseconds from the acceptance to the deadline.
        done_ms: Log time of the done record in milliseconds; 0 while the
            request is open.
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
    """State that all processes derive from the order of the control log.

    Attributes:
        offset: Offset of the last applied entry.
        members: Processes by name.
        owners: Owners by name of the rack.
        rack_hosts: Recorded workers by name of the rack.
        requests: Recorded requests by request id, in the order of their
            acceptance.
        configuration: The configuration in force.
        history: Changes of the configuration, the oldest first.
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
