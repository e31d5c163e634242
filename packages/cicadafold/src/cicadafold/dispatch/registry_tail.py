"""Reads the platform's registry of workers."""

import asyncio

from cicadafold import clock
from cicadafold import exception
from cicadafold.telemetry import logs

__all__ = ["RegistryTail"]

# Each worker reports about once per second; a few reads per second keep the
# number of calls to the store low.
PAUSE_S = 0.2
RETRY_PAUSE_S = 0.2

LOG = logs.get_logger("registry")


class RegistryTail:
    """Polls the registry and passes its changes on.

    Args:
        source: Reader of the registry.
        on_report: Function called with each new or changed worker report.
        on_removed: Function called with the name of each worker that has
            been removed from the registry.

    Attributes:
        names: Names of the workers in the registry.
        read_ms: Monotonic time of the last successful read, in milliseconds.
        failing_since_ms: Monotonic time of the first of the current failed
            reads, in milliseconds; None if the last read succeeded.
        ready: Set once the registry has been read.
    """

    def __init__(self, *, source, on_report, on_removed):
        self.source = source
        self.on_report = on_report
        self.on_removed = on_removed
        self.names = set()
        self.read_ms = None
        self.failing_since_ms = None
        self.ready = asyncio.Event()

    async def run(self):
        """Reads the registry until the task is cancelled."""
        while True:
            try:
                changes = await self.source.changes()
            except (exception.LogUnavailable, exception.LinkLost) as error:
                if self.failing_since_ms is None:
                    self.failing_since_ms = clock.monotonic_ms()
                    LOG.warning(
                        "Cannot read the registry of workers, retrying: %s",
                        error,
                    )
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            self.read_ms = clock.monotonic_ms()
            if self.failing_since_ms is not None:
                LOG.info("The registry of workers can be read again.")
                self.failing_since_ms = None
            self.apply(changes)
            self.ready.set()
            await asyncio.sleep(PAUSE_S)

    def apply(self, changes):
        """Applies changes of the registry.

        Args:
            changes: Reports by worker name; None for a removed worker.
        """
        for name, report in changes.items():
            try:
                self.apply_change(name, report)
            except Exception:
                LOG.exception(
                    "A worker's entry cannot be applied and is skipped.",
                    fields={"worker": name},
                )

    def apply_change(self, name, report):
        """Applies the change of one worker's entry.

        Args:
            name: Name of the worker.
            report: Its report, or None if it was removed.
        """
        if report is not None:
            self.names.add(name)
            self.on_report(report)
        elif name in self.names:
            self.names.discard(name)
            self.on_removed(name)
