"""Tests of the age of the configuration and of what it allows to answer."""

import msgspec
import pytest

from cicadafold import clock
from cicadafold.configuration import history
from cicadafold.configuration import holder as holder_module
from cicadafold.job_service import routes
from cicadafold.platform import configuration_source

BOUND_MS = 4000.0


class Clock:
    """A clock that tests set, in milliseconds."""

    def __init__(self):
        self.now_ms = 1e6

    def boot_ms(self):
        """Returns the time that was set."""
        return self.now_ms


@pytest.fixture
def time(monkeypatch):
    """Returns the clock that the product uses."""
    found = Clock()
    monkeypatch.setattr(clock, "boot_ms", found.boot_ms)
    return found


@pytest.fixture
def holder(time, make_configuration):
    """Returns a holder of version 5, confirmed just now."""
    found = holder_module.Holder(
        bound_ms=BOUND_MS, routes=routes.Routes(), on_change=lambda _: None
    )
    take(found, make_configuration(5, {"a": 1.0}), 0, time)
    return found


def take(holder, configuration, revision, time):
    """Lets a holder take over a configuration that is read now."""
    holder.take_reading(
        configuration_source.Reading(revision + 1, revision, configuration),
        time.now_ms,
    )


def test_configuration_that_is_not_confirmed_may_be_outdated(holder, time):
    """An unreachable store does not confirm that nothing has changed."""
    assert not holder.may_be_outdated
    time.now_ms += BOUND_MS
    assert holder.may_be_outdated
    assert not holder.outdated
    holder.learn_end(1, time.now_ms)
    assert not holder.may_be_outdated


def test_known_newer_configuration_makes_the_host_outdated_in_time(
    holder, time, make_configuration
):
    """It is refused to answer by the older one before the bound passes."""
    time.now_ms += 100
    holder.learn_end(2, time.now_ms)
    assert holder.may_be_outdated
    assert not holder.outdated
    time.now_ms += BOUND_MS * 0.9
    assert holder.outdated
    take(holder, make_configuration(6, {"b": 1.0}), 1, time)
    assert not holder.may_be_outdated
    assert holder.routes.find_queue("jobs.example", "/a/1") is None
    assert holder.routes.find_queue("jobs.example", "/b/1").name == "b"


def test_old_news_does_not_make_the_configuration_look_fresh(holder, time):
    """A confirmation counts from the time that it speaks of."""
    asked_ms = time.now_ms
    time.now_ms += BOUND_MS
    holder.learn_end(1, asked_ms)
    assert holder.age_ms == BOUND_MS


def test_older_version_is_ignored(holder, time, make_configuration):
    """The version in force never decreases, whatever is published."""
    take(holder, make_configuration(4, {"b": 1.0}), 1, time)
    assert holder.version == 5
    assert not holder.behind


def test_unreadable_configuration_leaves_the_old_one_in_force(holder, time):
    """It costs a line, and is not read again."""
    holder.learn_end(2, time.now_ms)
    take(holder, None, 1, time)
    assert holder.version == 5
    assert not holder.behind


def test_suspension_of_the_host_ages_its_configuration(
    holder, time, monkeypatch
):
    """The monotonic clock stands still meanwhile."""
    monkeypatch.setattr(clock, "monotonic_ms", lambda: 0.0)
    time.now_ms += BOUND_MS
    assert holder.may_be_outdated


def test_restarted_host_takes_over_the_age_of_its_peer(
    time, make_configuration
):
    """A new host counts an old configuration of a peer as fresh."""
    teller = history.History()
    teller.replace(make_configuration(5, {"a": 1.0}), 0)
    found = holder_module.Holder(
        bound_ms=BOUND_MS, routes=routes.Routes(), on_change=lambda _: None
    )
    assert found.may_be_outdated
    found.take_changes(teller.changes_since(-1), 1, time.now_ms - 2 * BOUND_MS)
    assert found.age_ms == 2 * BOUND_MS
    assert found.may_be_outdated
    found.learn_end(1, time.now_ms)
    assert not found.may_be_outdated


def test_gauges_of_a_new_host_can_be_shown(time):
    """An age that is not known breaks the metrics of a starting host."""
    found = holder_module.Holder(
        bound_ms=BOUND_MS,
        routes=routes.Routes(),
        on_change=lambda _: None,
        revoke_ms=BOUND_MS,
    )
    assert found.gauges()["configuration_version"] == -1
    assert found.gauges()["configuration_age_ms"] > 1e11
    assert found.gauges()["keys_expired"] == 0


def test_keys_expire_only_in_a_cell_with_teams(time, make_configuration):
    """A cell without teams is not ready while the store is away."""
    found = holder_module.Holder(
        bound_ms=BOUND_MS,
        routes=routes.Routes(),
        on_change=lambda _: None,
        revoke_ms=BOUND_MS,
    )
    plain = make_configuration(1, {"a": 1.0})
    take(found, plain, 0, time)
    time.now_ms += BOUND_MS
    assert not found.keys_expired
    with_teams = msgspec.structs.replace(plain, version=2, teams={})
    take(found, with_teams, 1, time)
    assert not found.keys_expired
    time.now_ms += BOUND_MS
    assert found.keys_expired
    assert found.gauges()["keys_expired"] == 1
