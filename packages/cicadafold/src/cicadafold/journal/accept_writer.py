"""Group commit of acceptances and cancellings by an entry host."""

import asyncio

from cicadafold import exception
from cicadafold.journal import records
from cicadafold.telemetry import logs

__all__ = ["AcceptWriter"]

# Partitions of the jobs topic that are written; one that does not answer
# is left for the next, so that a partial outage stops no acceptance.
PARTITIONS = 4
MAX_BATCH_BYTES = 1_000_000
RETRY_PAUSE_S = 0.05
# Other entry hosts may reach the store; the next try may find one.
RETRY_AFTER_MS = 1000

LOG = logs.get_logger("accept")


class PendingRecord:
    """A record that waits until it is durable.

    Attributes:
        entry: Key and value.
        deadline_s: Loop time at which the caller stops waiting.
        doubtful: Whether an append without an answer has held it.
    """

    def __init__(self, *, entry, deadline_s, future):
        self.entry = entry
        self.deadline_s = deadline_s
        self.future = future
        self.unconfirmed = False


class AcceptWriter:
    """Appends records of jobs, many in one call.

    Records are the same whenever they are repeated, so that an append
    without an answer can be repeated in any partition.

    Args:
        store: Client of the store.
        first_partition: Partition that this host prefers.
        metrics: Where appends are counted.
    """

    def __init__(self, *, store, first_partition, metrics):
        self.store = store
        self.partition = first_partition % PARTITIONS
        self.metrics = metrics
        self.queue = []
        self.batch_requested = asyncio.Event()
        self.failing_since_s = None

    async def write(self, key, value, *, deadline_s):
        """Waits until a record is durable.

        Args:
            key: Key of the record.
            value: Value, which is the same at each repetition.
            deadline_s: Loop time at which to give up.

        Raises:
            LogUnavailable: The record is not in the log and never will be.
            OutcomeUnknown: The record may be in the log.
        """
        if not self.store.reachable:
            raise store_unreachable()
        pending = PendingRecord(
            entry=(key, value),
            deadline_s=deadline_s,
            future=asyncio.get_running_loop().create_future(),
        )
        self.queue.append(pending)
        self.batch_requested.set()
        await pending.future

    async def run(self):
        """Appends what is waiting, one batch after the other.

        One append at a time: a slow store takes few of them, each with all
        that has come in between.
        """
        loop = asyncio.get_running_loop()
        while True:
            await self.batch_requested.wait()
            batch = self.next_batch()
            while batch:
                batch = await self.append(batch, loop)
                if batch:
                    await asyncio.sleep(RETRY_PAUSE_S)

    def next_batch(self):
        """Takes waiting records up to the largest batch."""
        size = 0
        count = 0
        for pending in self.queue:
            size += len(pending.entry[1])
            if size > MAX_BATCH_BYTES and count:
                break
            count += 1
        batch = self.queue[:count]
        del self.queue[:count]
        if not self.queue:
            self.batch_requested.clear()
        return batch

    async def append(self, batch, loop):
        """Appends a batch and returns the records to try again."""
        batch = self.fail_expired(batch, loop.time())
        if not batch:
            return []
        left_s = max(p.deadline_s for p in batch) - loop.time()
        partition = self.partition
        try:
            await self.store.append(
                records.JOBS_TOPIC,
                partition,
                [pending.entry for pending in batch],
                timeout_s=min(self.store.append_timeout_s, left_s),
            )
        except exception.LinkLost as error:
            for pending in batch:
                pending.unconfirmed = True
            self.switch_partition(partition, loop, error)
            return batch
        except exception.LogUnavailable as error:
            self.switch_partition(partition, loop, error)
            return batch
        self.report_recovery(loop)
        for pending in batch:
            if not pending.future.done():
                pending.future.set_result(None)
        return []

    def report_recovery(self, loop):
        """Notes that the store takes records again."""
        if self.failing_since_s is None:
            return
        lost_s = loop.time() - self.failing_since_s
        self.failing_since_s = None
        LOG.info("The store takes records again.", fields={"lost_s": lost_s})

    def switch_partition(self, partition, loop, error):
        """Goes on with the next partition after a failure."""
        if self.failing_since_s is None:
            self.failing_since_s = loop.time()
            LOG.warning(
                "An append failed: %s",
                error,
                fields={"partition": partition},
            )
        if self.partition == partition:
            self.partition = (partition + 1) % PARTITIONS

    def fail_expired(self, batch, now_s):
        """Answers the records whose callers stop waiting."""
        kept = []
        # A store out of reach is not waited for: another host may reach
        # it, and the caller can be there within its own deadline.
        for pending in batch:
            if pending.future.done():
                continue
            if now_s < pending.deadline_s and self.store.reachable:
                kept.append(pending)
            elif pending.unconfirmed:
                pending.future.set_exception(
                    exception.OutcomeUnknown(
                        message="The store did not confirm the record.",
                        remedy="Send the request again with the same ID.",
                    )
                )
            else:
                pending.future.set_exception(store_unreachable())
        return kept


def store_unreachable():
    """Returns the error of a record that was not sent to the store."""
    return exception.LogUnavailable(
        message="The store takes no records.",
        remedy="Send the request again later.",
        retry_after_ms=RETRY_AFTER_MS,
    )
