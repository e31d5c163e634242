"""Tests of when a term is handed over."""

import asyncio
import types

import pytest

from cicadafold import clock
from cicadafold.dispatch import handover


def line(age_ms, election_priority=1.0):
    """Returns the line of a peer that the store answered so long ago."""

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
def test_term_goes_on_when_the_store_is_down_for_all(failing_ms, ages, found):
    """A successor must have been served after the failures began here."""

    async def scenario():
        lines = [line(age_ms) for age_ms in ages]
        since_ms = clock.monotonic_ms() - failing_ms
        holder = types.SimpleNamespace(
            list_peers=lambda: lines,
            store=types.SimpleNamespace(failing_since_ms=since_ms),
        )
        chosen = await handover.Handover.find_successor(holder)
        assert chosen is (None if found is None else lines[found])

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("age_ms", "strengths", "found"),
    [
        (2000.0, [1.2, 2.0, 1.9], 1),
        (2000.0, [1.2], None),
        (100.0, [2.0], None),
        (2000.0, [], None),
    ],
)
def test_term_moves_to_a_much_stronger_host(age_ms, strengths, found):
    """The strongest peer takes over once the term has lasted a while."""

    async def scenario():
        lines = [
            line(10.0, election_priority) for election_priority in strengths
        ]
        holder = types.SimpleNamespace(
            list_peers=lambda: lines,
            term_started_ms=clock.monotonic_ms() - age_ms,
            election_priority=1.0,
        )
        chosen = await handover.Handover.find_preferred_peer(holder)
        assert chosen is (None if found is None else lines[found])

    asyncio.run(scenario())
