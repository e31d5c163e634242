"""Routes of the callers' requests to queues, by the newest configuration."""

import asyncio

from cicadafold import clock
from cicadafold import exception
from cicadafold.telemetry import logs

__all__ = ["Routes"]

# Longest time that a read waits at the store for the configuration to change.
WAIT_MS = 2000
RETRY_PAUSE_S = 0.1
EMPTY_PAUSE_S = 0.1
QUERY_TIMEOUT_S = 0.5
# Pause between two log lines about the same failure.
LOG_PAUSE_MS = 1000.0

LOG = logs.get_logger("configuration")


class Routes:
    """Holds the configuration in force and finds queues by it.

    The version of the configuration never decreases.

    Args:
        source: ``ConfigurationSource`` that reads the store.
        scheduler: ``SchedulerClient``, used while the store cannot be read.
        on_change: Function called with each new configuration.

    Attributes:
        current: Configuration in force, or None before the first read.
        by_authority: Rules of queues by the host name that callers use in
            the URL, longest path prefix first.
        failing: Whether the last read from the store failed.
        confirmed_ms: Monotonic time in milliseconds at which the store last
            answered a read of the configuration.
        failed_reads: Number of reads that have failed since then.
    """

    def __init__(self, *, source, scheduler, on_change):
        self.source = source
        self.scheduler = scheduler
        self.on_change = on_change
        self.current = None
        self.by_authority = {}
        self.failing = False
        self.confirmed_ms = clock.monotonic_ms()
        self.failed_reads = 0
        self.logged_ms = -LOG_PAUSE_MS

    @property
    def unconfirmed_ms(self):
        """Milliseconds since the store confirmed the configuration."""
        return clock.monotonic_ms() - self.confirmed_ms

    def gauges(self):
        """Returns the version in force and its age, for the metrics."""
        return {
            "configuration_version": self.version,
            "configuration_unconfirmed_ms": round(self.unconfirmed_ms),
        }

    @property
    def version(self):
        """Version in force, -1 if there is none."""
        return -1 if self.current is None else self.current.version

    async def run(self):
        """Follows the configuration for as long as the process runs."""
        while True:
            try:
                configuration = await self.source.next(wait_ms=WAIT_MS)
            except (exception.LogUnavailable, exception.LinkLost) as error:
                self.record_read_result(error)
                await self.read_from_scheduler()
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            self.record_read_result(None)
            if configuration is not None:
                self.apply(configuration)
            if self.current is None:
                await asyncio.sleep(EMPTY_PAUSE_S)

    async def read_from_scheduler(self):
        """Applies the configuration of the scheduler's process, if newer."""
        try:
            configuration = await self.scheduler.configuration(
                self.version, timeout_s=QUERY_TIMEOUT_S
            )
        except (exception.LinkNotOpen, exception.LinkLost) as error:
            self.log_failure("the scheduler", error)
            return
        if configuration is not None:
            self.apply(configuration)

    def record_read_result(self, error):
        """Logs failed reads from the store, and the first that succeeds.

        Args:
            error: Error of the last read, or None if it succeeded.
        """
        if error is not None:
            self.failing = True
            self.failed_reads += 1
            self.log_failure("the store", error)
            return
        if self.failing:
            LOG.info(
                "The configuration is read from the store again.",
                fields={
                    "failed_reads": self.failed_reads,
                    "unconfirmed_ms": round(self.unconfirmed_ms),
                },
            )
        self.failing = False
        self.failed_reads = 0
        self.confirmed_ms = clock.monotonic_ms()

    def log_failure(self, source, error):
        """Logs a failed read of the configuration, at most once a second.

        Args:
            source: What could not be read from, for the message.
            error: Error of the read.
        """
        now_ms = clock.monotonic_ms()
        if now_ms - self.logged_ms < LOG_PAUSE_MS:
            return
        self.logged_ms = now_ms
        LOG.warning(
            "Cannot read the configuration from %s: %s",
            source,
            error,
            fields={
                "version": self.version,
                "failed_reads": self.failed_reads,
                "unconfirmed_ms": round(self.unconfirmed_ms),
            },
        )

    def apply(self, configuration):
        """Puts a configuration in force if it is newer."""
        if (
            self.current is not None
            and configuration.version <= self.current.version
        ):
            return
        self.current = configuration
        self.by_authority = {}
        for rule in configuration.queues.values():
            name = rule.authority.lower()
            self.by_authority.setdefault(name, []).append(rule)
        for rules in self.by_authority.values():
            rules.sort(key=lambda rule: -len(rule.prefix))
        LOG.info(
            "A new configuration is in force.",
            fields={
                "version": configuration.version,
                "queues": len(configuration.queues),
                "pools": len(configuration.pools),
            },
        )
        self.on_change(configuration)

    def rules(self):
        """Returns the rules of all queues by name of the queue."""
        return {} if self.current is None else self.current.queues

    def find_queue(self, authority, path):
        """Returns the rule of the queue that serves a URL.

        Args:
            authority: Host name of the URL, with or without a port.
            path: Path of the URL.

        Returns:
            The rule with the longest path prefix, or None.
        """
        name = authority.partition(":")[0].lower()
        for rule in self.by_authority.get(name, ()):
            if path.startswith(rule.prefix):
                return rule
        return None
