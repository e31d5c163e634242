"""Preferred owner of a rack, computed from the known members alone.

Members that know the same members and owners choose the same one.

References:
    D. Thaler, C. Ravishankar: Using name-based mappings to increase hit
    rates, IEEE/ACM Transactions on Networking 1998 (rendezvous hashing).
"""

import hashlib

__all__ = ["preferred_owner", "rendezvous_weight"]

WEIGHT_BYTES = 8


def rendezvous_weight(key, member):
    """Returns the rendezvous hashing weight of a member for a key.

    Examples:
        >>> a = rendezvous_weight("rack-1", "entry-1")
        >>> a == rendezvous_weight("rack-1", "entry-1")
        True
    """
    text = f"{key}|{member}".encode()
    digest = hashlib.blake2b(text, digest_size=WEIGHT_BYTES).digest()
    return int.from_bytes(digest)


def preferred_owner(*, rack, failure_domain, region, members, owned):
    """Returns the member that should own a rack.

    Only members of the rack's region qualify. Those in its failure domain
    come first, then those that own the fewest racks; the rendezvous weight
    decides between equals.

    Args:
        rack: Name of the rack.
        failure_domain: Failure domain of the rack.
        region: Region of the rack.
        members: Members that are alive and not draining.
        owned: Map from member name to the number of racks it owns.

    Returns:
        The member, or None if the region has no member.
    """
    regional = [member for member in members if member.region == region]
    if not regional:
        return None
    return min(
        regional,
        key=lambda member: (
            member.failure_domain != failure_domain,
            owned.get(member.name, 0),
            -rendezvous_weight(rack, member.name),
        ),
    )
