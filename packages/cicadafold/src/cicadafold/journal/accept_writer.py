"""Group commit of accepted and cancelled jobs by an entry host."""

import asyncio

from cicadafold import exception
from cicadafold.journal import records
from cicadafold.telemetry import logs

__all__ = ["AcceptWriter"]

# Partitions of the jobs topic. After a failed append a writer switches to the
# next one, so that it can accept jobs in a partial outage. Only the
# scheduler's process uses the last ones, for records relayed to it: in
# them its appends do not wait for those of all entry hosts.
DIRECT_PARTITIONS = range(4)
RELAY_PARTITIONS = range(4, 6)
PARTITIONS = 6
MAX_BATCH_BYTES = 1_000_000
RETRY_PAUSE_S = 0.05
# Sent to callers, whose next attempt may get to an entry host that reaches
# the store.
RETRY_AFTER_MS = 1000

LOG = logs.get_logger("accept")


class PendingRecord:
    """A record that is not known to be durable yet.

    Attributes:
        entry: Key and value of the record.
        deadline_s: Event loop time in seconds at which the caller stops
            waiting.
        future: Completes when the record is durable or is given up.
        unconfirmed: Whether an append that contained the record was sent and
            got no answer, so that the record may be stored.
    """

    def __init__(self, *, entry, deadline_s, future):
        self.entry = entry
        self.deadline_s = deadline_s
        self.future = future
        self.unconfirmed = False


class AcceptWriter:
    """Appends job records to the store in batches.

    Records are idempotent: an append that got no answer is repeated, in any
    partition.

    Args:
        store: Client of the store.
        partitions: Range of the partitions to use.
        first_partition: Number from which the first partition to use is
            derived, so that entry hosts spread over the partitions.
        relay_open: Function that returns whether records can be relayed to
            the scheduler's process, which gathers those of all processes.
        metrics: Metrics of the process.

    Attributes:
        partition: Partition that is used now.
        queue: Records that are in no batch yet.
        batch_requested: Set while ``queue`` holds records.
        failing_since_s: Event loop time in seconds of the first failure
            since the last successful append, or None.
    """

    def __init__(
        self,
        *,
        store,
        metrics,
        partitions=DIRECT_PARTITIONS,
        first_partition=0,
        relay_open=lambda: False,
    ):
        self.store = store
        self.partitions = partitions
        self.partition = partitions[first_partition % len(partitions)]
        self.relay_open = relay_open
        self.metrics = metrics
        self.queue = []
        self.batch_requested = asyncio.Event()
        self.failing_since_s = None

    async def write(self, key, value, *, deadline_s):
        """Queues a record and waits until it is durable.

        Args:
            key: Key of the record.
            value: Value, which must be the same if the record is repeated.
            deadline_s: Event loop time in seconds at which to give up.

        Raises:
            LogUnavailable: The record is not in the journal and never will
                be.
            AppendSlow: The record may be in the journal, and its append has
                timed out although the store serves this process. It should
                be relayed.
            OutcomeUnknown: The record may be in the journal.
        """
        if not self.store.reachable:
            raise store_unavailable()
        pending = PendingRecord(
            entry=(key, value),
            deadline_s=deadline_s,
            future=asyncio.get_running_loop().create_future(),
        )
        self.queue.append(pending)
        self.batch_requested.set()
        await pending.future

    async def run(self):
        """Appends the queued records, one batch at a time.

        With a single append in flight, the records that arrive during a slow
        append gather in the next batch, so a slow store gets fewer appends.
        """
        loop = asyncio.get_running_loop()
        while True:
            await self.batch_requested.wait()
            batch = self.next_batch()
            try:
                while batch:
                    batch = await self.append(batch, loop)
                    if batch:
                        await asyncio.sleep(RETRY_PAUSE_S)
            finally:
                # After an unexpected error the supervisor restarts the
                # writer, without the records of this batch.
                for pending in batch:
                    if not pending.future.done():
                        pending.future.set_exception(not_confirmed())

    def next_batch(self):
        """Removes the next batch from the queue and returns it."""
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
        """Appends a batch and completes the futures of its records.

        Args:
            batch: Records to append.
            loop: Running event loop.

        Returns:
            The records that were not confirmed and are to be tried again;
            empty after a successful append.
        """
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
            if self.store.slow and self.store.reachable and self.relay_open():
                # A repeated append would only lengthen the queue of another
                # partition.
                for pending in batch:
                    if not pending.future.done():
                        pending.future.set_exception(append_slow())
                return []
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
        """Logs the recovery of the store after failed appends."""
        if self.failing_since_s is None:
            return
        lost_s = loop.time() - self.failing_since_s
        self.failing_since_s = None
        LOG.info(
            "The store accepts appends of job records again.",
            fields={"lost_s": lost_s},
        )

    def switch_partition(self, partition, loop, error):
        """Switches to the next partition after a failed append.

        Args:
            partition: Partition of the failed append.
            loop: Running event loop.
            error: Cause, logged if it is the first since a success.
        """
        if self.failing_since_s is None:
            self.failing_since_s = loop.time()
            LOG.warning(
                "An append of job records failed and is retried in the next "
                "partition until the callers' deadlines: %s",
                error,
                fields={"partition": partition},
            )
        if self.partition == partition:
            index = self.partitions.index(partition) + 1
            self.partition = self.partitions[index % len(self.partitions)]

    def fail_expired(self, batch, now_s):
        """Fails the records that cannot be appended in time.

        Args:
            batch: Records to check.
            now_s: Event loop time in seconds.

        Returns:
            The records that are still to be appended.
        """
        remaining = []
        # Records fail at once while the store is unreachable: another entry
        # host may reach it, and the caller can still retry there within its
        # deadline.
        for pending in batch:
            if pending.future.done():
                continue
            if now_s < pending.deadline_s and self.store.reachable:
                remaining.append(pending)
            elif pending.unconfirmed:
                pending.future.set_exception(not_confirmed())
            else:
                pending.future.set_exception(store_unavailable())
        return remaining


def not_confirmed():
    """Returns the error for a record that may be stored."""
    return exception.OutcomeUnknown(
        message="The store did not confirm the record in time.",
        remedy="Send the request again with the same ID.",
    )


def append_slow():
    """Returns the error for a record whose append takes too long."""
    return exception.AppendSlow(
        message="The store is slow and has not confirmed the record yet.",
        remedy="Relay the record to the scheduler's process.",
    )


def store_unavailable():
    """Returns the error for a record that is certainly not stored."""
    return exception.LogUnavailable(
        message="The store cannot be used to record the job now.",
        remedy="Send the request again later.",
        retry_after_ms=RETRY_AFTER_MS,
    )
