"""Settings of a process of the cell, already checked."""

import msgspec

__all__ = ["CellSettings"]

# A scheduler of some hundred workers sends and reads a few megabits a
# second, and more while it recovers.
AMPLE_LINK_MBPS = 50.0


class CellSettings(msgspec.Struct, frozen=True):
    """Settings of one process of the cell.

    Attributes:
        member: Name of the host.
        domain: Failure domain.
        region: Region.
        caller_address: Address for callers, IP number and port.
        ready_address: Address for readiness checks.
        peer_address: Address for links of the other processes.
        metrics_address: Address of the metrics.
        store_address: Address of the platform's store.
        advice_address: Address of the advice service, or empty.
        longest_lease_ms: Longest lease that a worker grants.
        status_s: Seconds for which the state of an ended job is kept.
        member_ttl_ms: Time after which the store drops a silent member.
        grace_s: Seconds between the request to stop and the kill.
        cores: Cores of the host, with its share of them.
        link_mbps: Megabits a second of the host's link.
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

    @property
    def election_priority(self):
        """How well the host can carry a scheduler; larger is better."""
        return self.cores * min(1.0, self.link_mbps / AMPLE_LINK_MBPS)
