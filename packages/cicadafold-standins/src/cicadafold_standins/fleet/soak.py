"""Randomized soak of a cell of real processes under injected faults.

Faults of processes, store and workers are injected one after another and
may overlap. The job states that callers see and the run attempts on workers
are checked against the guarantees of the cell, during the run and after all
faults have been healed.
"""

import argparse
import asyncio
import collections
import random
import shutil
import signal
import sys

import aiohttp

from cicadafold_standins.fleet import cell
from cicadafold_standins.fleet import configuration_watch
from cicadafold_standins.fleet import load
from cicadafold_standins.fleet import team_load

__all__ = ["FAULTS", "Soak", "fault", "main"]

FAULTS = {}
MEMBERS = 3
WORKERS = 5
WORK_MS = 250.0
SUBMIT_INTERVAL_S = 0.12
FAULT_INTERVAL_S = (0.2, 1.5)
RUN_CHECK_INTERVAL_S = 0.01
STATE_POLL_INTERVAL_S = 0.1
# A scheduler that cannot reach the store ends its term within this time.
STALE_STATE_S = 3.0
# Answers to submissions after which the job must not run.
NO_EFFECT = (401, 429, 503, "unreached")
FINAL_STATES = ("completed", "failed", "cancelled")
CANCEL_SHARE = 0.1
# Fraction of the accepted submissions that arrive once more, and the longest
# time after the answer until then.
REPEAT_SHARE = 0.15
LONGEST_REPEAT_DELAY_S = 5.0
# Time limit for leases to lapse and jobs to end after all faults are healed.
RECOVERY_TIMEOUT_S = 45.0
# Time for the last run attempts to stop after all jobs have ended.
LAST_RUNS_END_S = 5.0
MAX_CALLS_PER_JOB = 40
# A task that has crashed MAX_CRASHES workers must be started less than
# MAX_LATER_STARTS times after that.
MAX_CRASHES = 3
MAX_LATER_STARTS = 3
DOWN_S = (0.5, 6.0)


def fault(name):
    """Registers a coroutine function that injects a fault and heals it.

    Args:
        name: Key of the fault in FAULTS. It is printed, and a seed picks
            from the sorted names.
    """

    def register(function):
        FAULTS[name] = function
        return function

    return register


@fault("kill node")
async def kill_member(soak):
    """Kills a process of the cell and starts it again."""
    await soak.restart(signal.SIGKILL)


@fault("stop node")
async def stop_member(soak):
    """Stops a process of the cell by SIGTERM and starts it again."""
    await soak.restart(signal.SIGTERM)


@fault("pause node")
async def freeze_member(soak):
    """Freezes a process of the cell for 0.3 to 4 s."""
    name = soak.pick_member()
    if name is None:
        return
    process = soak.cell.members[name].process
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(soak.rng.uniform(0.3, 4.0))
    process.send_signal(signal.SIGCONT)
    soak.busy.discard(name)


@fault("store silent")
async def silence_store(soak):
    """Makes the store leave all calls unanswered for 0.3 to 3 s."""
    soak.cell.store.silent = True
    await asyncio.sleep(soak.rng.uniform(0.3, 3.0))
    soak.cell.store.silent = False


@fault("store refuses")
async def refuse_store_calls(soak):
    """Makes the store refuse all calls for 0.3 to 3 s."""
    soak.cell.store.refusing = True
    await asyncio.sleep(soak.rng.uniform(0.3, 3.0))
    soak.cell.store.refusing = False


@fault("store loses answers")
async def lose_store_answers(soak):
    """Makes the store lose the answers of the next 1 to 6 appends."""
    soak.cell.store.lost_answers_left += soak.rng.randint(1, 6)


@fault("store forgets history")
async def compact_store(soak):
    """Makes the store keep only the newest record of each key."""
    for topic in ("keyed.servers", "keyed.op", "keyed.control"):
        soak.cell.store.compact(topic)


@fault("worker silent")
async def silence_worker(soak):
    """Makes a worker leave calls unanswered for 0.5 to 6 s.

    Its tasks keep running.
    """
    worker = soak.rng.choice(soak.cell.workers)
    worker.silent = True
    await asyncio.sleep(soak.rng.uniform(0.5, 6.0))
    worker.silent = False


@fault("worker reborn")
async def restart_worker(soak):
    """Replaces a worker by a new incarnation of the same name."""
    soak.rng.choice(soak.cell.workers).restart()


@fault("worker shrinks")
async def shrink_worker(soak):
    """Takes some cores from a worker for 1 to 8 s."""
    worker = soak.rng.choice(soak.cell.workers)
    cores_milli = worker.cores_milli
    worker.resize(int(cores_milli * soak.rng.uniform(0.0, 0.6)))
    await asyncio.sleep(soak.rng.uniform(1.0, 8.0))
    worker.resize(max(cores_milli, worker.cores_milli))


