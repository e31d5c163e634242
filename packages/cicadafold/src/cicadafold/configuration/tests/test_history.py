"""Tests of the history of the configuration and of encoded changes."""

import asyncio
import random
import zlib

import msgspec
import pytest

from cicadafold.configuration import changes as changes_module
from cicadafold.configuration import history
from cicadafold import exception


def follow(teller, follower):
    """Brings a history up to date by the encoded changes of another."""
    body = asyncio.run(
        changes_module.encode(teller.changes_since(follower.revision))
    )
    changes = asyncio.run(changes_module.decode(body))
    follower.apply(changes)
    return changes


def random_steps(rng, count):
    """Yields stretches of queues that change, come and go at random."""
    stretches = {f"q{number}": 1.0 for number in range(20)}
    for number in range(count):
        for name in rng.sample(sorted(stretches), 3):
            stretches[name] = rng.random()
        del stretches[rng.choice(sorted(stretches))]
        stretches[f"new{number}"] = 2.0
        yield dict(stretches)


@pytest.mark.parametrize("seed", range(5))
def test_followers_that_skip_revisions_get_the_same_configuration(
    seed, make_configuration
):
    """Changes from any known revision lead to the newest configuration."""
    rng = random.Random(seed)
    teller = history.History()
    followers = [history.History() for _ in range(4)]
    for number, stretches in enumerate(random_steps(rng, 30)):
        teller.replace(make_configuration(number, stretches), 10 * number)
        for follower in rng.sample(followers, 2):
            follow(teller, follower)
            assert follower.configuration == teller.configuration
            assert follower.checksum == teller.checksum
            assert follower.revision == teller.revision


def test_small_change_of_a_large_configuration_is_told_alone(
    make_configuration,
):
    """The cost of a version follows from what it changes."""
    stretches = {f"q{number}": 1.0 for number in range(5000)}
    teller, follower = history.History(), history.History()
    teller.replace(make_configuration(1, stretches), 1)
    follow(teller, follower)
    kept = follower.queues()["q4"]
    del stretches["q5"]
    teller.replace(make_configuration(2, stretches | {"q3": 2.0}), 2)
    changes = follow(teller, follower)
    assert list(changes.rules) == ["q3"]
    assert changes.removed == ["q5"]
    assert follower.queues()["q4"] is kept
    assert len(asyncio.run(changes_module.encode(changes))) < 500


def test_changes_that_miss_a_revision_are_refused(make_configuration):
    """A teller that never had the base may not know a rule that went back."""
    teller, follower = history.History(), history.History()
    teller.replace(make_configuration(1, {"a": 1.0, "b": 1.0}), 1)
    follow(teller, follower)
    follower.replace(make_configuration(2, {"a": 2.0, "b": 1.0}), 2)
    teller.replace(make_configuration(3, {"a": 1.0, "b": 3.0}), 3)
    before = follower.configuration
    with pytest.raises(exception.ChangesDoNotFit):
        follow(teller, follower)
    assert follower.configuration is before
    follower.apply(teller.changes_since(-1))
    assert follower.configuration == teller.configuration


def test_changes_of_another_base_are_refused(make_configuration):
    """Changes are applied to the revision that they were made from only."""
    teller, follower = history.History(), history.History()
    for number in range(3):
        teller.replace(make_configuration(number, {"a": number + 1.0}), number)
    follower.apply(teller.changes_since(-1))
    teller.replace(make_configuration(4, {"a": 9.0}), 4)
    with pytest.raises(exception.ChangesDoNotFit):
        follower.apply(teller.changes_since(1))


def test_changes_since_a_forgotten_revision_are_the_whole(make_configuration):
    """The history is bounded."""
    teller = history.History()
    for number in range(history.MAX_STEPS + 5):
        stretches = {"a": number + 1.0, "b": 1.0}
        teller.replace(make_configuration(number, stretches), number)
    assert len(teller.steps) == history.MAX_STEPS
    changes = teller.changes_since(2)
    assert changes.base == changes_module.WHOLE
    assert set(changes.rules) == {"a", "b"}
    assert teller.changes_since(teller.since).base == teller.since


@pytest.mark.parametrize("cut", [1, 20, 2000])
def test_truncated_changes_are_refused(cut, make_configuration):
    """A transfer that broke off does not look like a smaller configuration."""
    teller = history.History()
    stretches = {f"q{number}": 1.0 for number in range(3000)}
    teller.replace(make_configuration(1, stretches), 1)
    body = asyncio.run(changes_module.encode(teller.changes_since(-1)))
    with pytest.raises(msgspec.DecodeError):
        asyncio.run(changes_module.decode(body[:-cut]))


def test_changes_that_expand_too_far_are_refused(monkeypatch):
    """A small body cannot fill the memory of a host."""
    monkeypatch.setattr(changes_module, "MAX_BYTES", 1 << 20)
    body = zlib.compress(b" " * (2 << 20))
    with pytest.raises(msgspec.DecodeError, match="over 1048576 bytes"):
        asyncio.run(changes_module.decode(body))
