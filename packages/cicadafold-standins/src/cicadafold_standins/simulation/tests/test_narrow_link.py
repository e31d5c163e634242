"""Tests of large answers of the store over a narrow link."""

import random

import pytest

from cicadafold.platform import log_store
from cicadafold.telemetry import metrics
from cicadafold_standins.fleet import store as store_module
from cicadafold_standins.simulation import bandwidth
from cicadafold_standins.simulation import network as network_module
from cicadafold_standins.simulation import virtual_time

HOST = "10.0.0.1"
STORE = "10.1.0.1:80"
TOPIC = "keyed.jobs"
# The narrowest links of the users' deployments.
NARROW_MBPS = 5.0
RECORDS = 300
RECORD_BYTES = 10_000


@pytest.mark.parametrize("call", ["read", "newest"])
def test_long_journal_is_read_over_a_narrow_link(call):
    """A read ends when nothing arrives, however long the whole takes."""

    async def scenario():
        topology = bandwidth.Topology(
            far_hosts=(), region_mbps=1.0, host_mbps={HOST: NARROW_MBPS}
        )
        network = network_module.Network(
            rng=random.Random(1), topology=topology
        )
        store = store_module.FleetStore()
        network.listen(STORE, store.app())
        for number in range(RECORDS):
            store.put(TOPIC, f"{number}", b"x" * RECORD_BYTES)
        client = log_store.LogStore(
            session=network_module.Session(network, HOST),
            address=STORE,
            metrics=metrics.Metrics(),
        )
        if call == "newest":
            found, _ = await client.newest(TOPIC, 0)
        else:
            found = (await client.read(TOPIC, 0, 0)).entries
        return len(found), client.slow

    (count, slow), failed = virtual_time.run(scenario, 1)
    assert failed == []
    assert count == RECORDS
    # A long transfer does not make the store look slow.
    assert not slow
