"""Tests of the placement policies and of the headroom of workers."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from cicadafold.placement import capacity
from cicadafold.placement import policies


class Candidate:
    """A worker with a capacity."""

    def __init__(self, cores, memory_mb):
        self.capacity = capacity.Capacity(
            slots=8, cores=cores, memory_mb=memory_mb, accelerators=0
        )


task_resources = st.builds(
    capacity.TaskResources,
    cores=st.floats(0.1, 16),
    memory_mb=st.integers(1, 4096),
)


@given(
    st.sampled_from(sorted(policies.POLICIES)),
    st.lists(task_resources, max_size=60),
)
def test_no_policy_exceeds_the_capacity(name, tasks):
    workers = [Candidate(16.0, 4096) for _ in range(3)]
    for resources in tasks:
        fitting = [w for w in workers if w.capacity.fits(resources)]
        chosen = policies.choose(name, fitting, resources)
        if chosen is not None:
            chosen.capacity.reserve(resources)
    for worker in workers:
        assert worker.capacity.free_cores >= -1e-3
        assert worker.capacity.free_memory_mb >= 0
        assert worker.capacity.free_slots >= 0


def test_headroom_reserves_a_share_of_every_resource():
    worker = Candidate(16.0, 4096)
    resources = capacity.TaskResources(cores=2.0, memory_mb=512)
    count = 0
    while worker.capacity.fits(resources, headroom=1):
        worker.capacity.reserve(resources)
        count += 1
    assert count == 7
    assert worker.capacity.fits(resources)


@pytest.mark.parametrize(
    ("name", "expected"),
    [("first_fit", 0), ("least_loaded", 1), ("best_fit", 2)],
)
def test_policy_chooses_expected_worker(name, expected):
    workers = [Candidate(16.0, 4096) for _ in range(3)]
    workers[0].capacity.reserve(capacity.TaskResources(cores=2, memory_mb=256))
    workers[2].capacity.reserve(
        capacity.TaskResources(cores=9, memory_mb=2048)
    )
    workers[2].capacity.reserve(
        capacity.TaskResources(cores=1, memory_mb=1024)
    )
    resources = capacity.TaskResources(cores=1, memory_mb=128)
    assert policies.choose(name, workers, resources) is workers[expected]
