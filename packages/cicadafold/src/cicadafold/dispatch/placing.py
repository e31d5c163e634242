"""Places waiting tasks: ranks steps, chooses workers, sends starts."""

import asyncio

from cicadafold import clock
from cicadafold.dispatch import isolation
from cicadafold.dispatch import placement_pass
from cicadafold.dispatch import reservations
from cicadafold.dispatch import runs
from cicadafold.dispatch import team_shares
from cicadafold.dispatch import ticketing
from cicadafold import exception
from cicadafold.platform import worker_client
from cicadafold.scheduling import placement
from cicadafold.scheduling import ranking
from cicadafold.scheduling import speeds
from cicadafold.scheduling import views
from cicadafold.telemetry import containment
from cicadafold.telemetry import logs

__all__ = ["Placer"]

# Pause after a pass, so that one pass handles several ends.
PASS_PAUSE_S = 0.006
# Longest time without a pass; expiring tickets and due jobs request none.
IDLE_PASS_S = 0.1
# Time after which passes that all fail end the term.
MAX_FAILING_MS = 10_000.0
# After this many starts a pass ends and the next one goes on. Thousands of
# commands at once would stall the process, which then drops them.
MAX_STARTS_PER_PASS = 100
# Checks for which a start waits after a stall. The newest claim is read within
# a tenth of a second and an answer of the store.
ALLOWED_CHECKS = 30
ALLOWED_CHECK_S = 0.02
# Attempt numbers that a term may use; those of a later term are higher.
ATTEMPTS_PER_TERM = 1_000_000
MS_PER_S = 1000.0

LOG = logs.get_logger("placing")
Part = containment.Part
Result = worker_client.CommandResult


