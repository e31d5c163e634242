"""Tests of the age of the configuration and of what it allows to answer."""

import pytest

from cicadafold import clock
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
