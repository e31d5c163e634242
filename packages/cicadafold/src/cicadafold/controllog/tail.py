"""Tail reader of the control log: applies new entries as they appear."""

import asyncio

from cicadafold import clock
from cicadafold.controllog import replay
from cicadafold import exception
from cicadafold.telemetry import logs

__all__ = ["Tail"]

READ_WAIT_MS = 2000
RETRY_PAUSE_S = 0.2

LOG = logs.get_logger("log")


class Tail:
    """Tail reader of the control log.

    Args:
        stream: Stream of the platform's log that holds the control log.
        accept_lost_state: Whether to start from the retained entries if
            neither the first entry nor a snapshot is retained.

    Attributes:
        replay: Replay of the entries read so far.
        next_offset: Offset of the next entry to read.
        at_end: Whether the last read reached the end of the log.
        reachable: Whether the last read succeeded.
        log_ahead_ms: Upper bound, in milliseconds, of the log's clock minus
            the monotonic clock of this process.
        changed: Event that is set, and replaced by a new one, after each
            read.
        listeners: Functions that are called with the records of each
            applied entry.
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
        """The state after the last applied entry."""
        return self.replay.state

    @property
    def ready(self):
        """Whether the state is complete and was read to the log's end."""
        return self.at_end and self.replay.complete

    def age_ms(self, log_ms):
        """Returns the greatest possible age of a log time in milliseconds.

        Args:
            log_ms: Time of the log's clock in milliseconds.
        """
        return clock.monotonic_ms() + self.log_ahead_ms - log_ms

    def add_listener(self, listener):
        """Adds a function that is called with each applied entry's records."""
        self.listeners.append(listener)

    async def run(self):
        """Reads the control log until it is cancelled."""
        while True:
            try:
                await self.read_once()
            except exception.LogUnavailable as error:
                self.set_reachable(False, error.message)
                await asyncio.sleep(RETRY_PAUSE_S)

    async def read_once(self):
        """Reads new entries once and applies them."""
        wait_ms = READ_WAIT_MS if self.at_end else 0
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
        """Handles a log that retains neither its first entry nor a snapshot.

        Starts from the retained entries if that is accepted. Otherwise it
        logs an error once and keeps waiting for a snapshot.
        """
        if self.accept_lost_state:
            LOG.warning(
                "The control log is incomplete. The state starts from the "
                "entries that are left."
            )
            self.replay.start_without_snapshot()
        elif not self.warned:
            self.warned = True
            LOG.error(
                "The control log is incomplete and has no snapshot. Wait for "
                "a snapshot of another process, or set "
                "platform.accept_lost_state for one start."
            )

    def restart(self, reply):
        """Discards the state after entries expired before they were read.

        A process that was paused for longer than the log's retention time
        must not apply later entries to its old state. It needs a snapshot.

        Args:
            reply: The reply of the log whose first entry is not the next
                one to read.
        """
        if self.next_offset > 1:
            LOG.warning(
                "Entries of the control log expired before they were read. "
                "The state is built again from a snapshot."
            )
            self.replay = replay.StateReplay()
        self.replay.start(reply.oldest)

    def apply_entry(self, entry):
        """Applies an entry and calls the listeners with its records."""
        self.next_offset = entry.offset + 1
        applied = self.replay.apply_entry(entry)
        for listener in self.listeners:
            listener(applied)

    def notify_waiters(self):
        """Wakes the tasks that wait for a change of the state."""
        self.changed.set()
        self.changed = asyncio.Event()

    def set_reachable(self, reachable, reason):
        """Records whether the log can be read, and logs each change.

        Args:
            reachable: Whether the last read succeeded.
            reason: Message of the error; empty after a successful read.
        """
        if reachable != self.reachable:
            self.reachable = reachable
            LOG.warning(
                "The control log is %s. %s",
                "readable" if reachable else "not readable",
                reason,
            )

    async def catch_up(self, *, timeout_s):
        """Waits until the entries appended before this call are applied.

        Args:
            timeout_s: Timeout of the read and of the wait, in seconds each.

        Returns:
            Whether the entries were applied in time.
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
            timeout_s: Greatest time to wait in seconds.

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
