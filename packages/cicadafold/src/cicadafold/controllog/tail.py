"""Reads the control stream to its end and keeps the fold current."""

import asyncio

from cicadafold import clock
from cicadafold.controllog import replay
from cicadafold import exception
from cicadafold.telemetry import logs

__all__ = ["Tail"]

WAIT_MS = 2000
RETRY_PAUSE_S = 0.2

LOG = logs.get_logger("log")


class Tail:
    """Follows the control stream.

    Attributes:
        fold: The folded state.
        reachable: Whether the last read succeeded.
        log_ahead_ms: Upper bound of the log's clock over our monotonic one.
    """

    def __init__(self, *, stream, accept_lost_state=False):
        self.stream = stream
        self.accept_lost_state = accept_lost_state
        self.warned = False
        self.replay = replay.StateReplay()
        self.next_offset = 1
        self.started = False
        self.at_end = False
        self.reachable = True
        self.log_ahead_ms = 0.0
        self.changed = asyncio.Event()
        self.listeners = []

    @property
    def state(self):
        """The folded state."""
        return self.replay.state

    @property
    def ready(self):
        """Whether the whole state has been folded at least once."""
        return self.at_end and self.replay.complete

    def age_ms(self, log_ms):
        """Returns the greatest age that a time of the log can have."""
        return clock.monotonic_ms() + self.log_ahead_ms - log_ms

    def add_listener(self, function):
        """Calls a function with the records of each folded entry."""
        self.listeners.append(function)

    async def run(self):
        """Follows the stream for as long as the process lives."""
        while True:
            try:
                await self.read_once()
            except exception.LogUnavailable as error:
                self.set_reachable(False, error.message)
                await asyncio.sleep(RETRY_PAUSE_S)

    async def read_once(self):
        """Reads and folds what has been appended."""
        wait_ms = WAIT_MS if self.at_end else 0
        sent_ms = clock.monotonic_ms()
        reply = await self.stream.read(start=self.next_offset, wait_ms=wait_ms)
        self.set_reachable(True, "")
        self.log_ahead_ms = reply.now_ms - sent_ms
        if not self.started:
            self.replay.start(reply.oldest)
            self.started = True
        if reply.entries and reply.entries[0].offset > self.next_offset:
            self.restart(reply)
        for entry in reply.entries:
            self.apply_entry(entry)
        self.at_end = self.next_offset >= reply.next_offset
        if self.at_end and not self.replay.complete:
            self.handle_lost_state()
        self.notify_waiters()

    def handle_lost_state(self):
        """Notes that the log holds no whole state any more."""
        if self.accept_lost_state:
            LOG.warning("The state is lost. It begins with what is left.")
            self.replay.start_without_snapshot()
        elif not self.warned:
            self.warned = True
            LOG.error(
                "The log has no whole state. Wait for a snapshot of another "
                "member, or set platform.accept_lost_state for one start."
            )

    def restart(self, reply):
        """Starts anew from a snapshot after entries were missed.

        A process that was paused for longer than the log keeps entries
        must not go on with its old state.
        """
        if self.next_offset > 1:
            LOG.warning("Entries were missed. The state is read anew.")
            self.replay = replay.StateReplay()
        self.replay.start(reply.oldest)

    def apply_entry(self, entry):
        """Folds an entry and tells the listeners."""
        self.next_offset = entry.offset + 1
        found = self.replay.apply_entry(entry)
        for function in self.listeners:
            function(found)

    def notify_waiters(self):
        """Wakes all that wait for a change of the state."""
        self.changed.set()
        self.changed = asyncio.Event()

    def set_reachable(self, reachable, reason):
        """Logs when the log goes away or comes back."""
        if reachable != self.reachable:
            self.reachable = reachable
            LOG.warning(
                "The log is %s. %s",
                "readable" if reachable else "not readable",
                reason,
            )

    async def catch_up(self, *, timeout_s):
        """Folds up to the end of the log as it is after this call began.

        Returns:
            Whether the log answered in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                reply = await self.stream.read(
                    start=self.next_offset, wait_ms=0
                )
        except (exception.LogUnavailable, TimeoutError):
            return False
        return await self.wait_until(
            lambda: self.next_offset >= reply.next_offset,
            timeout_s=timeout_s,
        )

    async def wait_until(self, condition, *, timeout_s):
        """Waits until a condition on the state holds.

        Args:
            condition: Function without arguments.
            timeout_s: Seconds to wait at most.

        Returns:
            Whether the condition holds.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while not condition():
                    await self.changed.wait()
        except TimeoutError:
            return condition()
        return True
