"""Checks of the guarantees on the merged events of all workers."""

import collections
import math

import msgspec

from cicadafold_standins.fleet import worker_events

__all__ = ["EventChecks", "Finding", "Run", "collect_runs"]

Kind = worker_events.EventKind

# The scheduler learns of a cancellation that it was not told of when it
# reads the journal, several times a second, and a start may be on its way.
CANCEL_GRACE_MS = 1000.0
# A paused process carries out the commands in its sockets within this time
# of running, summed over the slices in which it runs.
BACKLOG_MS = 300.0


class Run(msgspec.Struct):
    """A run attempt that was started.

    Attributes:
        start: Event of its start.
        end_ms: Monotonic time in milliseconds at which it had stopped.
        outcome: Outcome, or empty if it ended with its process.
    """

    start: worker_events.Event
    end_ms: float = math.inf
    outcome: str = ""


class Finding(msgspec.Struct, frozen=True):
    """A guarantee that was broken.

    Attributes:
        rule: TWICE, UNASKED, OVERFILLED, FENCE or LOST.
        at_ms: Monotonic time in milliseconds.
        text: What has happened.
    """

    rule: str
    at_ms: float
    text: str

    def __str__(self):
        return f"{self.rule} at {self.at_ms:.0f} ms: {self.text}"


def collect_runs(events):
    """Returns the runs in a list of events in order of time.

    A run attempt ends when it is reported to have ended, when its process
    has ended, or when the last known lease of its worker has lapsed.
    """
    found = []
    running = {}
    lease_ends = collections.defaultdict(float)
    gone = {}
    for event in events:
        life = (event.worker, event.life)
        if event.kind is Kind.GONE:
            gone[life] = min(event.at_ms, gone.get(life, math.inf))
        elif event.kind is Kind.LEASE:
            lease_ends[life] = max(lease_ends[life], event.until_ms)
        elif event.kind is Kind.START:
            lease_ends[life] = max(lease_ends[life], event.until_ms)
            run = Run(start=event)
            found.append(run)
            running[*life, event.task, event.attempt] = run
        elif event.kind is Kind.END:
            run = running.pop((*life, event.task, event.attempt))
            run.end_ms, run.outcome = event.until_ms, event.outcome
    for (name, life, _, _), run in running.items():
        run.end_ms = min(
            gone.get((name, life), math.inf), lease_ends[name, life]
        )
    return found


