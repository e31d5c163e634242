"""Keeps the lease of one worker and follows what runs on it."""

import asyncio

from cicadafold import clock
from cicadafold.dispatch import runs
from cicadafold import exception
from cicadafold.platform import worker_client
from cicadafold.telemetry import logs

__all__ = ["LeaseTimes", "WorkerLink"]

Result = worker_client.CommandResult
State = runs.RunState

MILLISECONDS = 1000.0
# Wait of a renewal at the worker; a new end answers at once.
RENEW_WAIT_MS = 700
# An answer takes one round trip, at most some tens of milliseconds.
ANSWER_SLACK_S = 0.6
COMMAND_TIMEOUT_S = 0.7
NO_ANSWER_PAUSE_S = 0.2
# Longest wait for the journal before the lease is renewed again.
RECORD_WAIT_S = 0.25
# Shortest time between two reports from which a rate is taken.
MIN_MEASURED_MS = 150.0
WHOLE_PERCENT = 100.0
STOP_PAUSE_S = 0.1
# The journal's tail is read a few times a second.
DEFERRED_PAUSE_S = 0.1
# A worker does not start anew and end a task in so short a time; a record
# usually takes less.
MAX_ANSWER_AGE_MS = 150.0

LOG = logs.get_logger("worker")


class LeaseTimes:
    """Times that the platform sets for leases.

    Attributes:
        lease_ms: Length of the leases that are asked for.
        longest_ms: Longest lease that a worker grants.
    """

    # Share of the longest lease: a restart of all processes fits in it,
    # and a dead worker's tasks start again soon.
    SHARE = 0.6

    def __init__(self, *, max_lease_ms):
        self.max_lease_ms = max_lease_ms
        self.lease_ms = max_lease_ms * self.SHARE


