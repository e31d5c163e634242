"""Tests of the bounded log handler."""

import logging
import os

import pytest

from cicadafold.telemetry import rate_limited


@pytest.fixture
def pipe():
    """A pipe that nobody reads yet."""
    ends = os.pipe()
    yield ends
    for end in ends:
        os.close(end)


def record(text):
    """Returns a log record."""
    return logging.LogRecord("x", logging.INFO, "", 0, text, (), None)


def test_lines_over_the_rate_are_dropped_and_counted(pipe):
    """A flood is cut, and the next line that fits tells how much."""
    reader, writer = pipe
    now = [0.0]
    handler = rate_limited.RateLimitedHandler(
        descriptor=writer, clock=lambda: now[0]
    )
    for _ in range(rate_limited.BURST_LINES + 7):
        handler.emit(record("a"))
    now[0] = 1.0
    handler.emit(record("b"))
    lines = os.read(reader, 1 << 20).decode().splitlines()
    assert len(lines) == rate_limited.BURST_LINES + 2
    assert lines[-2:] == ["logs: 7 lines were dropped.", "b"]


def test_reader_that_does_not_read_stops_nothing(pipe):
    """A full pipe drops lines instead of blocking the process."""
    _, writer = pipe
    handler = rate_limited.RateLimitedHandler(descriptor=writer)
    for _ in range(100):
        handler.emit(record("x" * 10_000))
    assert handler.dropped > 0