@fault("order late")
async def delay_start_command(soak):
    """Makes a worker apply its next start command late, without an answer."""
    worker = soak.rng.choice(soak.cell.workers)
    worker.late_start_delay_s = soak.rng.uniform(0.8, 4.0)


class Soak:
    """Load, faults and checks of one seed.

    Args:
        cell: Cell under test.
        seed: Seed of all random choices.
        faults: Faults that may be injected, by name; None means FAULTS.
        teams: ``TeamLoad`` of the cell, or None for a cell without teams.
        repeat_share: Fraction of the accepted submissions that arrive once
            more, at any process.

    Attributes:
        repeats: Submissions that are to arrive once more.
        accepted: Jobs that were accepted, by identifier.
        sent: Jobs that were submitted, by identifier.
        refused: Identifiers of jobs of which every submission was refused.
        refused_for_load: Number of jobs whose callers gave up at a 429.
        cancelled: Identifiers of jobs whose cancellation was acknowledged.
        violations: Violations of the guarantees, as sentences.
        busy: Names of processes to which a fault is being applied.
        injected: Number of injections by fault.
        configuration_watch: ``ConfigurationWatch`` of the run.
        shown_states: First final state that was shown and its loop time in
            seconds, by job.
    """

    def __init__(
        self, *, cell, seed, faults=None, teams=None, repeat_share=0.0
    ):
        self.cell = cell
        self.repeat_share = repeat_share
        # The other choices of a seed stay the same with and without repeats.
        self.repeat_rng = random.Random(f"repeats of {seed}")
        self.repeats = set()
        self.teams = teams
        if teams is not None:
            teams.attach(cell)
        self.faults = FAULTS if faults is None else faults
        self.rng = random.Random(seed)
        self.accepted = {}
        self.sent = {}
        cell.run_log.on_start = self.check_start_allowed
        self.refused = set()
        self.cancelled = set()
        self.violations = []
        self.busy = set()
        self.injected = collections.Counter()
        self.shown_states = {}
        self.submitted_count = 0
        self.refused_for_load = 0
        self.configuration_watch = configuration_watch.ConfigurationWatch(
            cell=cell, seed=seed, teams=teams
        )

    async def run(self, seconds):
        """Runs load and faults, waits for healing, and checks guarantees.

        Args:
            seconds: Duration of load and faults.
        """
        for worker in self.cell.workers:
            worker.down_s = self.rng.uniform(*DOWN_S)
        for number in range(MEMBERS):
            await self.cell.start(f"n{number}")
        run_watcher = asyncio.create_task(self.watch_for_duplicate_runs())
        state_poller = asyncio.create_task(self.poll_job_states())
        publisher = asyncio.create_task(self.configuration_watch.run())
        faults = asyncio.create_task(self.inject(seconds))
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        calls = set()
        if self.teams is not None:
            flood = self.teams.flood(self.submit, seconds, SUBMIT_INTERVAL_S)
            calls.add(asyncio.create_task(flood))
            prober = asyncio.create_task(self.teams.probe())
        while loop.time() < end_s:
            self.submitted_count += 1
            call = asyncio.create_task(
                self.submit(f"{self.submitted_count:016x}")
            )
            calls.add(call)
            await asyncio.sleep(SUBMIT_INTERVAL_S)
        await asyncio.gather(faults, *calls)
        await asyncio.gather(*self.repeats)
        publisher.cancel()
        await self.check_after_healing()
        self.violations += self.configuration_watch.violations
        if self.teams is not None:
            if prober.done():
                # It never ends by itself, so this raises its error.
                prober.result()
            prober.cancel()
            self.violations += self.teams.violations
        run_watcher.cancel()
        state_poller.cancel()

    async def inject(self, seconds):
        """Injects faults, which may overlap, and waits until all are healed.

        Args:
            seconds: Time during which new faults are injected.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        running = []
        while loop.time() < end_s:
            name = self.rng.choice(sorted(self.faults))
            self.injected[name] += 1
            running.append(asyncio.create_task(self.faults[name](self)))
            await asyncio.sleep(self.rng.uniform(*FAULT_INTERVAL_S))
        await asyncio.gather(*running)

    def pick_member(self):
        """Picks a process without a fault and marks it as busy.

        Returns:
            The name of the process, or None if all of them are busy.
        """
        free = sorted(set(self.cell.members) - self.busy)
        if not free:
            return None
        name = self.rng.choice(free)
        self.busy.add(name)
        return name

    async def restart(self, signal_number):
        """Ends a process by a signal and starts it again within 1 s."""
        name = self.pick_member()
        if name is None:
            return
        await self.cell.stop(name, signal_number)
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        await self.cell.start(name)
        self.busy.discard(name)

    async def submit(self, job_id):
        """Submits a random job, and cancels it if its ``cancels`` is set.

        Refused and unconfirmed calls are repeated, at most
        MAX_CALLS_PER_JOB times. The job counts as refused only if every call
        was answered with 401, 429 or 503, or made no connection. Callers of
        teams give up at the first 429.
        """
        job = load.generate_job(self.rng, cancel_share=CANCEL_SHARE)
        if self.teams is not None:
            job = self.teams.adapt(job_id, job)
        self.sent[job_id] = job
        body = job.body()
        unconfirmed = False
        for _ in range(MAX_CALLS_PER_JOB):
            status = await self.call("POST", job_id, body)
            if status == 200:
                self.accepted[job_id] = job
                self.schedule_repeat(job_id, body)
                if job.cancels:
                    await self.cancel(job_id)
                return
            unconfirmed = unconfirmed or status not in NO_EFFECT
            if status == 429 and self.teams is not None:
                self.refused_for_load += 1
                break
            await asyncio.sleep(0.3)
        if not unconfirmed:
            self.refused.add(job_id)

    def schedule_repeat(self, job_id, body):
        """Lets some submissions arrive once more, after their answer."""
        if self.repeat_rng.random() < self.repeat_share:
            delay_s = self.repeat_rng.uniform(0.0, LONGEST_REPEAT_DELAY_S)
            task = asyncio.create_task(self.repeat(job_id, body, delay_s))
            self.repeats.add(task)

    async def repeat(self, job_id, body, delay_s):
        """Submits a job once more after a delay."""
        await asyncio.sleep(delay_s)
        await self.call("POST", job_id, body)

    async def cancel(self, job_id):
        """Cancels a job.

        The call is repeated until it is acknowledged, at most
        MAX_CALLS_PER_JOB times.
        """
        for _ in range(MAX_CALLS_PER_JOB):
            if await self.call("DELETE", job_id) in (200, 410):
                self.cancelled.add(job_id)
                return
            await asyncio.sleep(0.3)

    async def call(self, method, job_id, body=None):
        """Calls a random process of the cell.

        Returns:
            The HTTP status; "unreached" if no connection was made, so the
            call had no effect; "unconfirmed" if it may have had an effect.
        """
        members = list(self.cell.members.values())
        if not members:
            return "unreached"
        try:
            status, answer = await self.cell.call(
                self.rng.choice(members), method, job_id, body
            )
        except aiohttp.ClientConnectorError:
            return "unreached"
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            return "unconfirmed"
        if method == "GET":
            self.check_shown_state(job_id, answer.get("state"))
        return status

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
            self.shown_states.setdefault(job_id, (state, now_s))

    async def poll_job_states(self):
        """Periodically reads the state of one of the 20 newest jobs."""
        while True:
            if self.accepted:
                newest = sorted(self.accepted)[-20:]
                await self.call("GET", self.rng.choice(newest))
            await asyncio.sleep(STATE_POLL_INTERVAL_S)

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


async def run_seed(seed, seconds, keep=None):
    """Runs the soak with one seed.

    Args:
        seed: Seed of all random choices.
        seconds: Duration of load and faults.
        keep: Path of the folder that receives the logs of the processes if a
            guarantee is violated, or None.

    Returns:
        The violations, sorted.
    """
    advice = random.Random(seed).random() < 0.5
    teams = team_load.for_seed(seed)
    async with cell.FleetCell(
        workers=WORKERS,
        work_ms=WORK_MS,
        with_advice=advice,
        **team_load.cell_options(teams),
    ) as fleet_cell:
        soak = Soak(
            cell=fleet_cell,
            seed=seed,
            teams=teams,
            repeat_share=REPEAT_SHARE,
        )
        await soak.run(seconds)
        if soak.violations and keep:
            shutil.copytree(
                fleet_cell.folder.name,
                f"{keep}/seed-{seed}",
                dirs_exist_ok=True,
            )
        counts = f"{len(soak.accepted)} accepted, {len(soak.refused)} refused"
        if teams is not None:
            counts += f", {soak.refused_for_load} for load, {teams.counts}"
        print(
            f"seed {seed}: {counts}, {len(soak.violations)} broken", flush=True
        )
        return sorted(set(soak.violations))


def main():
    """Runs seeds; exits with 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(prog="soak")
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--count", type=int, default=5, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--keep", default="out", help="folder for logs")
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.first, arguments.first + arguments.count):
        violations = asyncio.run(
            run_seed(seed, arguments.seconds, arguments.keep)
        )
        failed += bool(violations)
        for violation in violations[:20]:
            print(f"  {violation}", flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
