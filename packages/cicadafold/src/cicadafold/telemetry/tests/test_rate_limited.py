"""Tests of the rate-limited log handler."""

import logging
import os

import pytest

from cicadafold.telemetry import rate_limited


@pytest.fixture
def pipe():
    """Yields the read end and the write end of a pipe."""
    ends = os.pipe()
    yield ends
    for end in ends:
        os.close(end)


def record(text, level=logging.INFO):
    """Returns a log record with a message."""
    return logging.LogRecord("x", level, "", 0, text, (), None)


def test_lines_over_the_rate_are_dropped_and_counted(pipe):
    """The next line within the rate follows the number of dropped lines."""
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


def test_warnings_are_written_while_other_lines_are_dropped(pipe):
    """A flood of other lines does not use up what is kept for warnings."""
    reader, writer = pipe
    handler = rate_limited.RateLimitedHandler(
        descriptor=writer, clock=lambda: 0.0
    )
    for _ in range(rate_limited.BURST_LINES + 7):
        handler.emit(record("a"))
    handler.emit(record("cause", logging.WARNING))
    lines = os.read(reader, 1 << 20).decode().splitlines()
    assert lines[-2:] == ["logs: 7 lines were dropped.", "cause"]


def test_full_pipe_does_not_block(pipe):
    """If nobody reads the pipe, lines are dropped instead of blocking."""
    _, writer = pipe
    handler = rate_limited.RateLimitedHandler(descriptor=writer)
    for _ in range(100):
        handler.emit(record("x" * 10_000))
    assert handler.dropped > 0
