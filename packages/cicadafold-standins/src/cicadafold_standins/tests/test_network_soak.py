"""Short run of the soak with faults of the links between processes."""

import asyncio

import pytest

from cicadafold_standins.fleet import soak

# Pairs of seed and duration in seconds.
SEEDS = ((1005, 3.0),)


@pytest.mark.parametrize(("seed", "seconds"), SEEDS)
def test_guarantees_hold_under_faults_of_links(seed, seconds):
    """A rule is broken while links are slow, silent or cut."""
    violations = asyncio.run(soak.run_seed(seed, seconds, network=True))
    assert violations == []
