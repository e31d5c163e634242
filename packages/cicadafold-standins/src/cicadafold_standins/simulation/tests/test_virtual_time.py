"""Tests of the event loop in virtual time and of the simulated network."""

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
    """An hour of virtual time passes at once, and the clock follows it."""

    async def scenario():
        before_ms = clock.monotonic_ms()
        await asyncio.sleep(3600.0)
        return clock.monotonic_ms() - before_ms

    started_s = time.monotonic()
    passed_ms, failed = virtual_time.run(scenario, 1)
    assert passed_ms == pytest.approx(3_600_000.0)
    assert failed == []
    assert time.monotonic() - started_s < 60.0


def test_frozen_host_resumes_and_dead_host_does_not():
    """Callbacks that became due while a host was frozen run when thawed."""
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

    virtual_time.run(scenario, 1)
    assert ticks == ["frozen", "dead"] * 2 + ["frozen"]


@pytest.mark.parametrize(
    ("change", "error"),
    [
        (lambda network: None, None),
        (lambda network: network.cut.add(("caller", "server")), TimeoutError),
        (
            lambda network: network.servers.clear(),
            aiohttp.ClientConnectorError,
        ),
        (
            lambda network: setattr(network, "answer_loss_share", 1.0),
            aiohttp.ServerDisconnectedError,
        ),
        (
            lambda network: setattr(network, "late_call_share", 1.0),
            TimeoutError,
        ),
    ],
)
def test_calls_fail_as_those_of_a_real_session(change, error):
    """Callers get the exceptions of aiohttp that the product handles."""

    async def handle(request):
        return web.json_response({"got": (await request.json())["x"]})

    async def scenario():
        simulated_network = network.Network(rng=random.Random(3))
        app = web.Application()
        app.router.add_post("/api/x", handle)
        simulated_network.listen("server:80", app)
        change(simulated_network)
        session = network.Session(simulated_network, "caller")
        async with session.post(
            "http://server:80/api/x",
            data=b'{"x": 5}',
            timeout=aiohttp.ClientTimeout(total=0.1),
        ) as answer:
            return await answer.json()

    if error is None:
        assert virtual_time.run(scenario, 1)[0] == {"got": 5}
        return
    with pytest.raises(error):
        virtual_time.run(scenario, 1)
