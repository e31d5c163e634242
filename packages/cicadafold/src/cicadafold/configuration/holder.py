"""The configuration in force on this host, and its age."""

import asyncio

from cicadafold import clock
from cicadafold.configuration import freshness
from cicadafold.configuration import history
from cicadafold.telemetry import logs

__all__ = ["Holder"]

# Pause between two log lines about failed reads.
LOG_PAUSE_MS = 1000.0

LOG = logs.get_logger("configuration")


class Holder:
    """Holds the newest known configuration and knows how old it may be.

    The version of the configuration never decreases. Times are those of
    ``clock.boot_ms``.

    Args:
        bound_ms: Time in which a confirmed configuration must be in force.
        routes: ``Routes`` that find queues by the configuration.
        on_change: Function called with each new configuration.
        revoke_ms: Time in which a withdrawn key must be refused, also without
            news of the configuration; None if keys do not expire.

    Attributes:
        history: ``History`` with the configuration.
        freshness: ``Freshness`` of the configuration.
        end: Offset up to which the operators' topic is known, None before
            the first read.
        wanted_end: Largest offset at which the topic is known to end.
        failed_reads: Number of failed reads since the configuration was last
            confirmed.
        expected: Event set while a newer end than ``end`` is known.
        advanced: Event set, and replaced, when ``end`` grows.
    """

    def __init__(self, *, bound_ms, routes, on_change, revoke_ms=None):
        self.freshness = freshness.Freshness(
            bound_ms=bound_ms,
            revoke_ms=revoke_ms,
            is_behind=lambda: self.behind,
        )
        self.routes = routes
        self.on_change = on_change
        self.history = history.History()
        self.end = None
        self.wanted_end = 0
        self.failed_reads = 0
        self.logged_ms = -LOG_PAUSE_MS
        self.expected = asyncio.Event()
        self.advanced = asyncio.Event()

    @property
    def current(self):
        """The configuration in force, or None."""
        return self.history.configuration

    @property
    def version(self):
        """Version in force, -1 if there is none."""
        return self.history.version

    @property
    def age_ms(self):
        """Time since the configuration was known to be the newest one."""
        return self.freshness.age_ms

    @property
    def behind(self):
        """Whether the topic is known to hold records not read yet."""
        return self.end is None or self.wanted_end > self.end

    @property
    def may_be_outdated(self):
        """Whether a newer configuration may be in force elsewhere."""
        return self.freshness.may_be_outdated

    @property
    def outdated(self):
        """Whether a newer configuration is known and should be in force."""
        return self.freshness.outdated

    @property
    def keys_expired(self):
        """Whether calls that need a key are refused for lack of news."""
        current = self.current
        if current is None or current.teams is None:
            return False
        return self.freshness.keys_expired

    def gauges(self):
        """Returns the version in force and its age, for the metrics."""
        return {
            "configuration_version": self.version,
            "configuration_age_ms": round(self.age_ms),
            "keys_expired": int(self.keys_expired),
        }

    def learn_end(self, end, at_ms):
        """Records where the topic is known to have ended at some time.

        Args:
            end: Offset at which it ended.
            at_ms: The time.
        """
        self.wanted_end = max(self.wanted_end, end)
        if self.end is not None and end <= self.end:
            self.confirm(at_ms)
        if self.behind:
            self.expected.set()

    def expect(self, end):
        """Notes that the topic has grown up to an offset."""
        if self.end is not None and end > self.end:
            self.wanted_end = max(self.wanted_end, end)
            self.expected.set()

    def confirm(self, at_ms):
        """Records a time at which the configuration was the newest one."""
        if self.failed_reads:
            LOG.info(
                "The configuration can be read again.",
                fields={
                    "failed_reads": self.failed_reads,
                    "age_ms": round(self.age_ms),
                },
            )
        self.failed_reads = 0
        self.freshness.confirm(at_ms)

    def take_reading(self, reading, at_ms):
        """Takes over what was read from the store.

        Args:
            reading: ``Reading`` of the store.
            at_ms: Time at which the topic is known to have ended there, if
                it did.
        """
        configuration = reading.configuration
        touched = None
        if configuration is not None and self.accepts(configuration.version):
            touched = self.history.replace(configuration, reading.revision)
        self.advance(reading.end, at_ms)
        self.put_in_force(touched, "store")

    def take_changes(self, changes, end, at_ms):
        """Takes over changes that a peer has told.

        Args:
            changes: The ``Changes``.
            end: Offset up to which the peer knows the topic.
            at_ms: Time at which the topic is known to have ended there.

        Raises:
            ChangesDoNotFit: They belong to another configuration.
        """
        touched = None
        if changes.revision > self.history.revision:
            if self.accepts(changes.version):
                touched = self.history.apply(changes)
        self.advance(end, at_ms)
        self.put_in_force(touched, "peer")

    def accepts(self, version):
        """Whether a version is newer than the one in force."""
        if version > self.version:
            return True
        if version < self.version:
            LOG.warning(
                "An older configuration was published, and is ignored.",
                fields={"version": self.version, "published": version},
            )
        return False

    def put_in_force(self, touched, source):
        """Lets requests be answered by the new configuration.

        Args:
            touched: Names of the queues that were added, changed or removed;
                None if there is no new configuration.
            source: Where it was read, for the log.
        """
        if touched is None:
            return
        configuration = self.current
        self.routes.update(touched, configuration.queues)
        LOG.info(
            "A new configuration is in force.",
            fields={
                "version": configuration.version,
                "queues": len(configuration.queues),
                "pools": len(configuration.pools),
                "teams": len(configuration.teams or ()),
                "keys": len(configuration.keys),
                "changed": len(touched),
                "source": source,
            },
        )
        self.on_change(configuration)

    def advance(self, end, at_ms):
        """Records up to which offset the topic is known.

        Args:
            end: The offset.
            at_ms: Time at which the topic is known to have ended there, if
                it did.
        """
        if self.end is None or end > self.end:
            self.end = end
            self.advanced.set()
            self.advanced = asyncio.Event()
        self.learn_end(end, at_ms)
        if not self.behind:
            self.expected.clear()

    async def wait_for(self, end, timeout_s):
        """Waits until the topic is known up to an offset, if it takes long."""
        try:
            async with asyncio.timeout(timeout_s):
                while self.end is None or self.end < end:
                    await self.advanced.wait()
        except TimeoutError:
            return

    def log_failure(self, source, error):
        """Counts a failed read and logs it, at most once a second.

        Args:
            source: What could not be read from, for the message.
            error: Error of the read.
        """
        self.failed_reads += 1
        now_ms = clock.boot_ms()
        if now_ms - self.logged_ms < LOG_PAUSE_MS:
            return
        self.logged_ms = now_ms
        LOG.warning(
            "Cannot read the configuration from %s: %s",
            source,
            error,
            fields={
                "version": self.version,
                "behind": self.behind,
                "failed_reads": self.failed_reads,
                "age_ms": round(self.age_ms),
            },
        )
