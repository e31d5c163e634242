"""Tests of when a term is handed over, and to which peer."""

import asyncio
import types

import pytest

from cicadafold import clock
from cicadafold.dispatch import handover


def make_peer(age_ms, election_priority=1.0):
    """Returns a fake handle of a peer.

    Args:
        age_ms: Time since the store last answered the peer, in milliseconds.
        election_priority: Election priority of the peer.
    """

    async def store_age_ms():
        return age_ms

    return types.SimpleNamespace(
        member="p",
        store_age_ms=store_age_ms,
        election_priority=election_priority,
    )


@pytest.mark.parametrize(
    ("failing_ms", "ages", "found"),
    [
        (300.0, [310.0, 305.0], None),
        (300.0, [310.0, 20.0], 1),
        (300.0, [250.0], None),
        (300.0, [], None),
    ],
)
def test_term_continues_if_the_store_is_down_for_all(failing_ms, ages, found):
    """Successors are peers that the store answered after it failed here."""

    async def scenario():
        peers = [make_peer(age_ms) for age_ms in ages]
        since_ms = clock.monotonic_ms() - failing_ms
        fake = types.SimpleNamespace(
            list_peers=lambda: peers,
            store=types.SimpleNamespace(failing_since_ms=since_ms),
        )
        chosen = await handover.Handover.find_successor(fake)
        assert chosen is (None if found is None else peers[found])

    asyncio.run(scenario())


def test_term_continues_if_another_peer_answers_late():
    """A term was handed over in an outage of the store for all.

    The age that the first peer had told was compared with the duration of
    the outage at the time of the last answer.
    """

    async def scenario():
        late = make_peer(1e12)

        async def answer_late():
            await asyncio.sleep(0.2)
            return 1e12

        late.store_age_ms = answer_late
        since_ms = clock.monotonic_ms() - 300.0
        fake = types.SimpleNamespace(
            list_peers=lambda: [make_peer(310.0), late],
            store=types.SimpleNamespace(failing_since_ms=since_ms),
        )
        assert await handover.Handover.find_successor(fake) is None

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("age_ms", "priorities", "patience", "found"),
    [
        (2000.0, [1.2, 2.0, 1.9], 1, 1),
        (2000.0, [1.2], 1, None),
        (100.0, [2.0], 1, None),
        (2000.0, [], 1, None),
        (2000.0, [2.0], 4, None),
        (5000.0, [2.0], 4, 0),
    ],
)
def test_term_is_handed_to_a_peer_of_much_higher_priority(
    age_ms, priorities, patience, found
):
    """The peer of highest priority is chosen if the term is old enough."""

    async def scenario():
        peers = [make_peer(10.0, priority) for priority in priorities]
        fake = types.SimpleNamespace(
            list_peers=lambda: peers,
            term_started_ms=clock.monotonic_ms() - age_ms,
            election_priority=1.0,
            patience=patience,
        )
        chosen = await handover.Handover.find_preferred_peer(fake)
        assert chosen is (None if found is None else peers[found])

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("failing_ms", "patience", "long"),
    [(300.0, 1, True), (300.0, 2, False), (600.0, 2, True)],
)
def test_store_has_to_fail_for_longer_after_several_handovers(
    failing_ms, patience, long
):
    """A store that fails now and then had terms handed to and fro."""
    since_ms = clock.monotonic_ms() - failing_ms
    fake = types.SimpleNamespace(
        store=types.SimpleNamespace(failing_since_ms=since_ms),
        patience=patience,
    )
    assert handover.Handover.store_fails_for_long(fake) is long
