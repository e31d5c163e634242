"""Choice of the rack for a request, and of another rack if that is full.

Every request id is assigned to a rack in the region of its origin by
rendezvous hashing. Duplicates of a request therefore reach the same owner,
which detects them without a shared store.

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
    """Chooses racks by the host list and the rack digests from gossip.

    Attributes:
        assigned_cache: Rack names, best first, by region and hash bucket
            of the request id.
        fit_cache: Whether a rack could hold a kind, by rack, resources of
            the kind and headroom.
    """

    def __init__(self, *, hosts, view, region):
        self.hosts = hosts
        self.view = view
        self.region = region
        self.rng = random.Random()
        self.hosts_version = -1
        self.assigned_cache = {}
        self.fit_cache = {}

    def refresh(self):
        """Clears the caches if the host list has changed."""
        if self.hosts_version != self.hosts.version:
            self.hosts_version = self.hosts.version
            self.assigned_cache = {}
            self.fit_cache = {}

    def racks_in_region(self, region):
        """Returns the racks of a region, or all racks if it has none."""
        racks = list(self.hosts.racks.values())
        same_region = [rack for rack in racks if rack.region == region]
        return same_region or racks

    def assigned_racks(self, request_id, region):
        """Returns the names of the racks for a request, assigned rack first.

        Args:
            request_id: Identifier of the request.
            region: Region of the request's origin; if empty, the region of
                this process.
        """
        self.refresh()
        bucket = zlib.crc32(request_id.encode()) % REQUEST_BUCKETS
        key = (region or self.region, bucket)
        ranked_racks = self.assigned_cache.get(key)
        if ranked_racks is None:
            ranked_racks = sorted(
                (rack.name for rack in self.racks_in_region(key[0])),
                key=lambda rack: assignment.rendezvous_weight(bucket, rack),
            )
            self.assigned_cache[key] = ranked_racks
        return ranked_racks

    def could_fit(self, rack, kind, headroom):
        """Whether a rack without running tasks could hold a request.

        Args:
            rack: Name of the rack.
            kind: Kind of the request.
            headroom: Number of slots on each worker that must stay free.
        """
        self.refresh()
        key = (rack, kind.name, kind.cores, kind.memory_mb, headroom)
        key = (*key, kind.accelerators, kind.tasks)
        fits = self.fit_cache.get(key)
        if fits is None:
            rack_entry = self.hosts.racks[rack]
            fits = rack_entry.could_fit(kind, headroom=headroom)
            self.fit_cache[key] = fits
        return fits

    def candidates(self, request_id, region, kind, headroom):
        """Yields the names of racks that could hold a request, best first.

        Racks of other regions are yielded only if no rack in the region of
        origin could hold the request.

        Args:
            request_id: Identifier of the request.
            region: Region of the request's origin.
            kind: Kind of the request.
            headroom: Number of slots on each worker that must stay free.
        """
        same_region = self.assigned_racks(request_id, region)
        found_in_region = False
        for rack in same_region:
            if self.could_fit(rack, kind, headroom):
                found_in_region = True
                yield rack
        if found_in_region:
            return
        for rack in sorted(set(self.hosts.racks) - set(same_region)):
            if self.could_fit(rack, kind, headroom):
                yield rack

    def find_redirect_rack(
        self, own_rack, kind, *, wait_ms, price_ms, headroom
    ):
        """Returns a rack with free slots for a request, or None.

        Racks of other regions are considered only if the region has none
        with free slots and the wait exceeds the cross-region price. Of the
        racks found, two are sampled at random and the one with more usable
        slots is chosen; its digest is reduced by the slots that the request
        takes.

        Args:
            own_rack: Name of the rack that is full.
            kind: Kind of the request.
            wait_ms: Expected wait at the full rack in milliseconds.
            price_ms: Wait in milliseconds above which a redirect to
                another region is worthwhile.
            headroom: Number of slots on each worker that must stay free.
        """
        own = self.hosts.racks.get(own_rack)
        region = own.region if own else self.region
        same_region = []
        other_regions = []
        for rack, digest in self.sample_digests():
            rack_entry = self.hosts.racks.get(rack)
            if rack == own_rack or rack_entry is None:
                continue
            if usable_slots(digest, kind) < kind.tasks:
                continue
            if not self.could_fit(rack, kind, headroom):
                continue
            (
                same_region if rack_entry.region == region else other_regions
            ).append(rack)
        eligible = same_region or (other_regions if wait_ms > price_ms else [])
        if not eligible:
            return None
        sampled = self.rng.sample(
            eligible, min(MAX_SAMPLED_RACKS, len(eligible))
        )
        best = max(
            sampled, key=lambda r: usable_slots(self.view.digests[r], kind)
        )
        deduct_slots(self.view.digests[best], kind)
        return best

    def sample_digests(self):
        """Returns all digests, or a random sample if there are too many."""
        digests = list(self.view.digests.items())
        if len(digests) <= MAX_SAMPLED_DIGESTS:
            return digests
        return self.rng.sample(digests, MAX_SAMPLED_DIGESTS)


def usable_slots(digest, kind):
    """Returns how many slots a digest reports free for the lane of a kind."""
    if kind.lane is messages.Lane.urgent:
        return digest.free_slots
    return digest.patient_slots


def deduct_slots(digest, kind):
    """Deducts the slots of a redirected request from a digest.

    Otherwise a burst of requests would all be redirected to the same rack
    until its owner publishes the next digest.
    """
    digest.free_slots -= kind.tasks
    digest.patient_slots -= kind.tasks
