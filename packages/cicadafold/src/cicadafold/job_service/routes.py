"""Holds the newest configuration and finds queues by it."""

import asyncio

from cicadafold import exception
from cicadafold.telemetry import logs

__all__ = ["Routes"]

# A read waits at the store until the configuration changes.
WAIT_MS = 2000
RETRY_PAUSE_S = 0.1
EMPTY_PAUSE_S = 0.1
ASK_TIMEOUT_S = 0.5

LOG = logs.get_logger("configuration")


class Routes:
    """The configuration in force; its version never goes back.

    Args:
        source: Reader of the configuration.
        scheduler: Client of the scheduler, for when the store cannot be read.
        on_change: Function called with each new configuration.
    """

    def __init__(self, *, source, scheduler, on_change):
        self.source = source
        self.scheduler = scheduler
        self.on_change = on_change
        self.current = None
        self.by_authority = {}
        self.failing = False

    async def run(self):
        """Follows the configuration for as long as the process lives."""
        while True:
            try:
                found = await self.source.next(wait_ms=WAIT_MS)
            except (exception.LogUnavailable, exception.LinkLost) as error:
                self.record_read_result(error)
                await self.read_from_scheduler()
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            self.record_read_result(None)
            if found is not None:
                self.apply(found)
            if self.current is None:
                await asyncio.sleep(EMPTY_PAUSE_S)

    async def read_from_scheduler(self):
        """Takes the configuration from the scheduler's process."""
        version = -1 if self.current is None else self.current.version
        try:
            found = await self.scheduler.configuration(
                version, timeout_s=ASK_TIMEOUT_S
            )
        except (exception.LinkNotOpen, exception.LinkLost) as error:
            LOG.debug("The scheduler gave no configuration: %s", error)
            return
        if found is not None:
            self.apply(found)

    def record_read_result(self, error):
        """Logs that the configuration was lost or regained."""
        if (error is not None) == self.failing:
            return
        self.failing = error is not None
        if self.failing:
            LOG.warning("The configuration cannot be read: %s", error)
        else:
            LOG.info("The configuration is read again.")

    def apply(self, found):
        """Puts a configuration in force if it is newer."""
        if self.current is not None and found.version <= self.current.version:
            return
        self.current = found
        self.by_authority = {}
        for rule in found.queues.values():
            name = rule.authority.lower()
            self.by_authority.setdefault(name, []).append(rule)
        for rules in self.by_authority.values():
            rules.sort(key=lambda rule: -len(rule.prefix))
        LOG.info(
            "A configuration is in force.",
            fields={
                "version": found.version,
                "queues": len(found.queues),
                "pools": len(found.pools),
            },
        )
        self.on_change(found)

    def rules(self):
        """Returns the rules of all queues by name."""
        return {} if self.current is None else self.current.queues

    def find_queue(self, authority, path):
        """Returns the queue with the longest prefix of a path, or None."""
        name = authority.partition(":")[0].lower()
        for rule in self.by_authority.get(name, ()):
            if path.startswith(rule.prefix):
                return rule
        return None
