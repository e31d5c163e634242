"""Tests of teams and keys that peers tell each other."""

import asyncio
import random

import msgspec
import pytest

from cicadafold.configuration import changes as changes_module
from cicadafold.configuration import history
from cicadafold import exception
from cicadafold.jobs import model
from cicadafold.teams import model as team_model

RED, BLUE = (team_model.TeamRule(name) for name in ("red", "blue"))
TEAMS = {"red": RED, "blue": BLUE}


def digests(team, count):
    """Returns a number of keys of a team, by digest."""
    return {
        team_model.key_digest(f"{team}-{number}"): team
        for number in range(count)
    }


KEYS = digests("red", 3) | digests("blue", 2)


@pytest.fixture
def make(make_configuration):
    """Returns a function that makes configurations with teams and keys."""

    def make_with_teams(version, stretch=1.0, *, teams=TEAMS, keys=KEYS):
        found = make_configuration(version, {"a": stretch})
        return msgspec.structs.replace(found, teams=teams, keys=keys)

    return make_with_teams


@pytest.fixture
def pair(make):
    """Returns two histories with the same configuration, revision 1."""
    teller, follower = history.History(), history.History()
    teller.replace(make(1), 1)
    tell(teller, follower)
    return teller, follower


def transfer(changes):
    """Returns changes after their transfer to a peer."""
    body = asyncio.run(changes_module.encode(changes))
    return asyncio.run(changes_module.decode(body))


def tell(teller, follower):
    """Brings a history up to date by the encoded changes of another."""
    changes = transfer(teller.changes_since(follower.revision))
    follower.apply(changes)
    assert follower.configuration == teller.configuration
    assert follower.checksum == teller.checksum
    return changes


def test_whole_carries_teams_and_keys(make):
    """A host that starts has no keys, and refuses all calls."""
    teller, follower = history.History(), history.History()
    teller.replace(make(1), 1)
    changes = tell(teller, follower)
    assert follower.configuration.teams == TEAMS
    assert follower.configuration.keys == KEYS
    assert changes.base == changes_module.WHOLE


def test_unchanged_teams_and_keys_are_not_told(pair, make):
    """Each change of a queue sends 100,000 digests to every host."""
    teller, follower = pair
    teller.replace(make(2, 2.0), 2)
    changes = tell(teller, follower)
    assert (changes.teams, changes.keys) == (None, None)
    assert follower.configuration.keys is not teller.configuration.keys


def test_withdrawn_key_is_told(pair, make):
    """A key that was withdrawn at the store is accepted by the other hosts."""
    teller, follower = pair
    kept = digests("red", 2)
    teller.replace(make(2, keys=kept), 2)
    changes = tell(teller, follower)
    assert changes.teams is None
    assert follower.configuration.keys == kept


def test_last_key_can_be_withdrawn(pair, make):
    """No keys are taken for unchanged keys."""
    teller, follower = pair
    teller.replace(make(2, keys={}), 2)
    tell(teller, follower)
    assert follower.configuration.keys == {}


def test_key_that_moves_to_another_team_is_told(pair, make):
    """The checksum covers the digests without their teams."""
    teller, follower = pair
    before = teller.checksum
    teller.replace(make(2, keys=dict.fromkeys(KEYS, "blue")), 2)
    assert teller.checksum != before
    tell(teller, follower)


def test_change_of_a_weight_is_told_without_keys(pair, make):
    """A new weight costs as much as new keys."""
    teller, follower = pair
    heavier = TEAMS | {"red": team_model.TeamRule("red", 5.0)}
    teller.replace(make(2, teams=heavier), 2)
    changes = tell(teller, follower)
    assert changes.teams == heavier
    assert changes.keys is None


def test_removal_of_all_teams_is_told(pair, make):
    """A host takes a cell without teams for one whose teams are unchanged."""
    teller, follower = pair
    teller.replace(make(2, teams=None, keys={}), 2)
    tell(teller, follower)
    assert follower.configuration.teams is None
    teller.replace(make(3, 2.0, teams=None, keys={}), 3)
    assert tell(teller, follower).base == 2
    teller.replace(make(4, 2.0, teams={}, keys={}), 4)
    tell(teller, follower)
    assert follower.configuration.teams == {}


