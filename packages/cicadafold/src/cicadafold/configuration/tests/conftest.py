"""Fixtures for configurations with any number of queues."""

import pytest

from cicadafold.jobs import model

POOLS = {"pool-a": model.PoolRule("pool-a")}


@pytest.fixture
def make_configuration():
    """Returns a function that makes configurations.

    It takes a version and the stretch of each queue by its name, so that a
    queue is changed by another stretch.
    """

    def make(version, stretches):
        queues = {
            name: model.QueueRule(
                name, "jobs.example", f"/{name}/", "pool-a", stretch=stretch
            )
            for name, stretch in stretches.items()
        }
        return model.Configuration(version, queues, POOLS, 65536)

    return make
