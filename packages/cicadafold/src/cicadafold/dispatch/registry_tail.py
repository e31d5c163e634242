"""Follows the platform's registry of workers."""

import asyncio

from cicadafold import clock
from cicadafold import exception
from cicadafold.telemetry import logs

__all__ = ["RegistryTail"]

# Reports come about every second from each worker; reading them a few
# times a second keeps the store's calls few.
PAUSE_S = 0.2
RETRY_PAUSE_S = 0.2

LOG = logs.get_logger("registry")


class RegistryTail:
    """Keeps the newest report of each worker.

    Args:
        source: Reader of the registry.
        on_report: Function called with each report that matters.
        on_gone: Function called with the name of a worker that is gone.
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
        """Reads the registry for as long as the term lasts."""
        while True:
            try:
                changes = await self.source.changes()
            except (exception.LogUnavailable, exception.LinkLost) as error:
                if self.failing_since_ms is None:
                    self.failing_since_ms = clock.monotonic_ms()
                    LOG.warning("The registry cannot be read: %s", error)
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            self.read_ms = clock.monotonic_ms()
            if self.failing_since_ms is not None:
                LOG.info("The registry is read again.")
                self.failing_since_ms = None
            self.apply(changes)
            self.ready.set()
            await asyncio.sleep(PAUSE_S)

    def apply(self, changes):
        """Takes changed reports; None in place of one means gone."""
        for name, report in changes.items():
            if report is not None:
                self.names.add(name)
                self.on_report(report)
            elif name in self.names:
                self.names.discard(name)
                self.on_removed(name)