class EventChecks:
    """Checks the events of all workers of a cell.

    Args:
        events: Events in any order.
        sent: Submitted jobs by identifier.
        refused: Identifiers of jobs of which every submission was refused.
        cancelled_ms: Monotonic time in milliseconds at which the caller had
            the answer to its cancellation, by identifier of the job.
        pauses: Monotonic times in milliseconds from and until which the
            process of a worker was paused, by name of the worker.

    Attributes:
        events: Events in order of time.
        runs: All run attempts.
        findings: Broken guarantees.
        gang_checkpoints: Checkpoint from which a gang resumes by occurrence
            of its step and attempt.
    """

    def __init__(self, *, events, sent, refused, cancelled_ms, pauses):
        self.events = sorted(events, key=lambda event: event.at_ms)
        self.sent = sent
        self.refused = refused
        self.cancelled_ms = cancelled_ms
        self.pauses = pauses
        self.runs = collect_runs(self.events)
        self.findings = []
        self.gang_checkpoints = {}

    def run(self):
        """Runs all checks and returns the findings in order of time."""
        self.check_runs_at_the_same_time()
        self.check_starts_after_acknowledged_ends()
        self.check_fences()
        for run in self.runs:
            self.check_start(run.start)
        self.findings.sort(key=lambda finding: finding.at_ms)
        return self.findings

    def add(self, rule, at_ms, text):
        """Adds a finding."""
        self.findings.append(Finding(rule, at_ms, text))

    def done_tasks(self):
        """Returns the tasks with a run attempt that ended as done."""
        return {run.start.task for run in self.runs if run.outcome == "done"}

    def check_runs_at_the_same_time(self):
        """Checks that no two runs of a task overlap."""
        by_task = collections.defaultdict(list)
        for run in self.runs:
            by_task[run.start.task].append(run)
        for runs in by_task.values():
            latest = runs[0]
            for run in runs[1:]:
                if run.start.at_ms < latest.end_ms:
                    self.add(
                        "TWICE",
                        run.start.at_ms,
                        f"{describe(run)} while {describe(latest)}",
                    )
                if run.end_ms > latest.end_ms:
                    latest = run

    def check_starts_after_acknowledged_ends(self):
        """Checks that no task is started after its acknowledged end."""
        acknowledged = {}
        for event in self.events:
            if event.kind is Kind.ACKNOWLEDGED and event.outcome == "done":
                acknowledged.setdefault(event.task, event)
            if event.kind is Kind.START and event.task in acknowledged:
                end = acknowledged[event.task]
                self.add(
                    "TWICE",
                    event.at_ms,
                    f"{event.task} was started on {event.worker} with fence "
                    f"{event.fence}, {event.at_ms - end.at_ms:.0f} ms after "
                    f"its end as done on {end.worker} was acknowledged with "
                    f"fence {end.fence}",
                )

    def check_fences(self):
        """Checks that no worker obeys a lower fence than before."""
        fences = {}
        for event in self.events:
            if event.kind in (Kind.START, Kind.ACKNOWLEDGED):
                life = (event.worker, event.life)
                if event.fence < fences.get(life, 0):
                    self.add(
                        "FENCE",
                        event.at_ms,
                        f"{event.worker} obeyed fence {event.fence} after "
                        f"{fences[life]}",
                    )
                fences[life] = max(event.fence, fences.get(life, 0))

    def check_start(self, event):
        """Checks that a start was asked for, as it was asked for."""
        name = f"{event.task} on {event.worker} with fence {event.fence}"
        if event.overfilled:
            self.add("OVERFILLED", event.at_ms, name)
        job_id, occurrence, step, index = event.task.split(".")
        job = self.sent.get(job_id)
        if job is None:
            self.add("UNASKED", event.at_ms, f"{name}: unknown job")
            return
        if (
            int(step) >= len(job.steps)
            or int(index) >= job.steps[int(step)].tasks
            or int(occurrence) >= max(1, job.repeats)
        ):
            self.add("UNASKED", event.at_ms, f"{name}: unknown task")
        if event.spec != job.payload:
            self.add("UNASKED", event.at_ms, f"{name}: payload {event.spec!r}")
        text = self.checkpoint_fault(job, event)
        if text:
            self.add("UNASKED", event.at_ms, f"{name}: {text}")
        if job_id in self.refused:
            self.add("UNASKED", event.at_ms, f"{name}: refused job")
        late_ms = self.sent_ms(event) - self.cancelled_ms.get(job_id, math.inf)
        if late_ms > CANCEL_GRACE_MS:
            self.add(
                "UNASKED",
                event.at_ms,
                f"{name}: {late_ms:.0f} ms after the acknowledged "
                "cancellation",
            )

    def checkpoint_fault(self, job, event):
        """Returns what is wrong with the checkpoint of a start, or empty.

        A task resumes from its own checkpoint. All members of a gang resume
        from the same one, which one of them has saved.
        """
        unit, _, _ = event.task.rpartition(".")
        step = int(unit.rpartition(".")[2])
        source = event.checkpoint.partition("@")[0]
        if step < len(job.steps) and job.steps[step].gang:
            first = self.gang_checkpoints.setdefault(
                (unit, event.attempt), event.checkpoint
            )
            if first != event.checkpoint:
                return f"checkpoints {first!r} and {event.checkpoint!r}"
            source, own = source.rpartition(".")[0], unit
        else:
            own = event.task
        if source not in ("", own):
            return f"checkpoint {event.checkpoint!r}"
        return ""

    def sent_ms(self, event):
        """Returns the earliest time at which a start may have been sent.

        A command waits in the socket of a paused process.
        """
        at_ms = event.at_ms
        left_ms = BACKLOG_MS
        for from_ms, until_ms in reversed(self.pauses.get(event.worker, ())):
            if from_ms > at_ms:
                continue
            left_ms -= max(0.0, at_ms - until_ms)
            if left_ms < 0:
                break
            at_ms = from_ms
        return at_ms

    def latest_start_after_cancellation_ms(self):
        """Returns the longest time from a cancellation to a start."""
        return max(
            (
                self.sent_ms(run.start) - self.cancelled_ms[job_id]
                for run in self.runs
                if (job_id := run.start.task.partition(".")[0])
                in self.cancelled_ms
            ),
            default=0.0,
        )


def describe(run):
    """Returns a run attempt as text."""
    start = run.start
    return (
        f"{start.task} attempt {start.attempt} ran on {start.worker} (life "
        f"{start.life}, fence {start.fence}) from {start.at_ms:.0f} to "
        f"{run.end_ms:.0f} ({run.outcome or 'with its process'})"
    )
