"""Messages of the gossip between members."""

import enum

import msgspec

__all__ = ["Digest", "HeartbeatFlags", "Gossip", "Heartbeat"]


class HeartbeatFlags(enum.IntFlag):
    """What a pulse says of its member besides its counter."""

    NONE = 0
    DRAINING = 1
    UNREACHABLE = 2


class Heartbeat(msgspec.Struct, kw_only=True, array_like=True, gc=False):
    """Heartbeat counter of one incarnation of a member.

    Attributes:
        joined_at: Offset of the member's join record, which names both
            the member and its incarnation.
        flags: Whether the member drains, and whether the sender has
            found it gone.
    """

    joined_at: int
    counter: int
    flags: int = 0


class Digest(msgspec.Struct, kw_only=True, array_like=True, gc=False):
    """Free capacity of a rack, as its owner last saw it.

    Attributes:
        serial: Rises with each new figure of one term.
        free_slots: Slots that urgent work may use.
        patient_slots: Slots that patient work may use.
        wait_ms: Waiting time of patient work that arrives now.
    """

    rack: str
    term: int
    serial: int
    free_slots: int
    patient_slots: int
    queued: int
    wait_ms: int


class Gossip(msgspec.Struct, kw_only=True, array_like=True):
    """What one member tells another about all of them."""

    sender: str
    heartbeats: list[Heartbeat]
    digests: list[Digest]
