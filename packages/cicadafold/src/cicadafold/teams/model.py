"""Teams, as the operators configure them."""

import hashlib
import typing

import msgspec

from cicadafold.jobs.resources import Resources

__all__ = ["KeyDigest", "TeamName", "TeamRule", "key_digest"]

TeamName = typing.NewType("TeamName", str)
KeyDigest = typing.NewType("KeyDigest", str)

DIGEST_BYTES = 16


class TeamRule(msgspec.Struct, frozen=True, omit_defaults=True):
    """Configuration of a team, without its keys.

    Attributes:
        name: Name of the team.
        weight: Share of a full cell relative to other teams, and the number
            of jobs a second that it may submit while the cell is full.
        cap: Resources that its tasks may use at the same time over all
            workers; 0 is no limit.
    """

    name: TeamName
    weight: float = 1.0
    cap: Resources = Resources()


def key_digest(key):
    """Returns the digest under which a key is known within the cell.

    Examples:
        >>> len(key_digest("secret"))
        32
    """
    digest = hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES)
    return KeyDigest(digest.hexdigest())
