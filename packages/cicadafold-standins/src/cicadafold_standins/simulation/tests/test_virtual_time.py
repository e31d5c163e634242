"""Tests of the loop in virtual time and of its network."""

import asyncio
import random
import time

import aiohttp
from aiohttp import web
import pytest

from cicadafold import clock
from cicadafold_standins.simulation import network
from cicadafold_standins.simulation import virtual_time


def test_time_passes_at_once():
    """An hour takes no time, and the product's clock follows."""

    async def scenario():
        before_ms = clock.monotonic_ms()
        await asyncio.sleep(3600.0)
        return clock.monotonic_ms() - before_ms

    begun_s = time.monotonic()
    passed_ms, failed = virtual_time.play(scenario, 1)
    assert passed_ms == pytest.approx(3_600_000.0)
    assert failed == []
    assert time.monotonic() - begun_s < 60.0


def test_frozen_host_goes_on_where_it_stopped_and_a_dead_one_does_not():
    """What became due while it was frozen runs when it is thawed."""
    ticks = []

    async def tick(name):
        while True:
            await asyncio.sleep(1.0)
            ticks.append(name)

    async def scenario():
        hosts = [virtual_time.Host(name=name) for name in ("frozen", "dead")]
        for host in hosts:
            host.spawn(tick(host.name))
        await asyncio.sleep(2.5)
        hosts[0].freeze()
        hosts[1].kill()
        await asyncio.sleep(10.0)
        hosts[0].thaw()
        await asyncio.sleep(0.9)

    virtual_time.play(scenario, 1)
    assert ticks == ["frozen", "dead"] * 2 + ["frozen"]


@pytest.mark.parametrize(
    ("change", "error"),
    [
        (lambda made: None, None),
        (lambda made: made.cut.add(("caller", "server")), TimeoutError),
        (lambda made: made.servers.clear(), aiohttp.ClientConnectorError),
        (
            lambda made: setattr(made, "lose_share", 1.0),
            aiohttp.ServerDisconnectedError,
        ),
        (lambda made: setattr(made, "late_share", 1.0), TimeoutError),
    ],
)
def test_calls_fail_as_those_of_a_real_session(change, error):
    """A caller gets the errors that the product's clients expect."""

    async def handle(request):
        return web.json_response({"got": (await request.json())["x"]})

    async def scenario():
        made = network.Network(luck=random.Random(3))
        app = web.Application()
        app.router.add_post("/api/x", handle)
        made.listen("server:80", app)
        change(made)
        session = network.Session(made, "caller")
        async with session.post(
            "http://server:80/api/x",
            data=b'{"x": 5}',
            timeout=aiohttp.ClientTimeout(total=0.1),
        ) as answer:
            return await answer.json()

    if error is None:
        assert virtual_time.play(scenario, 1)[0] == {"got": 5}
        return
    with pytest.raises(error):
        virtual_time.play(scenario, 1)
