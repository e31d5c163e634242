"""Fixtures of the tests of dispatch."""

import pytest

from cicadafold.jobs import model


@pytest.fixture
def report():
    """Returns the registry report of a worker with sixteen cores."""
    return model.WorkerReport(
        id="w",
        pool="p",
        address="127.0.0.1:1",
        domain="d",
        draining=False,
        remaining_ms=0,
        born_ms=1,
        capacity=model.Resources(16000, 1000, 0),
        labels=("a", "r1-1"),
        sequence=1,
    )
