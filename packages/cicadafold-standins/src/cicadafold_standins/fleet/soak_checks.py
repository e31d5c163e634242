"""Checks of the guarantees of the cell during and after a soak."""

import asyncio
import pathlib

from cicadafold_standins.fleet import event_checks
from cicadafold_standins.fleet import load
from cicadafold_standins.fleet import run_events

__all__ = ["SoakChecks", "find_unexpected_errors"]

RUN_CHECK_INTERVAL_S = 0.01
# A scheduler that cannot reach the store ends its term within this time.
STALE_STATE_S = 3.0
FINAL_STATES = ("completed", "failed", "cancelled")
# Time limit for leases to lapse and jobs to end after all faults are healed.
RECOVERY_TIMEOUT_S = 45.0
# Time for the last run attempts to stop after all jobs have ended.
LAST_RUNS_END_S = 5.0
# A task that has crashed MAX_CRASHES workers must be started less than
# MAX_LATER_STARTS times after that.
MAX_CRASHES = 3
MAX_LATER_STARTS = 3
# Log lines of errors that no fault may cause.
UNEXPECTED = ("The term failed", "An unexpected error was contained")


class SoakChecks:
    """Checks of a soak, which adds what callers and workers have seen.

    Attributes:
        cell: Cell under test.
        teams: ``TeamLoad`` of the cell, or None.
        accepted: Jobs that were accepted, by identifier.
        sent: Jobs that were submitted, by identifier.
        refused: Identifiers of jobs of which every submission was refused.
        cancelled: Identifiers of jobs whose cancellation was acknowledged.
        shown_states: First final state that was shown and its loop time in
            seconds, by job.
        violations: Violations of the guarantees, as sentences.
    """

    def __init__(self, *, cell, teams):
        self.cell = cell
        self.teams = teams
        self.accepted = {}
        self.sent = {}
        self.refused = set()
        self.cancelled = set()
        self.shown_states = {}
        self.violations = []
        cell.run_log.on_start = self.check_start_allowed

    def check_shown_state(self, job_id, state):
        """Checks that a job's state does not change after a final state."""
        if state is None:
            return
        now_s = asyncio.get_running_loop().time()
        before, since_s = self.shown_states.get(job_id, (state, now_s))
        if state != before:
            # A scheduler that is cut off from the store may still show an
            # old state until its term ends.
            if state in FINAL_STATES or now_s - since_s > STALE_STATE_S:
                self.violations.append(f"{job_id} was {before} and is {state}")
        if state in FINAL_STATES:
            self.cell.run_log.events.add_job(
                run_events.Kind.SHOWN, job_id, value=state
            )
            self.shown_states.setdefault(job_id, (state, now_s))

    async def watch_for_duplicate_runs(self):
        """Periodically checks that no task runs on two workers."""
        while True:
            worker_of_task = {}
            for worker in self.cell.workers:
                for task in worker.running:
                    other = worker_of_task.setdefault(task, worker.name)
                    if other != worker.name:
                        self.violations.append(
                            f"{task} runs on {other} and {worker.name}"
                        )
            await asyncio.sleep(RUN_CHECK_INTERVAL_S)

    def check_start_allowed(self, task):
        """Checks that a task may be started.

        The steps that it depends on must be done, and it must not have
        reached the limit of acknowledged failures, or of starts after it
        has crashed its workers.
        """
        if self.teams is not None:
            self.teams.check_start(task)
        job_id, occurrence, number, _ = task.split(".")
        step = self.sent[job_id].steps[int(number)]
        for earlier in step.after:
            name = f"{job_id}.{occurrence}.{earlier}."
            done = sum(
                task.startswith(name) for task in self.cell.run_log.done
            )
            if done < self.sent[job_id].steps[earlier].min_done:
                self.violations.append(f"{task} was started before {name}")
        if (
            self.sent[job_id].deadly
            and self.cell.run_log.starts_after_crashes(task, MAX_CRASHES)
            >= MAX_LATER_STARTS
        ):
            self.violations.append(f"{task} was started after its crashes")
        if self.cell.run_log.acknowledged_failures[task] >= load.MAX_FAILURES:
            self.violations.append(
                f"{task} was started after its last failure"
            )

    async def check_after_healing(self):
        """Checks the guarantees that hold once all faults are healed."""
        member = next(iter(self.cell.members.values()))
        loop = asyncio.get_running_loop()
        end_s = loop.time() + RECOVERY_TIMEOUT_S
        for job_id, job in self.accepted.items():
            await self.wait_for_final_state(member, job_id, job, end_s)
        await asyncio.sleep(LAST_RUNS_END_S)
        self.violations += event_checks.find_violations(
            self.cell.run_log.events.events
        )
        for worker in self.cell.workers:
            self.violations += [f"overfilled: {x}" for x in worker.overfilled]
            self.violations += [
                f"started after done: {x}" for x in worker.started_after_done
            ]
            for task in worker.running:
                self.violations.append(f"{task} still runs")
            for task, _ in worker.starts:
                if task.partition(".")[0] in self.refused:
                    self.violations.append(f"{task} of a refused job ran")

    async def wait_for_final_state(self, member, job_id, job, end_s):
        """Waits for the final state of a job and checks its tasks.

        Args:
            member: Process that is asked for the state.
            job_id: Identifier of the job.
            job: The job.
            end_s: Loop time until which the job must reach a final state.
        """
        loop = asyncio.get_running_loop()
        left_s = max(1.0, end_s - loop.time())
        states = job.possible_final_states
        if job_id in self.cancelled:
            states = states | {"cancelled"}
        body = {}
        try:
            async with asyncio.timeout(left_s):
                while True:
                    _, body = await self.cell.call(member, "GET", job_id)
                    self.check_shown_state(job_id, body.get("state"))
                    if body.get("state") in states:
                        break
                    await asyncio.sleep(0.1)
        except TimeoutError:
            self.violations.append(f"{job_id} is {body}, not {states}")
            return
        count = sum(task.startswith(job_id) for task in self.cell.run_log.done)
        if body["state"] == "completed" and count < job.min_done:
            self.violations.append(
                f"{job_id} is completed with {count} tasks done"
            )


def find_unexpected_errors(folder):
    """Returns the lines of the processes' logs about unexpected errors.

    Args:
        folder: Path of the folder with a folder of each process.

    Returns:
        Names of the files with the lines, as sentences.
    """
    return [
        f"unexpected error in {path.parent.name}/{path.name}: {line[:300]}"
        for path in sorted(pathlib.Path(folder).glob("*/log-*"))
        for line in path.read_text(errors="replace").splitlines()
        if any(text in line for text in UNEXPECTED)
    ]
