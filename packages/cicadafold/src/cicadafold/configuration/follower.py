"""Keeps the configuration of a host up to date.

Only the scheduler's process reads each version in the store. It tells the
others what has changed: many hosts may share one link to the store, and each
reading the whole of a large configuration would keep all of them from having
it in time.
"""

import asyncio
import random

from cicadafold import clock
from cicadafold import exception
from cicadafold.telemetry import logs

__all__ = ["Follower"]

# After a larger record, the scheduler's process waits for as long as the read
# took, so that its link is free for other traffic.
LARGE_BYTES = 64 * 1024
# Shares of the time in which a configuration must be in force, or a withdrawn
# key be refused if that is shorter: the longest wait for a change at the
# store, and the pause between two questions to the scheduler.
WAIT_SHARE = 0.2
ASK_SHARE = 0.25
# Age of the scheduler's knowledge above which the store is asked as well.
FRESH_SHARE = 0.4
STATUS_TIMEOUT_S = 0.3
# Time for which a peer that is still reading holds its answer back.
HOLD_S = 0.8
RETRY_PAUSE_S = 0.1
# Other peers that are asked when the scheduler does not answer.
MAX_ASKED_PEERS = 2
# Bounds of the seconds without a peer that answers after which a host reads
# the store, by whether it has a low election priority; such hosts leave the
# link to the others first.
STORE_DELAY_S = {False: (0.3, 0.6), True: (1.2, 1.6)}
# Without any configuration it is read after so many durations of an answer:
# hosts close to the store, which have the shortest ones, share no narrow
# link to it.
FIRST_STORE_DELAY = (20.0, 40.0)

LOG = logs.get_logger("configuration")


