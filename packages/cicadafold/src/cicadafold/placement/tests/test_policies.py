"""Policies never choose a worker that cannot hold the task."""

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


sizes = st.builds(
    capacity.Size,
    cores=st.floats(0.1, 16),
    memory_mb=st.integers(1, 4096),
)


@given(
    st.sampled_from(sorted(policies.POLICIES)),
    st.lists(sizes, max_size=60),
)
def test_no_policy_overfills(name, tasks):
    workers = [Candidate(16.0, 4096) for _ in range(3)]
    for size in tasks:
        fitting = [w for w in workers if w.capacity.fits(size)]
        chosen = policies.choose(name, fitting, size)
        if chosen is not None:
            chosen.capacity.reserve(size)
    for worker in workers:
        assert worker.capacity.free_cores >= -1e-3
        assert worker.capacity.free_memory_mb >= 0
        assert worker.capacity.free_slots >= 0


def test_headroom_keeps_a_share_of_every_resource():
    worker = Candidate(16.0, 4096)
    size = capacity.Size(cores=2.0, memory_mb=512)
    count = 0
    while worker.capacity.fits(size, headroom=1):
        worker.capacity.reserve(size)
        count += 1
    assert count == 7
    assert worker.capacity.fits(size)


@pytest.mark.parametrize(
    ("name", "expected"),
    [("first_fit", 0), ("least_loaded", 1), ("best_fit", 2)],
)
def test_choice(name, expected):
    workers = [Candidate(16.0, 4096) for _ in range(3)]
    workers[0].capacity.reserve(capacity.Size(cores=2, memory_mb=256))
    workers[2].capacity.reserve(capacity.Size(cores=9, memory_mb=2048))
    workers[2].capacity.reserve(capacity.Size(cores=1, memory_mb=1024))
    size = capacity.Size(cores=1, memory_mb=128)
    assert policies.choose(name, workers, size) is workers[expected]