def test_order_of_keys_does_not_matter(pair, make):
    """Hosts that heard of the keys in another order refuse each other."""
    teller, follower = pair
    other = history.History()
    other.replace(make(1, keys=dict(reversed(KEYS.items()))), 1)
    assert other.checksum == teller.checksum
    other.replace(make(2, 2.0, keys=dict(reversed(KEYS.items()))), 2)
    tell(other, follower)


@pytest.mark.parametrize("field", ["teams", "keys"])
def test_wrong_result_is_detected(pair, make, field):
    """A host goes on with teams or keys that nobody has configured."""
    teller, follower = pair
    fewer = {"teams": {"red": RED}, "keys": digests("red", 1)}
    teller.replace(make(2, **fewer), 2)
    changes = transfer(teller.changes_since(1))
    setattr(changes, field, {"teams": TEAMS, "keys": KEYS}[field])
    with pytest.raises(exception.ChangesDoNotFit):
        follower.apply(changes)
    assert follower.configuration.keys == KEYS


def test_peer_that_does_not_know_teams_is_not_believed(pair, make):
    """During an upgrade, an older release tells a cell without teams.

    It drops the teams of the version that it reads, so a new host would
    serve everybody without a key.
    """
    teller, _ = pair
    changes = teller.changes_since(-1)
    changes.teams = changes.keys = None
    # Such a release sums the checksums of the rules alone.
    changes.checksum = sum(map(history.rule_checksum, changes.rules.values()))
    with pytest.raises(exception.ChangesDoNotFit):
        history.History().apply(transfer(changes))


def test_keys_without_announcement_are_refused(pair):
    """A host takes keys over although its teller has not changed them."""
    teller, _ = pair
    changes = teller.changes_since(-1)
    lines = list(changes_module.lines_of(changes))
    changes.keys = None
    header = next(changes_module.lines_of(changes))
    lines[0] = header
    with pytest.raises(msgspec.DecodeError, match="announces no keys"):
        asyncio.run(changes_module.decode(compress(lines)))


def compress(lines):
    """Returns lines as the body of an answer."""
    return changes_module.zlib.compress(b"".join(lines))


@pytest.mark.parametrize("seed", range(5))
def test_followers_that_skip_revisions_get_the_same_teams(seed, make):
    """Changes from some known revision lead to other teams or keys."""
    rng = random.Random(seed)
    teller = history.History()
    followers = [history.History() for _ in range(4)]
    teams, keys = TEAMS, KEYS
    for number in range(60):
        if rng.random() < 0.3:
            names = rng.sample(["red", "blue", "green"], rng.randint(0, 3))
            teams = {
                name: team_model.TeamRule(name, rng.choice([1.0, 2.0]))
                for name in names
            }
            teams = rng.choice([teams, teams, None])
        if rng.random() < 0.3:
            keys = {}
            for name in teams or ():
                keys |= digests(name, rng.randint(0, 3))
        configuration = make(number, rng.random(), teams=teams, keys=keys)
        teller.replace(configuration, 10 * number)
        for follower in rng.sample(followers, 2):
            tell(teller, follower)


def test_many_keys_are_sent_in_pieces(make):
    """100,000 keys stall the process that encodes or decodes them."""
    keys = {f"{number:032x}": "red" for number in range(100_000)}
    teller = history.History()
    teller.replace(make(1, keys=keys), 1)
    changes = teller.changes_since(-1)
    lines = list(changes_module.lines_of(changes))
    assert max(map(len, lines)) < 100_000
    follower = history.History()
    follower.apply(transfer(changes))
    assert follower.configuration.keys == keys


def test_configuration_without_teams_is_told_as_before(make_configuration):
    """A deployment without teams pays for them."""
    teller = history.History()
    teller.replace(make_configuration(1, {"a": 1.0}), 1)
    changes = teller.changes_since(-1)
    assert len(list(changes_module.lines_of(changes))) == 2
    rule = model.QueueRule("a", "h", "/", "p")
    assert b"anonymous" not in msgspec.json.encode(rule)
