"""Tests of the decision which calls are served, by their key."""

import types

import pytest

from cicadafold import exception
from cicadafold.jobs import model
from cicadafold.teams import access
from cicadafold.teams import model as team_model

RED = team_model.TeamRule("red", 2.0)
KEY = "key-of-red"
KEYED = model.QueueRule("q", "h", "/q/", "p")
ANONYMOUS = model.QueueRule("q", "h", "/q/", "p", anonymous=True)


def configuration(teams, keys=()):
    """Returns a configuration with teams and pairs of a key and a team."""
    return model.Configuration(
        1,
        {},
        {},
        1,
        teams,
        {team_model.key_digest(key): team for key, team in keys},
    )


WITH_TEAMS = configuration({"red": RED}, [(KEY, "red"), ("old", "gone")])
WITHOUT_TEAMS = configuration(None)


def freshness(expired=False, may_be_outdated=False, outdated=False):
    """Returns what a host knows of the age of its configuration."""
    return types.SimpleNamespace(
        keys_expired=expired,
        may_be_outdated=may_be_outdated,
        outdated=outdated,
    )


def outcome(key, found, *, rule=KEYED, config=WITH_TEAMS):
    """Returns the team of a call, or the status and reason of its refusal."""
    try:
        return access.authorize(config, rule, key, found)
    except access.REFUSALS as error:
        return error.status, error.reason


UNKNOWN = (401, "unknown_key")
EXPIRED = (503, "keys_expired")
OUTDATED = (503, "configuration_outdated")
RECENT = freshness()
UNSURE = freshness(may_be_outdated=True)
BEHIND = freshness(may_be_outdated=True, outdated=True)
OLD = freshness(expired=True, may_be_outdated=True)


@pytest.mark.parametrize(
    ("key", "found", "expected"),
    [
        (KEY, RECENT, RED),
        (KEY, UNSURE, RED),
        (KEY, BEHIND, OUTDATED),
        (KEY, OLD, EXPIRED),
        (KEY, freshness(expired=True), EXPIRED),
        ("other", RECENT, UNKNOWN),
        ("other", UNSURE, OUTDATED),
        ("other", BEHIND, OUTDATED),
        ("other", OLD, EXPIRED),
        ("", RECENT, UNKNOWN),
        ("", UNSURE, OUTDATED),
        ("", OLD, EXPIRED),
    ],
)
def test_refusal_is_final_only_if_the_configuration_is_recent(
    key, found, expected
):
    """A host that has not heard of a version answers by the one before.

    It refuses a new key for good, or accepts a withdrawn one.
    """
    assert outcome(key, found) == expected


@pytest.mark.parametrize(
    "key",
    [
        "x" * 10_000_000,
        "schlüssel",
        "\udcff\udcfe",
        "\x00",
        KEY + " ",
        KEY.upper(),
        KEY[:-1],
        team_model.key_digest(KEY),
    ],
)
def test_text_that_is_not_the_key_is_unknown(key):
    """It causes an error, or is accepted as the key."""
    assert outcome(key, RECENT) == UNKNOWN


def test_key_of_a_team_that_is_not_configured_is_unknown():
    """A call without a team passes as one that needs no key."""
    assert outcome("old", RECENT) == UNKNOWN


@pytest.mark.parametrize("found", [RECENT, UNSURE, BEHIND, OLD])
def test_calls_that_need_no_key_are_not_judged(found):
    """Anonymous queues, and cells without teams, lose calls to this check."""
    for key in (KEY, "other", ""):
        assert outcome(key, found, rule=ANONYMOUS) is None
        assert outcome(key, found, config=WITHOUT_TEAMS) is None


def test_cell_with_an_empty_list_of_teams_serves_nobody():
    """It is taken for a cell without teams, which serves everybody."""
    assert outcome(KEY, RECENT, config=configuration({})) == UNKNOWN


def test_refusals_are_of_the_common_types():
    """A caller of ``authorize`` misses a refusal."""
    with pytest.raises(exception.Unauthorized):
        access.authorize(WITH_TEAMS, KEYED, "", RECENT)
    with pytest.raises(exception.Starting) as caught:
        access.authorize(WITH_TEAMS, KEYED, KEY, OLD)
    assert caught.value.retry_after_ms > 0
    assert KEY not in str(caught.value)
