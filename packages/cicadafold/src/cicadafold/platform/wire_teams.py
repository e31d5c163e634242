"""Reads the teams of a configuration, which the platform calls tenants.

Every fault is reported with the field, its value and a remedy. Nothing that
may be a key is shown: of a key that two teams have the digest, otherwise the
type of the value only.
"""

import math

import msgspec

from cicadafold.jobs import model
from cicadafold.teams import model as team_model

__all__ = ["WireTeam", "Teams", "read_teams"]

MAX_AMOUNT = 1 << 40
MAX_WEIGHT = 1e9
# Keys that are read without a pause. It takes about 2 ms.
KEYS_PER_STEP = 1000
SHOWN_CHARACTERS = 40


class Teams:
    """Teams that have been read.

    Attributes:
        rules: ``TeamRule`` by name of the team.
        keys: Name of the team by the digest of each of its keys.
        keys_read: Number of keys read so far, with repeated ones.
    """

    def __init__(self):
        self.rules = {}
        self.keys = {}
        self.keys_read = 0


class WireTeam(msgspec.Struct):
    """A team. Its fields are checked one by one, so that faults are named.

    Attributes:
        apiKeys: Its keys.
        weight: Share of a full cell relative to other teams.
        cap: Resources that its tasks may use at the same time, with ``cpu``
            in thousandths of a core, ``memMb`` and ``gpu``; 0 is no limit.
    """

    name: object = ""
    apiKeys: object = msgspec.field(default_factory=list)  # noqa: N815
    weight: object = 1.0
    cap: object = msgspec.field(default_factory=dict)


def read_teams(documents, teams):
    """Reads the teams of a configuration, with pauses for other tasks.

    Args:
        documents: Value of the field ``tenants``, of any type.
        teams: ``Teams`` that are filled.

    Yields:
        None, after each ``KEYS_PER_STEP`` keys.

    Raises:
        ValueError: A value is not valid; the message names the field.
    """
    if not isinstance(documents, list):
        raise hidden("tenants", documents, "Write a list of teams.")
    for number, document in enumerate(documents):
        field = f"tenants[{number}]"
        if not isinstance(document, dict):
            raise hidden(field, document, "Write a team with a name.")
        team = msgspec.convert(document, WireTeam)
        rule = read_rule(field, team)
        if rule.name in teams.rules:
            raise invalid(
                f"{field}.name",
                rule.name,
                "Two teams have this name; give each another one.",
            )
        teams.rules[rule.name] = rule
        yield from read_keys(f"{field}.apiKeys", team.apiKeys, rule, teams)


def read_rule(field, team):
    """Checks a team and returns its ``TeamRule``.

    Args:
        field: Name of the field that holds the team.
        team: ``WireTeam``.
    """
    if not isinstance(team.name, str) or not team.name.strip():
        raise invalid(f"{field}.name", team.name, "Give the team a name.")
    weight = team.weight
    if not is_number(weight) or not 0 <= weight <= MAX_WEIGHT:
        raise invalid(
            f"{field}.weight",
            weight,
            f"Write a number from 0 to {MAX_WEIGHT:.0f}.",
        )
    cap = team.cap
    if not isinstance(cap, dict):
        raise invalid(f"{field}.cap", cap, "Write cpu, memMb and gpu.")
    amounts = [
        read_amount(f"{field}.cap.{name}", cap.get(name, 0))
        for name in ("cpu", "memMb", "gpu")
    ]
    return team_model.TeamRule(
        team_model.TeamName(team.name),
        float(weight),
        model.Resources(*amounts),
    )


def read_amount(field, value):
    """Checks an amount of a resource and returns it as an integer."""
    valid = is_number(value) and 0 <= value < MAX_AMOUNT
    if not valid or int(value) != value:
        raise invalid(
            field, value, f"Write an integer from 0 to {MAX_AMOUNT - 1}."
        )
    return int(value)


def read_keys(field, keys, rule, teams):
    """Reads the keys of a team, with pauses for other tasks.

    Args:
        field: Name of the field that holds them.
        keys: Its value, of any type.
        rule: ``TeamRule`` of the team.
        teams: ``Teams`` to which the digests are added.
    """
    if not isinstance(keys, list):
        raise hidden(field, keys, "Write a list of texts.")
    for number, key in enumerate(keys):
        if not isinstance(key, str) or not team_model.can_be_key(key):
            raise hidden(
                f"{field}[{number}]",
                key,
                f"Write 1 to {team_model.MAX_KEY_CHARACTERS} ASCII"
                " characters.",
            )
        digest = team_model.key_digest(key)
        owner = teams.keys.setdefault(digest, rule.name)
        if owner != rule.name:
            raise ValueError(
                f"{field}[{number}] is a key of the team"
                f" {shorten(owner)} as well, digest {digest[:8]}. Give each"
                " key to one team."
            )
        teams.keys_read += 1
        if teams.keys_read % KEYS_PER_STEP == 0:
            yield


def is_number(value):
    """Whether a value is a finite number."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return False
    return isinstance(value, int) or math.isfinite(value)


def invalid(field, value, remedy):
    """Returns the error for a value that may be shown."""
    return ValueError(f"{field} is {shorten(value)}. {remedy}")


def hidden(field, value, remedy):
    """Returns the error for a value that may be, or contain, a key."""
    size = f" of length {len(value)}" if isinstance(value, str) else ""
    return ValueError(
        f"{field} is a value of type {type(value).__name__}{size} that is not"
        f" valid. {remedy}"
    )


def shorten(value):
    """Returns a value as text of bounded length."""
    if isinstance(value, (dict, list)):
        return f"a value of type {type(value).__name__}"
    if isinstance(value, int) and abs(value) > MAX_AMOUNT:
        return "a number out of range"
    text = repr(value)
    if len(text) <= SHOWN_CHARACTERS:
        return text
    return text[:SHOWN_CHARACTERS] + "..."
