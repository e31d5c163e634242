"""Run attempts of tasks on workers, and the capacity that they use."""

import enum

from cicadafold import clock
from cicadafold.scheduling import speeds
from cicadafold.scheduling import views
from cicadafold.teams import usage

__all__ = ["RunAttempt", "RunState", "Worker", "run_log_fields"]

# Factor on the time until a lease ends by the worker's clock. The platform
# guarantees that this clock is at most 2% slow.
SLOW_CLOCK_FACTOR = 1.02
# Added to the time after which a lease is taken as lapsed.
LEASE_MARGIN_MS = 150.0
# Assumed time until a draining worker leaves if it does not report one.
DEFAULT_DRAIN_MS = 2500.0
# Longest time after which an unanswered start command may still be carried
# out. The platform speaks of seconds; up to 12 s have been observed.
MAX_START_DELAY_MS = 13000.0


class RunState(enum.Enum):
    """State of a run attempt as the scheduler knows it.

    Attributes:
        STARTING: The start command is under way.
        RUNNING: The worker has accepted the start command.
        UNCONFIRMED: The start command was not answered and may still be
            carried out.
        STOPPING: The worker has answered a stop command but does not list
            the end yet.
    """

    STARTING = "starting"
    RUNNING = "running"
    UNCONFIRMED = "doubtful"
    STOPPING = "stopping"


class RunAttempt:
    """One execution of a task on a worker.

    All times are monotonic, in milliseconds.

    Attributes:
        task: Task, or None if its job is not known.
        name: Name of the task.
        attempt: Number of the attempt.
        worker: Worker that the start command is sent to.
        room: Resources that are reserved on the worker until the run attempt
            is known to be gone.
        state: State as the scheduler knows it.
        start_sent_ms: Time at which the start command was created.
        answered_ms: Time of the first answer that shows the run attempt, or
            None.
        started_ms: Time from which the task is assumed to run.
        percent: Progress last reported by the worker, 0 to 100.
        progress_changed_ms: Time at which the progress last grew.
        stop_requested: Whether it is to be stopped.
        stop_in_progress: Whether a coroutine is sending stop commands.
        stop_answered_ms: Time of the answer to the stop command, or None.
        reading: Reported tail latency in milliseconds, or cores in use.
        rate_measured_ms: Time of the report from which the next progress
            rate is measured, or None.
        pace: Percentage of its speed at which a filler task may run.
        start_unconfirmed: Whether the start command was not answered, and no
            report has shown since that it was carried out.
        team: Name of the team of its job; empty for none, None if its job is
            not known.
        charge: Resources that are charged to the team.
    """

    __slots__ = (
        "answered_ms",
        "attempt",
        "charge",
        "name",
        "start_sent_ms",
        "pace",
        "percent",
        "progress_changed_ms",
        "reading",
        "rate_measured_ms",
        "room",
        "started_ms",
        "state",
        "stop_requested",
        "stop_answered_ms",
        "stop_in_progress",
        "task",
        "team",
        "start_unconfirmed",
        "worker",
    )

    def __init__(
        self,
        *,
        task,
        name,
        attempt,
        worker,
        room,
        state,
        now_ms,
        team="",
        charge=None,
    ):
        self.task = task
        self.name = name
        self.attempt = attempt
        self.worker = worker
        self.room = room
        self.state = state
        self.start_sent_ms = now_ms
        self.answered_ms = None
        self.started_ms = now_ms
        self.percent = 0.0
        self.progress_changed_ms = now_ms
        self.stop_requested = False
        self.stop_in_progress = False
        self.stop_answered_ms = None
        self.reading = 0.0
        self.rate_measured_ms = None
        self.pace = 100
        self.start_unconfirmed = False
        self.team = team
        self.charge = room if charge is None else charge

    @property
    def key(self):
        """Name of the task and number of the attempt."""
        return self.name, self.attempt


def run_log_fields(run):
    """Returns the fields of a log line about a run attempt."""
    return {
        "request_id": run.name.job,
        "step": run.name.step,
        "task": run.name.index,
        "attempt": run.attempt,
        "worker": run.worker.report.id,
    }


