"""Messages of the gossip between members."""

import enum

import msgspec

__all__ = ["Digest", "Gossip", "Heartbeat", "HeartbeatFlags"]


class HeartbeatFlags(enum.IntFlag):
    """State of a member that its heartbeat reports.

    Attributes:
        DRAINING: The member accepts no new requests and is about to leave.
        UNREACHABLE: The sender could not connect to the member.
    """

    NONE = 0
    DRAINING = 1
    UNREACHABLE = 2


class Heartbeat(msgspec.Struct, kw_only=True, array_like=True, gc=False):
    """Heartbeat counter of one incarnation of a member.

    Attributes:
        joined_at: Offset of the member's join record in the control log,
            which identifies both the member and its incarnation.
        counter: Rises by one with each gossip round of the member.
        flags: Combination of ``HeartbeatFlags``.
    """

    joined_at: int
    counter: int
    flags: int = 0


class Digest(msgspec.Struct, kw_only=True, array_like=True, gc=False):
    """Free capacity of a rack, as its owner last reported it.

    Attributes:
        rack: Name of the rack.
        term: Term of the owner that reports.
        serial: Rises with each new digest of one term.
        free_slots: Free slots that urgent requests may use.
        patient_slots: Free slots that patient requests may use.
        queued: Number of requests in the queue of the rack.
        wait_ms: Expected wait of a patient request that arrives now, in
            milliseconds.
    """

    rack: str
    term: int
    serial: int
    free_slots: int
    patient_slots: int
    queued: int
    wait_ms: int


class Gossip(msgspec.Struct, kw_only=True, array_like=True):
    """Message that one member sends to another.

    Attributes:
        sender: Name of the sending member.
        heartbeats: Heartbeats of the sender and of other members.
        digests: Digests of racks that changed recently.
    """

    sender: str
    heartbeats: list[Heartbeat]
    digests: list[Digest]
