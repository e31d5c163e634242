"""Unexpected errors that stay with the job or worker that they are about.

The loops of a term serve all jobs and workers. An error that ended them would
end the term, and the next term, which reads the same journal, would end in
the same way.
"""

import asyncio
import collections
import contextlib
import enum

import msgspec

from cicadafold import clock
from cicadafold.telemetry import logs
from cicadafold.telemetry import metrics as metrics_module

__all__ = ["Containment", "Part"]

# Pause before an item whose handling has failed is handled again; it doubles
# with each failure in a row.
FIRST_PAUSE_MS = 100.0
LONGEST_PAUSE_MS = 5000.0
MAX_DOUBLINGS = 10
# Longest pause of a loop, on which many jobs may depend.
LONGEST_LOOP_PAUSE_MS = 1000.0
# Failing items that are remembered, the newest ones.
MAX_REMEMBERED = 1000

LOG = logs.get_logger("term")


class Part(enum.Enum):
    """Part of a term in which an error is contained; a label of a metric."""

    PLACING = "placing"
    PASS = "pass"
    PREEMPTING = "preempting"
    RESERVING = "reserving"
    STARTING = "starting"
    STOPPING = "stopping"
    RENEWING = "renewing"
    PROGRESS = "progress"
    ENDS = "ends"
    LOSSES = "losses"
    WATCHING = "watching"
    PACING = "pacing"
    ADMISSION = "admission"
    ADVICE = "advice"
    INTAKE = "intake"
    CLEANUP = "cleanup"
    JOURNAL = "journal"
    LOOP = "loop"
    TASK = "task"


class Failure(msgspec.Struct):
    """Failures in a row of the handling of one item.

    Attributes:
        count: Number of the failures.
        until_ms: Monotonic time in milliseconds at which the pause ends.
    """

    count: int = 0
    until_ms: float = 0.0


class Containment:
    """Logs and counts unexpected errors, and pauses what they are about.

    Args:
        metrics: Metrics in which the errors are counted, None for new ones.

    Attributes:
        failures: ``Failure`` by part and identifier, newest last.

    Examples:
        >>> found = Containment()
        >>> with found.contain(Part.PLACING, "j1", request_id="j1"):
        ...     raise KeyError("pool")
        >>> found.paused(Part.PLACING)
        {'j1'}
    """

    def __init__(self, *, metrics=None):
        self.metrics = metrics or metrics_module.Metrics()
        self.failures = collections.OrderedDict()

    @contextlib.contextmanager
    def contain(self, part, key="", **fields):
        """Reports an unexpected error of the body instead of raising it.

        Args:
            part: ``Part`` of the term.
            key: Identifier of what the body handles.
            **fields: Fields of the log line.
        """
        try:
            yield
        except Exception as error:
            self.report(part, key, error, **fields)
        else:
            self.clear(part, key)

    def report(self, part, key, error, **fields):
        """Logs and counts an error, and pauses what it is about.

        Of the failures in a row the 1st, 2nd, 4th and so on are logged.

        Args:
            part: ``Part`` of the term.
            key: Identifier of what failed.
            error: The error.
            **fields: Fields of the log line.
        """
        self.metrics.count("errors_contained", part=part.value)
        failure = self.failures.setdefault((part, key), Failure())
        self.failures.move_to_end((part, key))
        if len(self.failures) > MAX_REMEMBERED:
            self.failures.popitem(last=False)
        doublings = min(failure.count, MAX_DOUBLINGS)
        pause_ms = min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2**doublings)
        failure.count += 1
        failure.until_ms = clock.monotonic_ms() + pause_ms
        if failure.count & (failure.count - 1):
            return
        LOG.error(
            "An unexpected error was contained; the rest of the term goes "
            "on: %r",
            error,
            exc_info=error,
            fields=fields
            | {
                "part": part.value,
                "in_a_row": failure.count,
                "paused_ms": round(pause_ms),
            },
        )

    def clear(self, part, key=""):
        """Notes that an item was handled without an error."""
        if self.failures:
            self.failures.pop((part, key), None)

    async def run(self, coroutine):
        """Runs a task of the term that is not essential to the others.

        Args:
            coroutine: Coroutine of the task.
        """
        name = coroutine.__qualname__
        with self.contain(Part.TASK, name, task=name):
            await coroutine

    async def keep_running(self, name, run):
        """Runs a loop of the term, again after each unexpected error.

        Args:
            name: Name of the loop, for the log.
            run: Coroutine function of the loop.
        """
        while True:
            started_ms = clock.monotonic_ms()
            try:
                return await run()
            except Exception as error:
                now_ms = clock.monotonic_ms()
                if now_ms - started_ms > LONGEST_PAUSE_MS:
                    self.clear(Part.LOOP, name)
                self.report(Part.LOOP, name, error, loop=name)
                pause_ms = self.failures[Part.LOOP, name].until_ms - now_ms
                pause_ms = min(LONGEST_LOOP_PAUSE_MS, pause_ms)
                await asyncio.sleep(pause_ms / clock.MS_PER_S)

    def count(self, part, key=""):
        """Returns how many times in a row the handling of an item failed."""
        failure = self.failures.get((part, key))
        return 0 if failure is None else failure.count

    def paused(self, part):
        """Returns the identifiers that are not to be handled now."""
        if not self.failures:
            return set()
        now_ms = clock.monotonic_ms()
        return {
            key
            for (found, key), failure in self.failures.items()
            if found is part and now_ms < failure.until_ms
        }