class Worker:
    """State of one worker as the scheduler knows it.

    Times are monotonic, in milliseconds, unless stated otherwise.

    Attributes:
        report: Newest report of the worker in the registry.
        listed: Whether the registry lists the worker.
        runs: Run attempts that may be on the worker, by task name and
            attempt.
        clock: Estimate of the worker's clock.
        born_ms: Start of the worker's incarnation as it reports it, Unix
            time in milliseconds, or None before the first report.
        deadline_ms: Latest end of a lease that was sent, by the worker's
            clock.
        known_since_ms: The later of the start of the term and the time at
            which the worker was added. Until the worker answers, its lease
            is assumed to have been granted then.
        acknowledged: Number up to which the ends are recorded.
        handled_end: Number of the newest end that was handled.
        unrecorded: Pairs of the number of a handled end and the journal
            batch that will record it.
        unconfirmed_starts: Start commands that were not answered and whose
            run attempts are known to be gone in this incarnation; a later
            incarnation may still carry them out. Resources, time sent, team
            and charge by task name and attempt.
        closed_to_starts: Whether the recorded list of workers says that
            this one gets no new run attempts.
        closed_to_leases: Whether the recorded list of workers says that no
            lease was extended in this term, so that none may be.
        open_batch: Journal batch that records that the worker may get run
            attempts, or leases, again; None if there is none.
        silent_since_ms: Time of the first unanswered call, or None while the
            worker answers.
        silence_closed: Whether that call failed because the connection was
            closed or refused.
        suspected: Whether the next call failed in the same way, so that the
            worker has probably crashed.
        lapse_at_ms: Time after which all leases have lapsed, or None while
            the worker answers.
        lapsed: Whether all leases have lapsed.
        fenced: Whether the worker has accepted the fence of this term.
        runs_known: Whether an inventory of this incarnation has listed all
            its run attempts and ends, and all of them have been applied.
        quarantined_until_ms: Time before which it gets no new run attempts.
        quarantines_in_a_row: Number of quarantines since the last success.
        failed_jobs: Jobs with a failed run attempt since the last success or
            quarantine.
        speed_meter: Meter of the speed at which its tasks progress.
        speed: Speed relative to the median of its pool.
        reported_ms: Time of its newest report.
        used: Reserved thousandths of a core, megabytes and accelerators.
        rack: Label that names its rack, or empty.
        labels: Labels of the worker.
        team_usage: ``TeamUsage`` over all workers.
        unattributed_runs: Number of its run attempts whose job is not known.
        unattributed_charge: Resources that are charged for all of these.
        pool: Pool in which its run attempts are counted for their teams.
    """

    def __init__(self, *, report, now_ms, team_usage=None):
        self.report = report
        self.listed = True
        self.runs = {}
        self.clock = clock.WorkerClock()
        self.born_ms = None
        self.deadline_ms = 0
        self.known_since_ms = now_ms
        self.reset_end_numbers()
        self.unconfirmed_starts = {}
        self.closed_to_starts = True
        self.closed_to_leases = False
        self.open_batch = None
        self.silent_since_ms = None
        self.silence_closed = False
        self.suspected = False
        self.lapse_at_ms = None
        self.lapsed = False
        self.fenced = False
        self.runs_known = False
        self.quarantined_until_ms = 0.0
        self.quarantines_in_a_row = 0
        self.failed_jobs = frozenset()
        self.speed_meter = speeds.SpeedMeter()
        self.speed = 1.0
        self.reported_ms = now_ms
        self.used = [0, 0, 0]
        self.team_usage = team_usage or usage.TeamUsage()
        self.unattributed_runs = 0
        self.unattributed_charge = None
        self.pool = report.pool
        self.rack = views.rack_of(report.labels)
        self.labels = frozenset(report.labels)

    def reset_end_numbers(self):
        """Resets the numbers of ends, which start anew in an incarnation."""
        self.acknowledged = 0
        self.handled_end = 0
        self.unrecorded = []

    def add(self, run):
        """Adds a run attempt and reserves its resources."""
        self.runs[run.key] = run
        self.adjust_used(run.room, 1)
        self.charge_team(run, 1)
        if run.task is not None:
            run.task.runs.append(run)

    def remove(self, run):
        """Removes a run attempt that is known to be gone.

        Its resources are released. An unconfirmed start is remembered, as a
        later incarnation of the worker may still carry it out.
        """
        if self.runs.pop(run.key, None) is None:
            return
        if run.start_unconfirmed:
            self.unconfirmed_starts[run.key] = (
                run.room,
                run.start_sent_ms,
                run.team,
                run.charge,
            )
        self.adjust_used(run.room, -1)
        self.charge_team(run, -1)
        if run.task is not None:
            run.task.runs.remove(run)

    def charge_team(self, run, sign):
        """Charges a run attempt to its team (sign 1), or releases it (-1).

        Each run attempt of an unknown job is charged with the capacity of the
        worker. Together they cannot use more, so it is charged only once.
        """
        if run.team is not None:
            if sign > 0:
                self.team_usage.add_run(run)
            else:
                self.team_usage.remove_run(run)
            return
        if not self.unattributed_runs:
            self.unattributed_charge = run.charge
            self.team_usage.add(None, run.charge, pool=self.pool)
        self.unattributed_runs += sign
        if not self.unattributed_runs:
            self.team_usage.add(
                None, self.unattributed_charge, -1, pool=self.pool
            )

    def adjust_used(self, resources, sign):
        """Adds resources to the used ones (sign 1) or subtracts them (-1)."""
        self.used[0] += sign * resources.cores_milli
        self.used[1] += sign * resources.memory_mb
        self.used[2] += sign * resources.accelerators

    @property
    def describes_incarnation(self):
        """Whether the report is one of the incarnation that answers.

        A worker may return under its name as one of another kind or pool.
        Until its entry and its inventory agree, neither shows what it is.
        """
        known = (self.report.born_ms, self.born_ms)
        return not all(known) or known[0] == known[1]

    def usable(self, now_ms):
        """Whether the worker may get new run attempts now."""
        return (
            self.fenced
            and not self.closed_to_starts
            and self.listed
            and self.describes_incarnation
            and not self.report.draining
            and self.silent_since_ms is None
            and now_ms >= self.quarantined_until_ms
        )

    def scheduling_view(self):
        """Returns the worker's free capacity, labels and speed."""
        capacity = self.report.capacity
        return views.WorkerView(
            self.report.id,
            self.rack,
            self.report.domain,
            self.labels,
            capacity.cores_milli - self.used[0],
            capacity.memory_mb - self.used[1],
            capacity.accelerators - self.used[2],
            self.speed,
        )

    def extend_lease(self, lease_ms, now_ms):
        """Returns the end of a lease that starts now, and remembers it.

        Args:
            lease_ms: Length of the lease in milliseconds.
            now_ms: Monotonic time in milliseconds.

        Returns:
            End in milliseconds by the worker's clock.
        """
        until = int(self.clock.lower_bound_ms(at_ms=now_ms) + lease_ms)
        self.deadline_ms = max(self.deadline_ms, until)
        return until

    def mark_silent(self, now_ms, longest_ms):
        """Records an unanswered call and when the worker's leases lapse.

        Args:
            now_ms: Monotonic time in milliseconds.
            longest_ms: Longest lease that a worker grants, in milliseconds.
                It is assumed if the worker has never answered this term.
        """
        if self.silent_since_ms is None:
            self.silent_since_ms = now_ms
        if self.clock.updated_ms is None:
            left_ms = longest_ms - (now_ms - self.known_since_ms)
        else:
            left_ms = self.deadline_ms - self.clock.lower_bound_ms(
                at_ms=now_ms
            )
        if self.lapse_at_ms is None:
            self.lapse_at_ms = (
                now_ms
                + max(0.0, left_ms) * SLOW_CLOCK_FACTOR
                + LEASE_MARGIN_MS
            )

    def pop_unconfirmed_starts(self, now_ms):
        """Removes and returns the unconfirmed starts of the last incarnation.

        The new incarnation may still carry out those that are not too old.

        Returns:
            Their run attempts, whose resources have to be reserved until a
            stop command is answered.
        """
        found = []
        for (name, attempt), kept in self.unconfirmed_starts.items():
            room, at_ms, team, charge = kept
            if now_ms - at_ms > MAX_START_DELAY_MS:
                continue
            run = RunAttempt(
                task=None,
                name=name,
                attempt=attempt,
                worker=self,
                room=room,
                state=RunState.UNCONFIRMED,
                now_ms=at_ms,
                team=team,
                charge=charge,
            )
            run.start_unconfirmed = True
            found.append(run)
        self.unconfirmed_starts = {}
        return found

    def remaining_ms(self, now_ms):
        """Returns the least time until a draining worker leaves, in ms."""
        announced_ms = self.report.remaining_ms or DEFAULT_DRAIN_MS
        return announced_ms - (now_ms - self.reported_ms)

    def mark_answering(self):
        """Records that the worker answers, so its leases can be renewed."""
        self.silent_since_ms = None
        self.suspected = False
        self.lapse_at_ms = None
        self.lapsed = False
