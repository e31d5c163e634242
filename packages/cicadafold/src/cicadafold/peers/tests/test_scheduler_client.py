"""Tests of questions to the scheduler from a process that served a term."""

import asyncio
import types

import pytest

from cicadafold.peers import messages
from cicadafold.peers import scheduler_client

Health = messages.Health


@pytest.mark.parametrize(
    ("own", "expected"),
    (
        (Health.NO_TERM, Health.HEALTHY),
        (Health.DEGRADED, Health.DEGRADED),
        (None, Health.HEALTHY),
    ),
)
def test_ended_term_says_nothing_about_the_next_one(own, expected):
    """A deposed scheduler must not claim from its healthy successor."""

    async def call(make_query, *, timeout_s):
        return types.SimpleNamespace(health=Health.HEALTHY)

    term = types.SimpleNamespace(health=lambda: own)
    client = scheduler_client.SchedulerClient(
        local=lambda: None if own is None else term,
        remote=types.SimpleNamespace(call=call),
    )
    assert asyncio.run(client.health(timeout_s=1.0)) is expected
