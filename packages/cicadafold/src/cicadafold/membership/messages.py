"""Messages of the gossip between members."""

import msgspec

__all__ = ["Digest", "Gossip", "Pulse"]


class Pulse(msgspec.Struct, kw_only=True, array_like=True, gc=False):
    """Heartbeat counter of one incarnation of a member.

    Attributes:
        gone: Whether the sender has found the member gone.
    """

    member: str
    incarnation: str
    counter: int
    draining: bool = False
    gone: bool = False


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
    pulses: list[Pulse]
    digests: list[Digest]
