"""Teams, as the operators configure them."""

import hashlib
import typing

import msgspec

from cicadafold.jobs.resources import Resources
from cicadafold.jobs import spec_checks

__all__ = [
    "MAX_KEY_CHARACTERS",
    "KeyDigest",
    "TeamName",
    "TeamRule",
    "can_be_key",
    "key_digest",
]

TeamName = typing.NewType("TeamName", str)
KeyDigest = typing.NewType("KeyDigest", str)

DIGEST_BYTES = 16
# Longest key. Proxies limit a header to about twice as much.
MAX_KEY_CHARACTERS = 4096


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

    def __post_init__(self):
        """Refuses values out of range."""
        spec_checks.check_team_rule(self)


def can_be_key(text):
    """Whether a text can be a key: ASCII and not too long.

    Examples:
        >>> can_be_key("secret"), can_be_key(""), can_be_key("é")
        (True, False, False)
    """
    return 0 < len(text) <= MAX_KEY_CHARACTERS and text.isascii()


def key_digest(key):
    """Returns the digest under which a key is known within the cell.

    Args:
        key: Key for which ``can_be_key`` holds.

    Examples:
        >>> len(key_digest("secret"))
        32
    """
    digest = hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES)
    return KeyDigest(digest.hexdigest())
