"""Limited links of a simulated network, shared by all transfers."""

import asyncio

__all__ = ["Link", "Topology"]

# Transfers that share a link take turns after this number of bytes.
CHUNK_BYTES = 16 * 1024
# Headers of a call, an answer or a message.
OVERHEAD_BYTES = 200
# One-way delay between the regions.
REGION_DELAY_S = 0.008
BITS_PER_BYTE = 8


class Link:
    """One direction of a link, which carries one chunk after the other.

    Args:
        mbps: Bandwidth in megabits a second.

    Attributes:
        free_at_s: Loop time in seconds at which all chunks that were handed
            over so far have been carried.
        carried: Number of bytes that it has carried or will carry.
    """

    def __init__(self, *, mbps):
        self.bytes_per_s = mbps * 1e6 / BITS_PER_BYTE
        self.free_at_s = 0.0
        self.carried = 0

    def reserve(self, size):
        """Adds a chunk and returns the loop time at which it is carried."""
        now_s = asyncio.get_running_loop().time()
        start_s = max(now_s, self.free_at_s)
        self.free_at_s = start_s + size / self.bytes_per_s
        self.carried += size
        return self.free_at_s


class Topology:
    """Two regions with a link between them, and the links of single hosts.

    Args:
        far_hosts: Addresses of the hosts outside of the store's region.
        region_mbps: Bandwidth between the regions, each way.
        host_mbps: Bandwidth of the links of single hosts, each way, by
            address; other hosts have links without a limit.
    """

    def __init__(self, *, far_hosts, region_mbps, host_mbps=None):
        self.far_hosts = frozenset(far_hosts)
        self.host_mbps = dict(host_mbps or {})
        self.between_regions = {
            far: Link(mbps=region_mbps) for far in (False, True)
        }
        self.uplinks = self.host_links()
        self.downlinks = self.host_links()

    def host_links(self):
        """Returns a link for each host whose bandwidth is limited."""
        return {host: Link(mbps=mbps) for host, mbps in self.host_mbps.items()}

    def region(self, host):
        """Returns the name of the region of a host."""
        return "far" if host in self.far_hosts else "near"

    def path(self, source, target):
        """Returns the limited links from one host to another."""
        links = []
        if source in self.uplinks:
            links.append(self.uplinks[source])
        from_far = source in self.far_hosts
        if from_far != (target in self.far_hosts):
            links.append(self.between_regions[from_far])
        if target in self.downlinks:
            links.append(self.downlinks[target])
        return links

    async def carry(self, source, target, size, *, on_progress=None):
        """Carries bytes from one host to another, chunk by chunk.

        A receiver that gives up does not stop bytes that were sent.

        Args:
            source: Address of the sending host.
            target: Address of the receiving host.
            size: Number of bytes.
            on_progress: Function called after each chunk, or None.
        """
        if (source in self.far_hosts) != (target in self.far_hosts):
            await asyncio.sleep(REGION_DELAY_S)
        links = self.path(source, target)
        loop = asyncio.get_running_loop()
        left = size + OVERHEAD_BYTES
        while links and left > 0:
            chunk = min(left, CHUNK_BYTES)
            arrival_s = max(link.reserve(chunk) for link in links)
            await asyncio.sleep(max(0.0, arrival_s - loop.time()))
            left -= chunk
            if on_progress is not None:
                on_progress()
