"""Which member should own a rack: a pure function of what is known.

References:
    D. Thaler, C. Ravishankar: Using name-based mappings to increase hit
    rates, IEEE/ACM Transactions on Networking 1998 (rendezvous hashing).
"""

import hashlib

__all__ = ["preferred_owner", "rendezvous_weight"]

WEIGHT_BYTES = 8


def rendezvous_weight(key, member):
    """Returns the weight of a member for a key.

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

    Members of the rack's region go first, then those of its failure
    domain, then those that own the fewest racks.

    Args:
        rack: Name of the rack.
        failure_domain: Failure domain of the rack.
        region: Region of the rack.
        members: Members that live and are not draining.
        owned: Map from member name to the number of racks it owns.

    Returns:
        The member, or None if there is none.
    """
    near = [member for member in members if member.region == region]
    if not near:
        return None
    return min(
        near,
        key=lambda member: (
            member.failure_domain != failure_domain,
            owned.get(member.name, 0),
            -rendezvous_weight(rack, member.name),
        ),
    )
