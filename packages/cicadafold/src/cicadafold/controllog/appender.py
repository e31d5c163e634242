"""Group commit: one append carries the records that gathered meanwhile."""

import asyncio
import time

from cicadafold.controllog import records
from cicadafold import exception
from cicadafold.telemetry import logs

__all__ = ["Appender"]

MIN_BATCH_DELAY_S = 0.05
BATCH_DELAY_PER_MEMBER_S = 0.01
RETRY_PAUSE_S = 0.1
REFUSAL_EXPIRY_S = 0.5
MAX_RECORDS_PER_APPEND = 500

LOG = logs.get_logger("log")


class PendingRecord:
    """A record that waits for its append."""

    def __init__(self, *, record, future, retry_refused):
        self.record = record
        self.future = future
        self.retry_refused = retry_refused
        self.maybe_appended = False


class Appender:
    """Appends records in batches, one append at a time.

    An append whose answer was lost is repeated: every record carries an
    identifier or a comparison that makes its repetition harmless.
    """

    def __init__(self, *, stream, metrics, count_members):
        self.stream = stream
        self.metrics = metrics
        self.count_members = count_members
        self.pending = []
        self.has_pending = asyncio.Event()
        self.down = False
        self.last_refused_s = 0.0

    async def append(self, record):
        """Appends a record.

        Args:
            record: A record of the control stream.

        Raises:
            LogUnavailable: The record is not on the log and never will be.
            LinkLost: The record may be on the log.
        """
        future = asyncio.get_running_loop().create_future()
        self.enqueue(
            PendingRecord(record=record, future=future, retry_refused=False)
        )
        return await future

    def append_in_background(self, record):
        """Appends a record as soon as the log takes it."""
        self.enqueue(
            PendingRecord(record=record, future=None, retry_refused=True)
        )

    def enqueue(self, pending):
        """Adds a record to the next batch."""
        self.pending.append(pending)
        self.has_pending.set()

    async def run(self):
        """Appends batches for as long as the process lives."""
        while True:
            await self.has_pending.wait()
            await asyncio.sleep(self.batch_delay_s())
            batch = self.pending[:MAX_RECORDS_PER_APPEND]
            del self.pending[: len(batch)]
            if not self.pending:
                self.has_pending.clear()
            await self.append_batch(batch)

    def batch_delay_s(self):
        """Returns how long records gather before an append.

        All members together stay below 100 appends a second.
        """
        return max(
            MIN_BATCH_DELAY_S, self.count_members() * BATCH_DELAY_PER_MEMBER_S
        )

    async def append_batch(self, batch):
        """Appends one batch and settles its records."""
        body = records.encode_entry([p.record for p in batch])
        try:
            offset = await self.stream.append(body)
        except exception.LogUnavailable as error:
            self.handle_refused_append(batch, error)
            await asyncio.sleep(RETRY_PAUSE_S)
        except exception.LinkLost as error:
            self.handle_lost_answer(batch, error)
            await asyncio.sleep(RETRY_PAUSE_S)
        else:
            self.set_down(False)
            self.metrics.count("log_appends")
            self.metrics.count("log_append_bytes", len(body))
            for pending in batch:
                if pending.future and not pending.future.done():
                    pending.future.set_result(offset)

    def handle_refused_append(self, batch, error):
        """Fails the records that are surely not on the log."""
        self.set_down(True)
        kept = []
        for pending in batch:
            if pending.retry_refused:
                kept.append(pending)
            elif pending.maybe_appended:
                fail(pending, unconfirmed_append())
            else:
                fail(pending, error)
        self.requeue(kept)

    def handle_lost_answer(self, batch, error):
        """Repeats the records whose append may have taken effect."""
        LOG.warning("The answer to an append was lost. It is repeated.")
        for pending in batch:
            pending.maybe_appended = True
        self.requeue(batch)

    def requeue(self, batch):
        """Puts records back at the head of the queue."""
        self.pending[:0] = batch
        if self.pending:
            self.has_pending.set()

    def is_refusing(self):
        """Whether an append was refused a short while ago.

        After a while the next append tries again; without it nobody would
        notice that the log is back.
        """
        elapsed_s = time.monotonic() - self.last_refused_s
        return self.down and elapsed_s < REFUSAL_EXPIRY_S

    def set_down(self, down):
        """Logs when the log goes down or comes back."""
        if down:
            self.last_refused_s = time.monotonic()
        if down != self.down:
            self.down = down
            LOG.warning("Appends are %s.", "refused" if down else "taken")


def fail(pending, error):
    """Fails a record's caller if it still waits."""
    if pending.future and not pending.future.done():
        pending.future.set_exception(error)


def unconfirmed_append():
    """Builds the error of a record that may be on the log."""
    return exception.LinkLost(
        message="The log stopped answering after an append.",
        remedy="Ask for the request's status later.",
    )
