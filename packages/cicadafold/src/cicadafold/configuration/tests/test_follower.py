"""Tests of the sources from which a host reads the configuration."""

import asyncio
import types

import pytest

from cicadafold import clock
from cicadafold.configuration import follower as follower_module
from cicadafold.configuration import history
from cicadafold.configuration import holder as holder_module
from cicadafold import exception
from cicadafold.job_service import routes
from cicadafold.platform import configuration_source

UNAVAILABLE = exception.LogUnavailable(message="Not served.", remedy="Wait.")


class Source:
    """The store, with the newest record of a topic.

    Attributes:
        reads: Number of reads of the configuration so far.
        failing: Whether calls are refused.
    """

    def __init__(self):
        self.reading = configuration_source.Reading(0)
        self.reads = 0
        self.failing = False

    def publish(self, configuration, revision):
        """Publishes a configuration."""
        self.reading = configuration_source.Reading(
            revision + 1, revision, configuration
        )

    async def end(self):
        """Returns the end of the topic."""
        if self.failing:
            raise UNAVAILABLE
        return self.reading.end

    async def next(self, end, *, wait_ms):
        """Refuses to read a record that has been deleted."""
        raise exception.LogTrimmed

    async def newest(self, end):
        """Returns the newest record."""
        if self.failing:
            raise UNAVAILABLE
        self.reads += 1
        return self.reading


class Exchange:
    """Peers by address: a ``History``, or None for one that is gone."""

    def __init__(self, peers):
        self.peers = peers
        self.asked = []

    def addresses(self):
        """Returns the scheduler's address and the others."""
        return "s:1", sorted(set(self.peers) - {"s:1"})

    async def status(self, *, timeout_s):
        """Finds no link to the scheduler."""
        raise exception.LinkNotOpen(message="No link.", remedy="Wait.")

    async def fetch(self, address, revision, end, *, hold_s):
        """Returns what a peer tells."""
        self.asked.append((address, revision))
        peer = self.peers.get(address)
        if peer is None:
            raise UNAVAILABLE
        return types.SimpleNamespace(
            changes=peer.changes_since(revision),
            end=peer.revision + 1,
            age_ms=0.0,
        )


@pytest.fixture
def source():
    """Returns a store without a configuration."""
    return Source()


@pytest.fixture
def make_follower(source, monkeypatch):
    """Returns a function that makes a follower of given peers."""
    delays = {False: (0.05, 0.06), True: (0.05, 0.06)}
    monkeypatch.setattr(follower_module, "STORE_DELAY_S", delays)
    monkeypatch.setattr(follower_module, "FIRST_STORE_DELAY", (1e9, 1e9))
    monkeypatch.setattr(follower_module, "RETRY_PAUSE_S", 0.01)

    def make(peers, *, scheduler=False):
        return follower_module.Follower(
            holder=holder_module.Holder(
                bound_ms=4000.0,
                routes=routes.Routes(),
                on_change=lambda _: None,
            ),
            source=source,
            exchange=Exchange(peers),
            is_scheduler=lambda: scheduler,
            low_priority=False,
        )

    return make


@pytest.fixture
def newest(make_configuration):
    """Returns the newest configuration."""
    return make_configuration(3, {"a": 1.0, "b": 2.0})


def told_by(configuration, revision):
    """Returns the history of a peer that has a configuration."""
    found = history.History()
    found.replace(configuration, revision)
    return found


def test_scheduler_tells_the_configuration(source, make_follower, newest):
    """The store sends it to one host and not to all of them."""
    source.publish(newest, 4)
    follower = make_follower({"s:1": told_by(newest, 4)})
    asyncio.run(follower.step())
    assert follower.holder.current == newest
    assert source.reads == 0


def test_other_peers_tell_it_when_the_scheduler_is_gone(
    source, make_follower, newest
):
    """Any host that has the configuration can tell it."""
    source.publish(newest, 4)
    follower = make_follower({"s:1": None, "p:1": told_by(newest, 4)})
    asyncio.run(follower.step())
    assert follower.holder.current == newest
    assert source.reads == 0