class WorkerLink:
    """The task of one worker under one term.

    Args:
        worker: State of the worker.
        calls: Client of the worker.
        lease: Times of leases.
        events: Object whose methods are called with what happens:
            ``ended(worker, end, run)``, ``unexpected(worker, row)``,
            ``vanished(worker, run, kind)``, ``silent(worker)``,
            ``answering(worker)``, ``changed()``, ``fenced(worker)``.
        journal: Writer whose ``durable_batch`` tells what is recorded.

    Attributes:
        closed: Whether the link does nothing any more.
        deferred: Whether a listed end could not be handled yet.
        confirmed: Highest acknowledgement that the worker has answered.
    """

    def __init__(self, *, worker, client, lease, events, journal):
        self.worker = worker
        self.client = client
        self.lease = lease
        self.events = events
        self.journal = journal
        self.closed = False
        self.ends_deferred = False
        self.confirmed_number = 0

    async def run(self):
        """Renews the lease until the link is closed."""
        while not self.closed:
            self.acknowledge_recorded()
            silent = self.worker.silent_since_ms is not None
            try:
                await self.renew(wait=not silent)
            except exception.TargetUnreachable as error:
                self.on_no_answer(error)
                await asyncio.sleep(NO_ANSWER_PAUSE_S)
                continue
            if self.worker.unrecorded:
                await self.wait_for_journal()
            elif self.ends_deferred:
                await asyncio.sleep(DEFERRED_PAUSE_S)

    async def wait_for_journal(self):
        """Waits until ends are recorded, for a bounded time."""
        try:
            async with asyncio.timeout(RECORD_WAIT_S):
                while not self.acknowledge_recorded():
                    await self.journal.batch_written.wait()
        except TimeoutError:
            return

    def acknowledge_recorded(self):
        """Advances over the ends that are recorded.

        Returns:
            Whether all handled ends are recorded.
        """
        worker = self.worker
        durable = self.journal.durable_batch
        while worker.unrecorded and worker.unrecorded[0][1] <= durable:
            worker.acknowledged = worker.unrecorded.pop(0)[0]
        return not worker.unrecorded

    async def renew(self, *, wait):
        """Renews the lease once and takes the inventory."""
        worker = self.worker
        sent_ms = clock.monotonic_ms()
        wait_ms = 0
        deadline_ms = None
        born_ms = worker.born_ms
        # A silent worker's lease is not extended: calls that are lost on
        # the way back must not move the time at which it has lapsed.
        if wait and worker.clock.updated_ms is not None:
            wait_ms = 0 if worker.unrecorded else RENEW_WAIT_MS
            deadline_ms = worker.lease_until(self.lease.lease_ms, sent_ms)
        acknowledged = self.acknowledgement_to_send(sent_ms) if wait else 0
        found = await self.client.renew(
            acknowledged=acknowledged,
            deadline_ms=deadline_ms,
            wait_ms=wait_ms,
            timeout_s=wait_ms / MILLISECONDS + ANSWER_SLACK_S,
        )
        if isinstance(found, Result):
            self.on_renewal_refused(found)
            return
        self.on_inventory(found, sent_ms)
        if found.born_ms == born_ms:
            self.confirmed_number = max(self.confirmed_number, acknowledged)

    def acknowledgement_to_send(self, now_ms):
        """Returns the number up to which ends may be forgotten, 0 for none.

        A renewal that a later life carries out must not acknowledge ends of
        that life. So a number is sent only until it is answered, and soon
        after an answer of the life that it counts in.
        """
        worker = self.worker
        if worker.acknowledged <= self.confirmed_number:
            return 0
        if now_ms - worker.clock.updated_ms > MAX_ANSWER_AGE_MS:
            return 0
        return worker.acknowledged

    def on_renewal_refused(self, result):
        """Handles a renewal that was refused."""
        if result is Result.FENCED:
            self.events.on_fenced(self.worker)
            self.closed = True
            return
        raise exception.TargetUnreachable(
            message=f"The renewal was refused: {result.value}.", sent=False
        )

    def on_no_answer(self, error):
        """Handles a renewal without an answer."""
        worker = self.worker
        now_ms = clock.monotonic_ms()
        if worker.silent_since_ms is None:
            LOG.warning(
                "No answer: %s",
                error,
                fields={"worker": worker.report.id, "runs": len(worker.runs)},
            )
            self.events.on_silent(worker)
        worker.silent(now_ms, self.lease.max_lease_ms)
        if now_ms >= worker.lapse_at_ms and not worker.lapsed:
            worker.lapsed = True
            LOG.warning(
                "The worker's leases have lapsed.",
                fields={"worker": worker.report.id, "runs": len(worker.runs)},
            )
            for run in list(worker.runs.values()):
                self.events.on_run_gone(worker, run, "lapsed")
            self.events.on_capacity_changed()

    def on_inventory(self, found, sent_ms):
        """Takes the lists of a worker."""
        worker = self.worker
        now_ms = clock.monotonic_ms()
        if worker.silent_since_ms is not None:
            silent_ms = now_ms - worker.silent_since_ms
            LOG.info(
                "The worker answers again.",
                fields={"worker": worker.report.id, "silent_ms": silent_ms},
            )
        ended = {(end.name, end.attempt) for end in found.ends}
        listed = {(row.name, row.attempt) for row in found.running} | ended
        if worker.born_ms not in (None, found.born_ms):
            self.on_new_incarnation(found, listed, sent_ms)
        if not worker.fenced or worker.silent_since_ms is not None:
            self.events.on_answering(worker)
        worker.born_ms = found.born_ms
        worker.clock.update(found.clock_ms, at_ms=now_ms)
        worker.answered()
        worker.fenced = True
        self.ends_deferred = not all(map(self.apply_end, found.ends))
        self.apply_progress(found.running, now_ms)
        self.remove_missing(listed, sent_ms)
        self.events.on_capacity_changed()

    def on_new_incarnation(self, found, listed, sent_ms):
        """Handles that the worker has started anew.

        Args:
            found: First inventory of the new life.
            listed: Names and attempts in it.
            sent_ms: Monotonic time at which it was asked for.
        """
        worker = self.worker
        LOG.warning(
            "The worker has started anew.",
            fields={"worker": worker.report.id, "born_ms": found.born_ms},
        )
        worker.reset_counts()
        self.confirmed_number = 0
        worker.deadline_ms = 0
        now_ms = clock.monotonic_ms()
        for run in worker.take_late_orders(now_ms):
            worker.add(run)
        for run in list(worker.runs.values()):
            answered = run.answered_ms is not None
            if run.key in listed or (answered and run.answered_ms >= sent_ms):
                # It may be of the new life; the next inventory tells.
                continue
            # A late order could still be carried out in the new life, which
            # knows nothing of stops that the old one has answered.
            if run.uncertain or run.state is State.STARTING:
                run.state = State.DOUBTFUL
                run.stopped_ms = None
                self.schedule_stop(run)
            else:
                self.events.on_run_gone(worker, run, "reborn")

    def apply_end(self, end):
        """Handles an end once.

        Returns:
            Whether it is handled; if not, it and later ones come again.
        """
        worker = self.worker
        if end.number <= worker.seen:
            return True
        run = worker.runs.get((end.name, end.attempt))
        if run is not None:
            run.uncertain = False
        batch = self.events.on_end(worker, end, run)
        if batch is None:
            return False
        worker.seen = end.number
        if run is not None:
            worker.remove(run)
        worker.unrecorded.append((end.number, batch))
        return True

    def apply_progress(self, rows, now_ms):
        """Takes the progress of the running tasks."""
        for row in rows:
            run = self.worker.runs.get((row.name, row.attempt))
            if run is None:
                self.events.on_unexpected_run(self.worker, row)
                continue
            run.uncertain = False
            if run.state in (State.STARTING, State.DOUBTFUL):
                run.state = State.RUNNING
                run.answered_ms = now_ms
            first = run.rated_ms is None
            self.measure_speed(run, row, now_ms)
            run.reading = row.reading
            if first or row.percent > run.percent:
                run.percent_ms = now_ms
            run.percent = row.percent
            if run.task is not None:
                run.task.save_checkpoint(row.checkpoint, row.percent)

    def measure_speed(self, run, row, now_ms):
        """Takes the rate of a run's progress as one of its worker's."""
        before_ms, before = run.rated_ms, run.percent
        if before_ms is not None and now_ms - before_ms < MIN_MEASURED_MS:
            return
        run.rated_ms = now_ms
        if before_ms is None or row.percent >= WHOLE_PERCENT:
            return
        expected_ms = self.events.expected_ms(run)
        # Members of a gang wait for each other, which says nothing.
        if expected_ms is not None and not run.task.step.spec.gang:
            gained = (row.percent - before) / WHOLE_PERCENT
            rate = gained * expected_ms / (now_ms - before_ms)
            self.worker.meter.observe(run.name.job, rate, now_ms)

    def remove_missing(self, listed, sent_ms):
        """Drops runs that the worker had before this call and has not now."""
        for run in list(self.worker.runs.values()):
            if run.key in listed:
                continue
            if run.stopped_ms is not None and run.stopped_ms < sent_ms:
                self.events.on_run_gone(self.worker, run, "stopped")
            elif (
                run.state is State.RUNNING
                and run.answered_ms is not None
                and run.answered_ms < sent_ms
            ):
                self.events.on_run_gone(self.worker, run, "missing")

    async def start(self, run, command):
        """Orders a run and notes what became of the order.

        Returns:
            Result of the order; None if it was not answered.
        """
        try:
            result = await self.client.start(
                command, timeout_s=COMMAND_TIMEOUT_S
            )
        except exception.TargetUnreachable as error:
            LOG.warning(
                "A start was not answered: %s",
                error,
                fields=runs.run_fields(run),
            )
            self.on_unconfirmed_start(run, error)
            return None
        now_ms = clock.monotonic_ms()
        if result is Result.ACCEPTED:
            if run.state is State.STARTING:
                run.state = State.RUNNING
            run.answered_ms = now_ms
            if run.stop_wanted:
                self.schedule_stop(run)
            return result
        LOG.info(
            "A start was refused: %s.",
            result.value,
            fields=runs.run_fields(run),
        )
        if result is Result.FENCED:
            self.events.on_fenced(self.worker)
        if run.key in self.worker.runs and run.state is State.STARTING:
            self.events.on_run_gone(self.worker, run, result.value)
        return result

    def on_unconfirmed_start(self, run, error):
        """Keeps the room of an order that may be carried out later."""
        if not error.sent and run.state is State.STARTING:
            self.events.on_run_gone(self.worker, run, "unreachable")
            return
        if run.state is State.STARTING:
            run.state = State.DOUBTFUL
            run.uncertain = True
            self.schedule_stop(run)

    def schedule_stop(self, run):
        """Stops a run in a task of its own."""
        run.stop_wanted = True
        if run.stopping:
            return
        run.stopping = True
        self.events.spawn(self.stop(run))

    async def stop(self, run):
        """Sends a stop until it is answered or the run is gone."""
        try:
            while run.key in self.worker.runs and not self.closed:
                if await self.send_stop(run):
                    return
                await asyncio.sleep(STOP_PAUSE_S)
        finally:
            run.stopping = False

    async def send_stop(self, run):
        """Sends a stop and returns whether it is settled."""
        if run.state is State.STARTING:
            # The start's answer comes first, or makes the run doubtful.
            return False
        try:
            result = await self.client.stop(
                run.name, run.attempt, timeout_s=COMMAND_TIMEOUT_S
            )
        except exception.TargetUnreachable as error:
            LOG.debug("A stop was not answered: %s", error)
            return False
        if result is Result.FENCED:
            self.events.on_fenced(self.worker)
            return True
        if result is not Result.ACCEPTED and result is not Result.SUPERSEDED:
            return False
        run.stopped_ms = clock.monotonic_ms()
        run.state = State.STOPPING
        return True
