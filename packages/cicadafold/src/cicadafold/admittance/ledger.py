"""Decides which connections are refused or closed."""

import collections
import enum

from cicadafold import clock
from cicadafold.telemetry import logs
from cicadafold.telemetry import metrics as metrics_module

__all__ = ["Connection", "Ledger", "Phase", "Reason"]

# Pause between two log lines with the same reason.
LOG_PAUSE_MS = 1000.0

LOG = logs.get_logger("connections")


class Phase(enum.Enum):
    """What a connection is doing."""

    IDLE = "idle"
    HEAD = "receiving a head"
    BODY = "receiving a body"
    ANSWER = "answering"
    LINK = "link"
    CLOSING = "closing"


class Reason(enum.Enum):
    """Why a connection was closed or its request refused."""

    NUMBER = "too many connections"
    MEMORY = "too many bytes held"
    HEAD = "head too large"
    BODY = "body too large"
    CHUNKS = "chunks too small"
    STALLED = "no progress"
    SLOW = "not received in time"


RECEIVING = (Phase.HEAD, Phase.BODY)
# Phases in which a connection can be closed to make room for another, the
# first ones first.
CLOSABLE = (Phase.IDLE, Phase.HEAD, Phase.BODY)


class Connection:
    """An open connection.

    Args:
        group: ``Group`` of the connection.
        close: Function that closes the connection, given the ``Reason``.
        now_s: Current time in seconds.

    Attributes:
        phase: ``Phase`` of the connection.
        held_bytes: Bytes received that may still be in memory.
        progress_s: Time in seconds of its last progress.
        since_s: Time in seconds at which the current request began.
        blocked_s: Time in seconds since which the client takes no answer,
            None if it does.
    """

    def __init__(self, *, group, close, now_s):
        self.group = group
        self.close = close
        self.phase = Phase.IDLE
        self.held_bytes = 0
        self.progress_s = now_s
        self.since_s = now_s
        self.blocked_s = None


class Ledger:
    """All open connections of a process and the bytes that they hold.

    Args:
        bounds: ``ConnectionBounds`` of the process.
        metrics: Metrics that count what is closed and refused.

    Attributes:
        connections: Open connections by group, each as a key, in the order
            of their last progress.
        held_bytes: Bytes that they hold together by group.
        skipped: Connections closed since the last log line, by reason.
        logged_ms: Monotonic time of the last line in milliseconds, by reason.
    """

    def __init__(self, *, bounds, metrics):
        self.bounds = bounds
        self.metrics = metrics
        self.connections = {
            group: collections.OrderedDict() for group in bounds.connections
        }
        self.held_bytes = dict.fromkeys(bounds.connections, 0)
        self.skipped = {}
        self.logged_ms = {}

    def add(self, connection):
        """Adds a connection, which may close another one of its group.

        Returns:
            Whether the connection is accepted.
        """
        group = self.connections[connection.group]
        if len(group) >= self.bounds.connections[connection.group]:
            victim = self.find_displaced(group)
            if victim is None:
                self.record(connection, Reason.NUMBER)
                return False
            self.close(victim, Reason.NUMBER)
        group[connection] = None
        return True

    def remove(self, connection):
        """Removes a connection that was closed."""
        self.release(connection)
        self.connections[connection.group].pop(connection, None)

    def note_progress(self, connection, now_s):
        """Records that a connection has received something."""
        connection.progress_s = now_s
        if connection in self.connections[connection.group]:
            self.connections[connection.group].move_to_end(connection)

    def hold(self, connection, count):
        """Records received bytes, which may close other connections.

        Returns:
            Whether the bytes can be held.
        """
        group = connection.group
        connection.held_bytes += count
        self.held_bytes[group] += count
        limit = self.bounds.held_bytes[group]
        if connection.held_bytes > self.bounds.small_request_bytes:
            limit *= 1 - self.bounds.small_share
        while self.held_bytes[group] > limit:
            victim = self.find_sitting(connection)
            if victim is None:
                return False
            self.close(victim, Reason.MEMORY)
        return True

    def release(self, connection, kept_bytes=0):
        """Records that a connection holds at most so many bytes now."""
        kept_bytes = min(kept_bytes, connection.held_bytes)
        self.held_bytes[connection.group] -= connection.held_bytes - kept_bytes
        connection.held_bytes = kept_bytes

    def find_displaced(self, group):
        """Returns the connection that a new one replaces, or None.

        Among idle connections, or else among those that have not sent a
        complete request, it is the one that made no progress for longest.
        """
        for phase in CLOSABLE:
            for connection in group:
                if connection.phase is phase:
                    return connection
        return None

    def find_sitting(self, connection):
        """Returns the connection that holds bytes and sends none, or None.

        Args:
            connection: Connection that needs room. It is never returned.
        """
        latest_s = connection.progress_s - self.bounds.patience_s
        for each in self.connections[connection.group]:
            if each.progress_s > latest_s:
                return None
            receives = each.phase in RECEIVING and each.held_bytes
            if receives and each is not connection:
                return each
        return None

    def close_overdue(self, now_s):
        """Closes the connections that exceed a bound on time."""
        for group in self.connections.values():
            for connection in list(group):
                reason = self.overdue_reason(connection, now_s)
                if reason is not None:
                    self.close(connection, reason)

    def overdue_reason(self, connection, now_s):
        """Returns why a connection is overdue, None if it is not."""
        if connection.phase is Phase.ANSWER:
            blocked_s = connection.blocked_s
            if blocked_s is None or now_s - blocked_s <= self.bounds.stall_s:
                return None
            return Reason.STALLED
        if connection.phase not in RECEIVING:
            return None
        if now_s - connection.progress_s > self.bounds.stall_s:
            return Reason.STALLED
        if now_s - connection.since_s > self.bounds.receive_s:
            return Reason.SLOW
        return None

    def gauges(self):
        """Returns the current values of metrics by name and labels."""
        gauges = {}
        for group, connections in self.connections.items():
            label = metrics_module.label_text((("address", group.value),))
            gauges[f"connections_open{label}"] = len(connections)
            gauges[f"connection_held_bytes{label}"] = self.held_bytes[group]
        return gauges

    def close(self, connection, reason):
        """Closes a connection."""
        self.record(connection, reason)
        self.remove(connection)
        connection.phase = Phase.CLOSING
        connection.close(reason)

    def record(self, connection, reason):
        """Counts and logs a connection that is closed or refused."""
        self.metrics.count(
            "connections_closed",
            address=connection.group.value,
            reason=reason.value,
        )
        key = (connection.group, reason)
        self.skipped[key] = self.skipped.get(key, 0) + 1
        now_ms = clock.monotonic_ms()
        last_ms = self.logged_ms.get(key)
        if last_ms is not None and now_ms - last_ms < LOG_PAUSE_MS:
            return
        self.logged_ms[key] = now_ms
        LOG.warning(
            "Connections were closed, or their requests refused: %s.",
            reason.value,
            fields={
                "address": connection.group.value,
                "connections": self.skipped.pop(key),
                "held_bytes": self.held_bytes[connection.group],
            },
        )
