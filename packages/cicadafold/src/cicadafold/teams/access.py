"""Decides which team a call belongs to, and whether its key is accepted."""

from cicadafold import exception
from cicadafold.teams import model

__all__ = ["REFUSALS", "KeyUnknown", "KeysUncertain", "authorize"]

RETRY_AFTER_MS = 1000


class KeyUnknown(exception.Unauthorized):
    """No team has the key of the call.

    Attributes:
        reason: Label of the refusal in the metrics.
    """

    reason = "unknown_key"


class KeysUncertain(exception.Starting):
    """This host cannot know now whether a team has the key of the call.

    Attributes:
        reason: Label of the refusal in the metrics.
    """

    def __init__(self, reason, message):
        super().__init__(
            message=message,
            remedy="Send the request again.",
            retry_after_ms=RETRY_AFTER_MS,
        )
        self.reason = reason


REFUSALS = (KeyUnknown, KeysUncertain)


def authorize(configuration, rule, key, freshness):
    """Returns the team that a call belongs to.

    The key is looked up by its digest: how long that takes depends on the
    digest alone, of which a caller cannot choose a part without hashing that
    many keys, so it tells nothing about the configured keys.

    Args:
        configuration: ``Configuration`` in force.
        rule: ``QueueRule`` of the call.
        key: Key that the caller sent, empty for none. It may contain any
            characters and have any length.
        freshness: ``Freshness`` of the configuration.

    Returns:
        The ``TeamRule``; None if the cell has no teams or the queue is
        anonymous.

    Raises:
        Unauthorized: No team has this key.
        Starting: The configuration is too old to tell.
    """
    if configuration.teams is None or rule.anonymous:
        return None
    if freshness.keys_expired:
        raise KeysUncertain(
            "keys_expired",
            "This host has had no news of the configuration for too long to"
            " accept a key.",
        )
    team = find_team(configuration, key)
    if team is None and not freshness.may_be_outdated:
        raise KeyUnknown(
            message="No team has the key of the call.",
            remedy="Send a key of your team.",
        )
    if team is None or freshness.outdated:
        raise KeysUncertain(
            "configuration_outdated",
            "A newer configuration may be in force, which this host has not"
            " read yet.",
        )
    return team


def find_team(configuration, key):
    """Returns the ``TeamRule`` of the team with a key, None if none has it."""
    if not model.can_be_key(key):
        return None
    name = configuration.keys.get(model.key_digest(key))
    return configuration.teams.get(name)