class Follower:
    """Reads the configuration and confirms that it is the newest one.

    Args:
        holder: ``Holder`` of the configuration.
        source: ``ConfigurationSource`` that reads the store.
        exchange: Client of the peers, ``ConfigurationExchange``.
        is_scheduler: Function that returns whether this process runs the
            scheduler.
        low_priority: Whether this host has a low election priority.

    Attributes:
        answer_s: Duration of the last answer of the store without records,
            in seconds.
    """

    def __init__(
        self, *, holder, source, exchange, is_scheduler, low_priority
    ):
        self.holder = holder
        self.source = source
        self.exchange = exchange
        self.is_scheduler = is_scheduler
        self.low_priority = low_priority
        self.answer_s = 0.0

    async def run(self):
        """Follows the configuration for as long as the process runs."""
        while True:
            try:
                await self.step()
            except (exception.LogUnavailable, exception.LinkLost) as error:
                self.holder.log_failure("the store", error)
                await self.confirm_with_scheduler()
                await asyncio.sleep(RETRY_PAUSE_S)

    async def step(self):
        """Reads what is missing, or waits for a change."""
        if self.holder.end is None and not self.holder.wanted_end:
            await self.check_end()
        if self.holder.behind:
            await self.catch_up()
            return
        if self.holder.current is None and self.holder.end:
            # The newest record cannot be decoded. Peers that run for longer
            # may have the version before it.
            await self.ask_peers()
        if self.is_scheduler():
            await self.wait_at_store()
        else:
            if not await self.confirm_with_scheduler():
                await self.check_end()
            await self.wait_for_notice()

    async def check_end(self):
        """Asks the store where the topic ends.

        Raises:
            LogUnavailable, LinkLost: The store did not serve the call.
        """
        started_ms = clock.boot_ms()
        end = await self.source.end()
        self.answer_s = (clock.boot_ms() - started_ms) / clock.MS_PER_S
        if end == 0 and self.holder.end is None:
            self.holder.advance(0, started_ms)
        self.holder.learn_end(end, started_ms)

    async def confirm_with_scheduler(self):
        """Asks the scheduler where the topic ends.

        Returns:
            Whether it has answered and knows it.
        """
        started_ms = clock.boot_ms()
        try:
            status = await self.exchange.status(timeout_s=STATUS_TIMEOUT_S)
        except (exception.LinkNotOpen, exception.LinkLost) as error:
            LOG.debug("The scheduler does not know the newest: %s", error)
            return False
        if status.age_ms > FRESH_SHARE * self.holder.freshness.pace_ms:
            return False
        self.holder.learn_end(status.end, started_ms - status.age_ms)
        return True

    async def wait_for_notice(self):
        """Waits until it is time to ask again, or a change is announced."""
        try:
            async with asyncio.timeout(
                ASK_SHARE * self.holder.freshness.pace_ms / clock.MS_PER_S
            ):
                await self.holder.expected.wait()
        except TimeoutError:
            return

    async def wait_at_store(self):
        """Waits for a record at the store and takes it over.

        Raises:
            LogUnavailable, LinkLost: The store did not serve the call.
        """
        holder = self.holder
        longest_ms = WAIT_SHARE * holder.freshness.pace_ms
        # Right after a failure or a change, the age matters more than the
        # cost of a call that does not wait.
        wait_ms = 0 if holder.age_ms > longest_ms else round(longest_ms)
        started_ms = clock.boot_ms()
        try:
            reading = await self.source.next(holder.end, wait_ms=wait_ms)
        except exception.LogTrimmed:
            LOG.warning(
                "The store has deleted the next records of the topic; "
                "reading the newest record of each key instead.",
            )
            await self.read_store()
            await asyncio.sleep(RETRY_PAUSE_S)
            return
        took_ms = clock.boot_ms() - started_ms
        if reading.end == holder.end:
            # An answer that came late may have been given early, so it
            # counts from the call unless the store has waited.
            waited_ms = wait_ms if took_ms >= wait_ms else 0.0
            holder.confirm(started_ms + waited_ms)
            if took_ms < wait_ms / 2:
                await asyncio.sleep(RETRY_PAUSE_S)
            return
        holder.take_reading(reading, started_ms)
        if reading.size > LARGE_BYTES:
            # Versions that are overtaken meanwhile are not read.
            await asyncio.sleep(took_ms / clock.MS_PER_S)
            await self.check_end()

    async def catch_up(self):
        """Reads the newest configuration from the first source that has it."""
        loop = asyncio.get_running_loop()
        store_at_s = loop.time() + self.store_delay_s()
        while self.holder.behind:
            scheduler = self.is_scheduler()
            if not scheduler and await self.ask_peers():
                continue
            if scheduler or loop.time() >= store_at_s:
                try:
                    await self.read_store()
                except (exception.LogUnavailable, exception.LinkLost) as error:
                    self.holder.log_failure("the store", error)
            if self.holder.behind:
                await asyncio.sleep(RETRY_PAUSE_S)

    def store_delay_s(self):
        """Returns the seconds after which this host reads the store itself."""
        delay_s = random.uniform(*STORE_DELAY_S[self.low_priority])
        if self.holder.current is not None:
            return delay_s
        return min(delay_s, random.uniform(*FIRST_STORE_DELAY) * self.answer_s)

    async def read_store(self):
        """Reads the newest configuration from the store.

        Raises:
            LogUnavailable, LinkLost: The store did not serve the call.
        """
        started_ms = clock.boot_ms()
        reading = await self.source.newest(self.holder.wanted_end)
        self.holder.take_reading(reading, started_ms)

    async def ask_peers(self):
        """Asks the scheduler, then some others, for what has changed.

        Returns:
            Whether one of them has told something new.
        """
        before = self.holder.end
        scheduler, others = self.exchange.addresses()
        if scheduler is not None:
            await self.ask_peer(scheduler, hold_s=HOLD_S)
        if self.holder.end != before:
            return True
        chosen = random.sample(others, min(MAX_ASKED_PEERS, len(others)))
        for address in chosen:
            await self.ask_peer(address, hold_s=0.0)
            if self.holder.end != before:
                return True
        return False

    async def ask_peer(self, address, *, hold_s):
        """Asks a peer for what has changed, and takes it over.

        Args:
            address: Address of the peer.
            hold_s: Seconds for which the peer may hold its answer back until
                it has read the newest configuration itself.
        """
        holder = self.holder
        base = holder.history.revision
        for revision in (base, -1):
            started_ms = clock.boot_ms()
            try:
                told = await self.exchange.fetch(
                    address, revision, holder.wanted_end, hold_s=hold_s
                )
            except exception.CicadafoldError as error:
                holder.log_failure(f"the peer {address}", error)
                return
            if told is None:
                return
            try:
                holder.take_changes(
                    told.changes, told.end, started_ms - told.age_ms
                )
                return
            except exception.ChangesDoNotFit as error:
                LOG.warning(
                    "Changes of the configuration are not valid; reading the"
                    " whole: %s",
                    error,
                    fields={"peer": address, "revision": base},
                )
