"""Which rack a request goes to first, and where it may go instead.

Every request id has a home rack in the region of its origin. The owner of
the home rack is the one place where duplicates of the id meet, so that
finding them needs no other store.

References:
    M. Mitzenmacher: The power of two choices in randomized load
    balancing, IEEE Transactions on Parallel and Distributed Systems 2001.
"""

import random
import zlib

from cicadafold_schema import messages

from cicadafold.ownership import assignment

__all__ = ["Routing"]

REQUEST_BUCKETS = 1024
MAX_SAMPLED_RACKS = 2
MAX_SAMPLED_DIGESTS = 32


class Routing:
    """Chooses racks from the host list and the gossiped digests."""

    def __init__(self, *, hosts, view, region):
        self.hosts = hosts
        self.view = view
        self.region = region
        self.rng = random.Random()
        self.hosts_version = -1
        self.assigned_cache = {}
        self.fit_cache = {}

    def refresh(self):
        """Forgets what was computed from an older host list."""
        if self.hosts_version != self.hosts.version:
            self.hosts_version = self.hosts.version
            self.assigned_cache = {}
            self.fit_cache = {}

    def racks_of(self, region):
        """Returns the racks of a region, or all if it has none."""
        racks = list(self.hosts.racks.values())
        near = [rack for rack in racks if rack.region == region]
        return near or racks

    def assigned_racks(self, request_id, region):
        """Returns the home racks of a request, best first.

        Args:
            request_id: Identifier of the request.
            region: Region of the request's origin.
        """
        self.refresh()
        bucket = zlib.crc32(request_id.encode()) % REQUEST_BUCKETS
        key = (region or self.region, bucket)
        order = self.assigned_cache.get(key)
        if order is None:
            order = sorted(
                (rack.name for rack in self.racks_of(key[0])),
                key=lambda rack: assignment.rendezvous_weight(bucket, rack),
            )
            self.assigned_cache[key] = order
        return order

    def could_fit(self, rack, kind, headroom):
        """Whether an empty rack could hold a request of a kind."""
        self.refresh()
        key = (rack, kind.name, kind.cores, kind.memory_mb, headroom)
        key = (*key, kind.accelerators, kind.tasks)
        known = self.fit_cache.get(key)
        if known is None:
            entry = self.hosts.racks[rack]
            known = entry.could_fit(kind, headroom=headroom)
            self.fit_cache[key] = known
        return known

    def candidates(self, request_id, region, kind, headroom):
        """Yields the racks that could hold a request, home first.

        Racks of other regions follow only if none of the region fits.
        """
        near = self.assigned_racks(request_id, region)
        found = False
        for rack in near:
            if self.could_fit(rack, kind, headroom):
                found = True
                yield rack
        if found:
            return
        for rack in sorted(set(self.hosts.racks) - set(near)):
            if self.could_fit(rack, kind, headroom):
                yield rack

    def find_redirect_rack(
        self, own_rack, kind, *, wait_ms, price_ms, headroom
    ):
        """Returns a rack that has room now, or None.

        Another region is considered only when waiting here costs more
        than the price of the link.

        Args:
            own_rack: Rack that is full.
            kind: Kind of the request.
            wait_ms: Waiting time at the full rack.
            price_ms: Waiting time that another region must save.
            headroom: Slots on each worker that the kind leaves free.
        """
        own = self.hosts.racks.get(own_rack)
        region = own.region if own else self.region
        near = []
        far = []
        for rack, digest in self.sample_digests():
            entry = self.hosts.racks.get(rack)
            if rack == own_rack or entry is None:
                continue
            if usable_slots(digest, kind) < kind.tasks:
                continue
            if not self.could_fit(rack, kind, headroom):
                continue
            (near if entry.region == region else far).append(rack)
        found = near or (far if wait_ms > price_ms else [])
        if not found:
            return None
        picked = self.rng.sample(found, min(MAX_SAMPLED_RACKS, len(found)))
        best = max(
            picked, key=lambda r: usable_slots(self.view.digests[r], kind)
        )
        deduct_slots(self.view.digests[best], kind)
        return best

    def sample_digests(self):
        """Returns the digests of a bounded number of racks."""
        digests = list(self.view.digests.items())
        if len(digests) <= MAX_SAMPLED_DIGESTS:
            return digests
        return self.rng.sample(digests, MAX_SAMPLED_DIGESTS)


def usable_slots(digest, kind):
    """Returns the slots that a digest shows free for a kind."""
    if kind.lane is messages.Lane.urgent:
        return digest.free_slots
    return digest.patient_slots


def deduct_slots(digest, kind):
    """Counts a redirected request against the digest."""
    digest.free_slots -= kind.tasks
    digest.patient_slots -= kind.tasks