def test_store_is_read_when_no_peer_knows_it(source, make_follower, newest):
    """A host does not depend on its peers in the end."""
    source.publish(newest, 4)
    follower = make_follower({"s:1": None, "p:1": None})
    asyncio.run(follower.step())
    assert follower.holder.current == newest
    assert source.reads == 1


def test_scheduler_reads_the_store_at_once(source, make_follower, newest):
    """The others wait for it."""
    source.publish(newest, 4)
    follower = make_follower({}, scheduler=True)
    asyncio.run(follower.step())
    assert source.reads == 1
    assert follower.exchange.asked == []


def test_peers_tell_a_host_that_the_store_refuses(
    source, make_follower, newest
):
    """Also if it has no configuration yet."""
    source.failing = True
    follower = make_follower({"s:1": told_by(newest, 0)})
    follower.holder.learn_end(1, 0.0)
    asyncio.run(follower.step())
    assert follower.holder.version == 3


def test_whole_is_fetched_when_changes_do_not_fit(
    source, make_follower, make_configuration, newest
):
    """A peer whose changes lead elsewhere is asked for everything."""
    old = make_configuration(1, {"a": 1.0})
    peer = told_by(old, 0)
    peer.replace(newest, 4)
    peer.checksum += 1
    tell = peer.changes_since

    def tell_whole_correctly(revision):
        if revision == -1:
            peer.checksum -= 1
        return tell(revision)

    peer.changes_since = tell_whole_correctly
    follower = make_follower({"s:1": peer})
    follower.holder.take_reading(configuration_source.Reading(1, 0, old), 0.0)
    source.publish(newest, 4)
    follower.holder.learn_end(5, 0.0)
    asyncio.run(follower.step())
    assert follower.holder.current == newest
    assert follower.exchange.asked == [("s:1", 0), ("s:1", -1)]


def test_scheduler_reads_the_newest_record_of_a_trimmed_topic(
    source, make_follower, make_configuration, newest
):
    """Whether or not anything was published since."""
    follower = make_follower({}, scheduler=True)
    old = make_configuration(1, {"a": 1.0})
    follower.holder.take_reading(configuration_source.Reading(1, 0, old), 0.0)
    source.publish(old, 0)
    asyncio.run(follower.step())
    assert not follower.holder.behind
    source.publish(newest, 4)
    asyncio.run(follower.step())
    assert follower.holder.current == newest


def test_last_good_configuration_is_told_behind_one_that_is_rejected(
    source, make_follower, newest
):
    """A restarted host stays without any until operators publish again."""
    source.reading = configuration_source.Reading(6, 5, None)
    follower = make_follower({"s:1": None})
    asyncio.run(follower.step())
    assert follower.holder.end == 6
    assert follower.holder.current is None
    follower.exchange.peers["p:1"] = told_by(newest, 4)
    asyncio.run(follower.step())
    assert follower.holder.current == newest


@pytest.mark.parametrize(
    ("answered_after_ms", "confirmed_after_ms"), [(300.0, 0.0), (850.0, 800.0)]
)
def test_waiting_read_confirms_only_what_the_store_has_waited_for(
    make_follower, monkeypatch, newest, answered_after_ms, confirmed_after_ms
):
    """An early answer that arrives late counts from its arrival."""
    now = [1e6]
    monkeypatch.setattr(clock, "boot_ms", lambda: now[0])
    follower = make_follower({}, scheduler=True)
    holder = follower.holder
    holder.take_reading(configuration_source.Reading(5, 4, newest), now[0])

    async def wait_for_record(end, *, wait_ms):
        now[0] += answered_after_ms
        return configuration_source.Reading(end)

    follower.source.next = wait_for_record
    started_ms = now[0]
    asyncio.run(follower.step())
    confirmed_ms = holder.freshness.confirmed_ms
    assert confirmed_ms == started_ms + confirmed_after_ms
