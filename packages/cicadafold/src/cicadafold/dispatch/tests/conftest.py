"""Fixtures of the tests of dispatch."""

import types

import pytest

from cicadafold.dispatch import crash_tracking
from cicadafold.jobs import model
from cicadafold.telemetry import containment


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


@pytest.fixture
def crashes():
    """Returns a crash tracker without jobs."""
    return crash_tracking.CrashTracker(
        job_table=types.SimpleNamespace(active={}),
        journal=None,
        first_attempt=0,
        metrics=None,
    )


@pytest.fixture
def contained():
    """Returns a containment with metrics of its own."""
    return containment.Containment()
