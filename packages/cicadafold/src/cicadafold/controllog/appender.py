"""Appends records to the control log by group commit.

Records that arrive while an append is under way share the next one.
"""

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
    """A record that is queued for an append.

    Attributes:
        record: The control record.
        future: Future of the caller that waits for the offset, or None.
        retry_refused: Whether the record is queued again after a refused
            append, instead of failing its caller.
        maybe_appended: Whether an earlier append of the record was not
            confirmed, so that the record may be on the log.
    """

    def __init__(self, *, record, future, retry_refused):
        self.record = record
        self.future = future
        self.retry_refused = retry_refused
        self.maybe_appended = False


class Appender:
    """Appends records in batches, one append at a time.

    An append without a reply is repeated. That is safe because each record
    holds an identifier, or the value that it expects in the state, by which
    a duplicate is recognized when it is applied.

    Args:
        stream: Stream of the platform's log that holds the control log.
        metrics: Metrics of this process.
        count_members: Function that returns the number of processes that
            append to the control log.

    Attributes:
        pending: Queued records, the next one to append first.
        has_pending: Event that is set while records are queued.
        down: Whether the last append was refused.
        last_refused_s: Monotonic time in seconds of the last refusal.
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
        """Appends a record and returns its offset on the log.

        Args:
            record: A control record.

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
        """Queues a record that is retried until the log has accepted it."""
        self.enqueue(
            PendingRecord(record=record, future=None, retry_refused=True)
        )

    def enqueue(self, pending):
        """Queues a record for the next batch."""
        self.pending.append(pending)
        self.has_pending.set()

    async def run(self):
        """Appends queued records in batches until it is cancelled."""
        while True:
            await self.has_pending.wait()
            await asyncio.sleep(self.batch_delay_s())
            batch = self.pending[:MAX_RECORDS_PER_APPEND]
            del self.pending[: len(batch)]
            if not self.pending:
                self.has_pending.clear()
            await self.append_batch(batch)

    def batch_delay_s(self):
        """Returns the seconds for which records are collected into a batch.

        The delay grows with the number of processes, so that all of them
        together stay below 100 appends per second.
        """
        return max(
            MIN_BATCH_DELAY_S, self.count_members() * BATCH_DELAY_PER_MEMBER_S
        )

    async def append_batch(self, batch):
        """Appends one batch and passes the result to the waiting callers."""
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
        """Handles a batch that the log refused.

        Records with ``retry_refused`` are queued again. The others fail:
        with ``LinkLost`` if an earlier append may have stored the record,
        else with the error of the refusal.
        """
        self.set_down(True)
        retried = []
        for pending in batch:
            if pending.retry_refused:
                retried.append(pending)
            elif pending.maybe_appended:
                fail(pending, unconfirmed_append_error())
            else:
                fail(pending, error)
        self.requeue(retried)

    def handle_lost_answer(self, batch, error):
        """Queues a batch again that the log may have stored."""
        LOG.warning(
            "The control log did not confirm an append. It is repeated."
        )
        for pending in batch:
            pending.maybe_appended = True
        self.requeue(batch)

    def requeue(self, batch):
        """Puts records back at the head of the queue."""
        self.pending[:0] = batch
        if self.pending:
            self.has_pending.set()

    def is_refusing(self):
        """Whether an append was refused within ``REFUSAL_EXPIRY_S``.

        Callers that check this first append nothing while it holds. It
        expires so that a later append detects that the log accepts appends
        again.
        """
        elapsed_s = time.monotonic() - self.last_refused_s
        return self.down and elapsed_s < REFUSAL_EXPIRY_S

    def set_down(self, down):
        """Records whether appends are refused, and logs each change.

        Args:
            down: Whether the last append was refused.
        """
        if down:
            self.last_refused_s = time.monotonic()
        if down != self.down:
            self.down = down
            LOG.warning(
                "Appends to the control log are %s.",
                "refused" if down else "accepted again",
            )


def fail(pending, error):
    """Sets an error for the caller of a record, if it still waits."""
    if pending.future and not pending.future.done():
        pending.future.set_exception(error)


def unconfirmed_append_error():
    """Returns the error for a record that may be on the log."""
    return exception.LinkLost(
        message="The control log did not confirm an append.",
        remedy="Ask for the request's status later.",
    )
