"""Bounds on connections, derived from the limits of the host."""

import enum

import msgspec

__all__ = ["ConnectionBounds", "Group", "derive"]

BYTES_PER_MB = 1 << 20
# Descriptors that the platform reserves for files.
FILE_DESCRIPTORS = 200
# Memory of an open connection without what its client has sent.
CONNECTION_BYTES = 8 << 10
# Share of the memory for the connections of callers themselves.
CONNECTION_SHARE = 1 / 8


class Group(enum.Enum):
    """Connections to one of the listening addresses."""

    CALLERS = "callers"
    PEERS = "peers"
    READINESS = "readiness"
    METRICS = "metrics"


# Shares of the descriptors for sockets. The rest is left for connections that
# the process opens itself.
DESCRIPTOR_SHARES = {
    Group.CALLERS: 0.5,
    Group.PEERS: 0.15,
    Group.READINESS: 0.05,
    Group.METRICS: 0.05,
}
# Shares of the memory for what clients have sent.
HELD_SHARES = {
    Group.CALLERS: 0.2,
    Group.PEERS: 0.1,
    Group.READINESS: 0.02,
    Group.METRICS: 0.02,
}


class ConnectionBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds on the connections of a process.

    Attributes:
        connections: Largest number of open connections by group.
        held_bytes: Bytes that all connections of a group may hold together.
        small_share: Part of these bytes that only small requests may use.
        small_request_bytes: Size of a small request.
        head_bytes: Largest size of the head of a request.
        overhead_bytes: Bytes by which a chunked body may exceed twice its
            content.
        stall_s: Seconds without progress after which a request that is being
            received, or an answer that is being sent, is given up.
        receive_s: Seconds within which a request must have been received.
        patience_s: Seconds without progress after which a connection may be
            closed to make room for others.
    """

    connections: dict[Group, int]
    held_bytes: dict[Group, int]
    small_share: float = 1 / 8
    small_request_bytes: int = 16 << 10
    head_bytes: int = 256 << 10
    overhead_bytes: int = 64 << 10
    stall_s: float = 10.0
    receive_s: float = 30.0
    patience_s: float = 1.0


def derive(*, memory_mb, descriptors):
    """Returns the ``ConnectionBounds`` of a process.

    Args:
        memory_mb: Memory of the process in MiB.
        descriptors: Largest number of open descriptors.

    Examples:
        >>> derive(memory_mb=300, descriptors=4200).connections[Group.PEERS]
        600
    """
    memory = memory_mb * BYTES_PER_MB
    sockets = max(0, descriptors - FILE_DESCRIPTORS)
    connections = {
        group: max(1, int(sockets * share))
        for group, share in DESCRIPTOR_SHARES.items()
    }
    affordable = int(memory * CONNECTION_SHARE / CONNECTION_BYTES)
    connections[Group.CALLERS] = max(
        1, min(connections[Group.CALLERS], affordable)
    )
    held_bytes = {
        group: int(memory * share) for group, share in HELD_SHARES.items()
    }
    return ConnectionBounds(connections=connections, held_bytes=held_bytes)