class Placer:
    """Starts waiting tasks on workers with free capacity.

    Args:
        term: Number of the scheduler's term.
        job_table: Table of the jobs.
        estimates: Duration estimates.
        workers: Workers by name.
        links: Links to the workers by name of the worker.
        all_runs_known: Function that returns whether all run attempts of
            earlier terms on the workers of a pool are known.
        commands_allowed: Function that returns whether to send commands now.
        spawn: Function that runs a coroutine as a task.
        lease: ``LeaseTimes`` of the term.
        crashes: ``CrashTracker`` of the term.
        teams: ``TeamAccounting`` of the term.
        metrics: Metrics in which starts are counted.

    Attributes:
        advice_dispatcher: Requester of advice, None without advice service.
        preempting: ``Preempting`` of the term, None while nothing is to be
            preempted.
        shares: ``TeamShares``, which chooses the queue order.
        score: Placement policy; see ``placement``.
        locality: ``LocalityWaits``, None if tasks take as long in any rack.
        starts_left: Number of starts after which the current pass ends.
        containment: ``Containment`` of errors about single jobs.
        failing_since_ms: Monotonic time in milliseconds of the first of the
            current failed passes, None if the last one did not fail.
    """

    def __init__(
        self,
        *,
        term,
        job_table,
        estimates,
        workers,
        links,
        all_runs_known,
        commands_allowed,
        spawn,
        lease,
        crashes,
        teams,
        metrics,
    ):
        self.term = term
        self.job_table = job_table
        self.estimates = estimates
        self.workers = workers
        self.links = links
        self.all_runs_known = all_runs_known
        self.commands_allowed = commands_allowed
        self.spawn = spawn
        self.lease = lease
        self.crashes = crashes
        self.teams = teams
        self.metrics = metrics
        self.containment = containment.Containment(metrics=metrics)
        self.failing_since_ms = None
        self.reservations = reservations.Reservations(
            workers=workers,
            estimates=estimates,
            make_demand=self.demand,
            containment=self.containment,
        )
        self.isolation = isolation.Isolation(
            workers=workers, expected_ends=self.reservations.expected_ends
        )
        self.advice_dispatcher = None
        self.preempting = None
        self.ticket_planner = ticketing.TicketPlanner(workers=workers)
        self.slow_workers = set()
        self.very_slow_workers = set()
        self.starts_left = 0
        self.pass_requested = asyncio.Event()
        self.shares = team_shares.TeamShares(teams=teams)
        self.reservations.yields = self.shares.yields_reservation
        self.score = placement.POLICIES["best-fit"]
        self.locality = None

    def wake(self):
        """Requests a pass over the waiting steps."""
        self.pass_requested.set()

    async def run(self):
        """Makes passes, on request and periodically, until the term ends."""
        while True:
            try:
                async with asyncio.timeout(IDLE_PASS_S):
                    await self.pass_requested.wait()
            except TimeoutError:
                pass
            self.pass_requested.clear()
            started_ms = clock.monotonic_ms()
            if self.commands_allowed():
                self.make_pass()
            pause_s = self.pause_s(clock.monotonic_ms() - started_ms)
            if self.failing_since_ms is not None:
                pause_s = IDLE_PASS_S
            await asyncio.sleep(pause_s)

    def make_pass(self):
        """Makes a pass; one that fails is made again.

        Raises:
            Exception: All passes have failed for ``MAX_FAILING_MS``. The next
                term begins with a new state.
        """
        try:
            self.place_waiting_steps()
        except Exception as error:
            now_ms = clock.monotonic_ms()
            if self.failing_since_ms is None:
                self.failing_since_ms = now_ms
            if now_ms - self.failing_since_ms >= MAX_FAILING_MS:
                raise
            self.containment.report(Part.PASS, "", error, term=self.term)
        else:
            self.failing_since_ms = None
            self.containment.clear(Part.PASS)

    def pause_s(self, pass_ms):
        """Returns the pause after a pass in seconds.

        With teams, a pass over a long queue costs tens of milliseconds. The
        renewals and answers of the workers need as much time in between, or
        workers seem silent and leases lapse.

        Args:
            pass_ms: Duration of the pass in milliseconds.
        """
        if self.preempting is None:
            return PASS_PAUSE_S
        return min(IDLE_PASS_S, max(PASS_PAUSE_S, pass_ms / MS_PER_S))

    def place_waiting_steps(self):
        """Places the tasks of the waiting steps in order of their rank.

        Steps whose queue needs advice are only placed on workers with a valid
        ticket; missing tickets are requested.
        """
        now_ms = clock.monotonic_ms()
        self.isolation.begin_pass(now_ms)
        self.teams.begin_pass(now_ms)
        if self.locality is not None:
            self.locality.begin_pass(now_ms)
        ranked = self.waiting_steps(now_ms)
        if not ranked:
            if self.preempting is not None:
                self.preempting.on_idle_pass(now_ms)
            return
        pools = self.scheduling_views(now_ms)
        preempting = self.preempting
        if preempting is not None:
            preempting.begin_pass(pools, ranked, now_ms)
        self.slow_workers = self.slower_than(speeds.SLOW_SPEED)
        self.very_slow_workers = self.slower_than(speeds.VERY_SLOW_SPEED)
        self.starts_left = MAX_STARTS_PER_PASS
        current = placement_pass.PlacementPass(
            placer=self, preempting=preempting, pools=pools, now_ms=now_ms
        )
        for rank, step, tasks in self.shares.order(ranked, pools):
            if self.starts_left <= 0:
                # Steps of lower rank keep what they have until then.
                self.wake()
                return
            current.attempt(rank, step, tasks)
        current.end()

    def on_waiting(self, step, tasks, tickets, now_ms):
        """Notes tasks of a step that wait for workers which are closed.

        Args:
            step: Step of which some tasks may not have been placed.
            tasks: Tasks that were to be placed.
            tickets: Valid tickets by name of the worker, None for any worker.
            now_ms: Monotonic time in milliseconds.
        """
        if self.isolation.closed.matter_to(step):
            demand = self.demand(step, len(tasks), tickets)
            self.isolation.closed.on_waiting(step, tasks, demand, now_ms)

    def waiting_steps(self, now_ms):
        """Returns the steps with waiting tasks in order of their rank.

        Jobs that an earlier term may have started are left out until all run
        attempts in their pool are known.
        """
        ranked = []
        paused = self.containment.paused(Part.PLACING)
        for job in self.job_table.active.values():
            if job.spec.id in paused:
                continue
            if job.inherited and not self.all_runs_known(job.rule.pool):
                continue
            try:
                ranked.extend(self.ranked_steps(job, now_ms))
            except Exception as error:
                job_id = job.spec.id
                self.containment.report(
                    Part.PLACING, job_id, error, request_id=job_id
                )
        ranked.sort(key=lambda item: item[0])
        return ranked

    def ranked_steps(self, job, now_ms):
        """Returns the waiting steps of a job as triples of rank, step, tasks.

        Args:
            job: Active job.
            now_ms: Monotonic time in milliseconds.
        """
        ranked = []
        for step in job.ready_steps(now_ms):
            tasks = step.startable_tasks(now_ms)
            if tasks and self.can_start(step, tasks, now_ms):
                rank = self.rank_of(step, now_ms)
                ranked.append((rank, step, tasks))
        return ranked

    def can_start(self, step, tasks, now_ms):
        """Whether a step may start; a gang only whole and after its pause."""
        if not step.spec.gang:
            return True
        return (
            len(tasks) == len(step.tasks) and now_ms >= step.gang_not_before_ms
        )

    def rank_of(self, step, now_ms):
        """Returns the rank of a step; the step's name breaks ties."""
        rank = self.shares.rank(self.waiting_step(step), now_ms)
        return (rank, step.job.spec.id, step.occurrence, step.number)

    def waiting_step(self, step):
        """Returns what the queue order needs to know of a step."""
        job = step.job
        task_ms = self.estimates.step_task_duration_ms(step)
        if self.preempting is not None:
            waiting = self.preempting.waiting_step(step, task_ms)
        else:
            waiting = ranking.WaitingStep(
                priority=job.rule.priority,
                arrived_ms=job.due_ms(step.occurrence),
                objective_ms=job.objective_ms,
                remaining_ms=task_ms * (len(job.spec.steps) - step.number),
            )
        waiting.beyond_rate = job.beyond_rate
        return waiting

    def scheduling_views(self, now_ms):
        """Returns the views of the usable workers by pool and name."""
        pools = {}
        for worker in self.workers.values():
            if worker.report.id in self.isolation.units:
                continue
            if worker.usable(now_ms):
                name, pool = worker.report.id, worker.report.pool
                pools.setdefault(pool, {})[name] = worker.scheduling_view()
        return pools

    def slower_than(self, share):
        """Returns the names of workers below a share of the usual speed."""
        return {
            name
            for name, worker in self.workers.items()
            if worker.speed < share
        }

    def place_step(self, step, tasks, pool, tickets, now_ms):
        """Places tasks of one step and starts them.

        Args:
            step: Step.
            tasks: Waiting tasks of the step.
            pool: Views of the usable workers by name; capacity of the placed
                tasks is reserved in them.
            tickets: Valid tickets by name of the worker, None without advice.
            now_ms: Monotonic time in milliseconds.

        Returns:
            Whether any task was placed.
        """
        last, never = self.reservations.of_others(step, now_ms)
        if self.preempting is not None:
            last |= self.preempting.held_for_others(step)
        last |= self.slow_workers
        never |= self.very_slow_workers
        if never:
            pool = {k: v for k, v in pool.items() if k not in never}
        self.crashes.settle_doubtful(tasks)
        placed = False
        for unit, group in isolation.start_groups(step, tasks):
            demand = self.demand(
                step, len(group), tickets, step.avoided_workers | last
            )
            if unit is None:
                shared = self.isolation.unassigned(pool)
                if self.locality is not None:
                    demand.tasks, shared = self.locality.startable(
                        step, demand, shared, now_ms
                    )
                chosen = placement.place(demand, shared, score=self.score)
            elif self.crashes.may_be_placed(unit):
                chosen = self.isolation.place(
                    unit, demand, pool, self.score, now_ms
                )
            else:
                continue
            if chosen and (
                unit is None or self.crashes.may_start(unit, chosen)
            ):
                self.start_tasks(step, group, chosen, tickets, now_ms)
                placed = True
        suspects = isolation.mere_suspects(step, tasks)
        if suspects and step.job.active:
            demand = self.demand(
                step, len(suspects), tickets, step.avoided_workers | last
            )
            chosen = self.isolation.place_suspects(demand, pool, self.score)
            allowed = [
                (task, name)
                for task, name in zip(suspects, chosen)
                if self.crashes.may_start(task, [name])
            ]
            if allowed:
                self.start_tasks(step, *zip(*allowed), tickets, now_ms)
                placed = True
        return placed

    def start_tasks(self, step, tasks, chosen, tickets, now_ms):
        """Starts tasks of a step.

        Args:
            step: Step.
            tasks: Tasks to start; those beyond ``chosen`` are left out.
            chosen: Names of workers, one for each task.
            tickets: Valid tickets by name of the worker, None without advice.
            now_ms: Monotonic time in milliseconds.
        """
        step.start_count += 1
        self.starts_left -= len(chosen)
        attempt = (self.term - 1) * ATTEMPTS_PER_TERM + step.start_count
        planned = []
        for task, name in zip(tasks, chosen):
            worker = self.workers[name]
            run = runs.RunAttempt(
                task=task,
                name=task.name,
                attempt=attempt,
                worker=worker,
                room=step.spec.reserved_resources,
                state=runs.RunState.STARTING,
                now_ms=now_ms,
                team=step.job.spec.team_name,
                charge=step.spec.need,
            )
            worker.add(run)
            ticket = tickets[name] if tickets else ""
            planned.append((run, ticket))
        self.log_start(step, attempt, chosen, now_ms)
        for run, ticket in planned:
            self.spawn(self.start(run, ticket))

    def demand(self, step, tasks=None, allowed=None, avoid=()):
        """Returns the demand for a number of tasks of a step, or for all."""
        spec = step.spec
        return views.Demand(
            tasks=spec.tasks if tasks is None else tasks,
            need=spec.reserved_resources,
            gang=spec.gang,
            one_rack=spec.one_rack,
            label=spec.label,
            data_rack=spec.data_rack,
            per_host=spec.per_host,
            running_per_worker=count_runs(step) if spec.per_host else {},
            allowed=allowed,
            avoid=avoid,
        )

    def log_start(self, step, attempt, chosen, now_ms):
        """Logs and counts the starts of one attempt of a step."""
        self.metrics.count("starts", len(chosen), queue=step.job.rule.name)
        waited_ms = now_ms - step.ready_ms
        self.metrics.record_us(
            "start_wait",
            waited_ms * clock.US_PER_MS,
            queue=step.job.rule.name,
        )
        LOG.info(
            "Starting tasks of a step.",
            fields={
                "request_id": step.job.spec.id,
                "step": step.number,
                "attempt": attempt,
                "workers": chosen,
                "waited_ms": round(waited_ms),
                "age_ms": round(now_ms - step.job.arrived_ms),
                "term": self.term,
            },
        )

    async def wait_until_allowed(self):
        """Waits, for a moment, until commands are allowed after a stall.

        A long pass is a stall as well, and the next one would be as long.
        """
        for _ in range(ALLOWED_CHECKS):
            if self.commands_allowed():
                return
            await asyncio.sleep(ALLOWED_CHECK_S)

    async def start(self, run, ticket):
        """Starts a run attempt; an unexpected error concerns it alone.

        The command may have been sent then, so that the run attempt is
        stopped before its task is started again.
        """
        link = self.links.get(run.worker.report.id)
        if link is None:
            # The worker was removed after the placement; nothing was sent.
            run.worker.remove(run)
            return
        try:
            await self.send_start(run, ticket, link)
        except Exception as error:
            self.containment.report(
                Part.STARTING,
                run.name.job,
                error,
                **runs.run_log_fields(run),
            )
            link.on_unconfirmed_start(
                run,
                exception.TargetUnreachable(
                    message=f"The start failed unexpectedly: {error!r}.",
                    sent=True,
                ),
            )
            self.wake()

    async def send_start(self, run, ticket, link):
        """Sends the start command of a run attempt and handles the answer.

        Args:
            run: Run attempt.
            ticket: Ticket for its worker, or empty.
            link: ``WorkerLink`` of the worker.
        """
        worker = run.worker
        task = run.task
        if not self.commands_allowed():
            # This process stalled after the placement; nothing was sent.
            await self.wait_until_allowed()
            if run.state is not runs.RunState.STARTING:
                return
            if run.stop_requested or not self.commands_allowed():
                reason = "stopped" if run.stop_requested else "stalled"
                link.events.on_run_gone(worker, run, reason)
                return
        if worker.silent_since_ms is not None:
            # A start extends the leases, whose end is already assumed.
            link.events.on_run_gone(worker, run, "silent")
            return
        if not worker.describes_incarnation:
            link.events.on_run_gone(worker, run, "worker restarted")
            return
        # The time comes first: a pause after it shortens the lease.
        now_ms = clock.monotonic_ms()
        command = worker_client.StartCommand(
            name=task.name,
            attempt=run.attempt,
            payload=task.step.job.spec.payload,
            deadline_ms=worker.extend_lease(self.lease.grantable_ms(), now_ms),
            checkpoint=task.step.checkpoint_for(task),
            ticket=ticket,
        )
        result = await link.start(run, command)
        if result is Result.ACCEPTED:
            task.step.job.started = True
        if result is Result.INVALID_TICKET:
            task.step.tickets.pop(worker.report.id, None)
        elif result is Result.UNHEALTHY:
            worker.quarantined_until_ms = clock.monotonic_ms() + MS_PER_S
        if result is not Result.ACCEPTED and task.step.spec.gang:
            link.events.stop_attempt(task.step, run.attempt)
        self.wake()


def count_runs(step):
    """Returns how many tasks of a step may run on each worker, by name."""
    counts = {}
    for task in step.tasks:
        for run in task.runs:
            name = run.worker.report.id
            counts[name] = counts.get(name, 0) + 1
    return counts
