"""Checked settings of a process of the cell."""

import msgspec

__all__ = ["CellSettings"]

# Bandwidth that is ample for the scheduler: with some hundred workers it
# sends and reads a few megabits a second, and more while it recovers.
AMPLE_LINK_MBPS = 50.0


class CellSettings(msgspec.Struct, frozen=True):
    """Settings of one process of the cell.

    Attributes:
        member: Name of the host.
        domain: Failure domain of the host.
        region: Region of the host.
        caller_address: Address for callers: IP number and port, as all others.
        ready_address: Address for readiness checks.
        peer_address: Address for links of the other processes.
        metrics_address: Address that serves the metrics.
        store_address: Address of the platform's store.
        advice_address: Address of the advice service, or empty.
        longest_lease_ms: Longest lease in milliseconds that a worker
            grants.
        status_s: Seconds for which the state of an ended job is kept.
        member_ttl_ms: Milliseconds after which the store removes a process
            that does not renew its membership.
        grace_s: Seconds from the platform's request to stop until it kills the
            process.
        cores: CPU cores of the host, times the share of them that the process
            may use.
        configuration_bound_ms: Milliseconds within which a confirmed
            configuration must be in force.
        link_mbps: Bandwidth of the host's network link in megabits a
            second.
        revoke_strict: Whether a withdrawn key must be refused in time also
            by a host that is partitioned.
        revoke_ms: Milliseconds after which a withdrawn key must be refused.
        cap_overage: Share of a team's cap by which it may be exceeded.
        far_factor: Factor on the duration of a task that runs far from its
            data or its gang.
        stop_ms: Milliseconds within which a worker stops a task.
        checkpoint_ms: Milliseconds of work between two checkpoints.
        restore_ms: Milliseconds that a start from a checkpoint takes.
        record_bytes: Largest size in bytes of a record in the store.
        call_bytes: Largest size in bytes of all records of an append.
        memory_mb: Memory of the process in MiB.
        descriptors: Largest number of open descriptors of the process.
    """

    member: str
    domain: str
    region: str
    caller_address: str
    ready_address: str
    peer_address: str
    metrics_address: str
    store_address: str
    advice_address: str
    longest_lease_ms: float
    status_s: float
    member_ttl_ms: int
    grace_s: float
    cores: float
    link_mbps: float
    configuration_bound_ms: float = 2500.0
    revoke_strict: bool = False
    revoke_ms: float = 5000.0
    cap_overage: float = 0.0
    far_factor: float = 1.0
    stop_ms: float = 400.0
    checkpoint_ms: float = 1000.0
    restore_ms: float = 250.0
    record_bytes: int = 262_144
    call_bytes: int = 2_097_152
    memory_mb: float = 300.0
    descriptors: float = 4200.0

    @property
    def election_priority(self):
        """How well the host can carry the scheduler; larger is better.

        It is the number of cores, lowered in proportion if the network link
        is narrower than ``AMPLE_LINK_MBPS``.
        """
        return self.cores * min(1.0, self.link_mbps / AMPLE_LINK_MBPS)
