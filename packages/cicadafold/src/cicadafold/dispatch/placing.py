"""Places waiting tasks: ranks steps, chooses workers, orders starts."""

import asyncio

from cicadafold import clock
from cicadafold.dispatch import runs
from cicadafold.dispatch import ticketing
from cicadafold.platform import worker_client
from cicadafold.scheduling import estimates
from cicadafold.scheduling import placement
from cicadafold.scheduling import ranking
from cicadafold.scheduling import reservation
from cicadafold.scheduling import rooms
from cicadafold.scheduling import speeds
from cicadafold.telemetry import logs

__all__ = ["Placer"]

# Least time between two passes; several ends are answered by one pass.
PASS_PAUSE_S = 0.006
# A pass without an event, for tickets, pauses and schedules that run out.
IDLE_PASS_S = 0.1
# Attempt numbers of a term stand above those of all earlier terms.
ATTEMPTS_PER_TERM = 1_000_000
MILLISECONDS = 1000.0
# Gangs for which workers are kept at a time, and how far ahead.
MAX_RESERVED = 3
LONGEST_RESERVED_MS = 8000.0
# Reservations are chosen anew this often.
RESERVE_PERIOD_MS = 120.0
# A task may use a reserved worker if it ends well before it is needed.
BACKFILL_FACTOR = 1.2


LOG = logs.get_logger("placing")
Result = worker_client.CommandResult


class Placer:
    """Starts waiting tasks wherever there is room.

    Args:
        term: Term of the scheduler.
        table: Jobs.
        learned: Expected durations.
        workers: Workers by name.
        links: Links by the name of the worker.
        settled: Function that tells whether the workers of a pool are
            known not to run tasks of an earlier scheduler.
        steady: Function that tells whether orders may be given.
        spawn: Function that runs a coroutine as a task.
        lease: Times of leases.
        metrics: Where starts are counted.
    """

    def __init__(
        self,
        *,
        term,
        table,
        learned,
        workers,
        links,
        settled,
        steady,
        spawn,
        lease,
        metrics,
    ):
        self.term = term
        self.table = table
        self.learned = learned
        self.workers = workers
        self.links = links
        self.settled = settled
        self.steady = steady
        self.spawn = spawn
        self.lease = lease
        self.metrics = metrics
        self.desk = None
        self.tickets = ticketing.TicketPlanner(workers=workers)
        self.reserved = {}
        self.reserved_at_ms = -RESERVE_PERIOD_MS
        self.slow = set()
        self.very_slow = set()
        self.wanted = asyncio.Event()
        self.rank = ranking.RANKINGS["slack"]
        self.rate = placement.POLICIES["best-fit"]

    def wake(self):
        """Asks for a pass."""
        self.wanted.set()

    async def run(self):
        """Makes passes for as long as the term lasts."""
        while True:
            try:
                async with asyncio.timeout(IDLE_PASS_S):
                    await self.wanted.wait()
            except TimeoutError:
                pass
            self.wanted.clear()
            if self.steady():
                self.place()
            await asyncio.sleep(PASS_PAUSE_S)

    def place(self):
        """Makes one pass over the waiting steps."""
        now_ms = clock.monotonic_ms()
        ranked = self.waiting_steps(now_ms)
        if not ranked:
            return
        views = self.views(now_ms)
        self.slow = self.slower_than(speeds.SLOW)
        self.very_slow = self.slower_than(speeds.VERY_SLOW)
        asks = []
        unplaced = []
        for rank, step, tasks in ranked:
            pool = views.get(step.job.rule.pool)
            if not pool:
                continue
            tickets = None
            if step.job.rule.advice is not None:
                tickets = self.tickets.valid(step, now_ms)
                ask = self.tickets.want(rank, step, tickets, pool, now_ms)
                if ask is not None:
                    asks.append(ask)
                if not tickets:
                    continue
            placed = self.place_step(step, tasks, pool, tickets, now_ms)
            if not placed and step.spec.gang:
                unplaced.append(step)
        self.reserve(unplaced, views, now_ms)
        if self.desk is not None:
            self.desk.replace(asks)

    def reserve(self, gangs, views, now_ms):
        """Keeps workers for the first gangs that did not fit."""
        if now_ms - self.reserved_at_ms < RESERVE_PERIOD_MS:
            return
        self.reserved_at_ms = now_ms
        self.reserved = {}
        for step in gangs[:MAX_RESERVED]:
            pool = views[step.job.rule.pool]
            futures = [
                reservation.FutureRoom(
                    view, self.expected_ends(self.workers[name], now_ms)
                )
                for name, view in pool.items()
                if name not in self.reserved
                and (
                    step.allowed_by_worker is None
                    or step.allowed_by_worker.get(name)
                )
            ]
            found = reservation.reserve(self.demand(step), futures)
            if found is None or found.in_ms > LONGEST_RESERVED_MS:
                continue
            for name in found.hosts:
                self.reserved[name] = (now_ms + found.in_ms, step)

    def expected_ends(self, worker, now_ms):
        """Returns when the runs of a worker are expected to end."""
        ends = []
        for run in worker.runs.values():
            task = run.task
            if task is None or task.step.spec.lasting:
                continue
            expected_ms = self.learned.step_ms(task.step)
            ran_ms = now_ms - run.started_ms
            left_ms = estimates.remaining_ms(expected_ms, ran_ms, run.percent)
            ends.append((left_ms, run.room))
        return ends

    def kept_for_others(self, step, now_ms):
        """Returns reserved workers that a step should or must not use.

        Returns:
            Workers to use last, and workers not to use at all.
        """
        last, never = set(), set()
        job = step.job
        task_ms = self.learned.step_ms(step)
        for name, (until_ms, gang) in self.reserved.items():
            if gang is step:
                continue
            last.add(name)
            urgent = job.rule.priority < gang.job.rule.priority
            if not urgent and now_ms + task_ms * BACKFILL_FACTOR > until_ms:
                never.add(name)
        return last, never

    def waiting_steps(self, now_ms):
        """Returns ranked steps with the tasks that wait."""
        ranked = []
        for job in self.table.active.values():
            if job.inherited and not self.settled(job.rule.pool):
                continue
            if job.spec.repeats:
                job.create_due_occurrences(now_ms)
            elif not job.steps:
                job.steps_of(0)
            for steps in job.steps.values():
                for step in steps:
                    if step.done or not step.is_ready(now_ms):
                        continue
                    tasks = step.startable_tasks(now_ms)
                    if tasks and self.startable(step, tasks, now_ms):
                        rank = self.rank_of(step, now_ms)
                        ranked.append((rank, step, tasks))
        ranked.sort(key=lambda item: item[0])
        return ranked

    def startable(self, step, tasks, now_ms):
        """Whether a step may start tasks; a gang waits until it is whole."""
        if not step.spec.gang:
            return True
        return (
            len(tasks) == len(step.tasks) and now_ms >= step.gang_not_before_ms
        )

    def rank_of(self, step, now_ms):
        """Returns the rank of a step, made unique by its name."""
        job = step.job
        task_ms = self.learned.step_ms(step)
        waiting = ranking.Waiting(
            priority=job.rule.priority,
            arrived_ms=job.due_ms(step.occurrence),
            objective_ms=job.objective,
            remaining_ms=task_ms * (len(job.spec.steps) - step.number),
        )
        rank = self.rank(waiting, now_ms)
        return (rank, job.spec.id, step.occurrence, step.number)

    def views(self, now_ms):
        """Returns the free room of the usable workers by pool."""
        pools = {}
        for worker in self.workers.values():
            if worker.usable(now_ms):
                name, pool = worker.report.id, worker.report.pool
                pools.setdefault(pool, {})[name] = worker.view()
        return pools

    def slower_than(self, share):
        """Returns the workers below a share of the usual speed."""
        return {
            name
            for name, worker in self.workers.items()
            if worker.speed < share
        }

    def place_step(self, step, tasks, pool, tickets, now_ms):
        """Places tasks of one step and orders their starts.

        Returns:
            Whether any task was placed.
        """
        spec = step.spec
        last, never = self.kept_for_others(step, now_ms)
        last |= self.slow
        never |= self.very_slow
        if never:
            pool = {k: v for k, v in pool.items() if k not in never}
        demand = self.demand(
            step, len(tasks), tickets, step.avoided_workers | last
        )
        chosen = placement.place(demand, pool, rate=self.rate)
        if not chosen:
            return False
        step.start_count += 1
        attempt = (self.term - 1) * ATTEMPTS_PER_TERM + step.start_count
        started = []
        for task, name in zip(tasks, chosen):
            worker = self.workers[name]
            run = runs.Run(
                task=task,
                name=task.name,
                attempt=attempt,
                worker=worker,
                room=spec.reserved_resources,
                state=runs.RunState.STARTING,
                now_ms=now_ms,
            )
            worker.add(run)
            ticket = tickets[name] if tickets else ""
            started.append((run, ticket))
        self.log_start(step, attempt, chosen, now_ms)
        step.job.started = True
        for run, ticket in started:
            self.spawn(self.start(run, ticket))
        return True

    def demand(self, step, tasks=None, allowed=None, avoid=()):
        """Returns what the waiting tasks of a step need."""
        spec = step.spec
        return rooms.Demand(
            tasks=spec.tasks if tasks is None else tasks,
            need=spec.reserved_resources,
            gang=spec.gang,
            one_rack=spec.one_rack,
            label=spec.label,
            data_rack=spec.data_rack,
            per_host=spec.per_host,
            present=present(step) if spec.per_host else {},
            allowed=allowed,
            avoid=avoid,
        )

    def log_start(self, step, attempt, chosen, now_ms):
        """Logs a decision to start tasks."""
        self.metrics.count("starts", len(chosen), queue=step.job.rule.name)
        waited_ms = now_ms - step.ready_ms
        self.metrics.record_us(
            "start_wait",
            waited_ms * MILLISECONDS,
            queue=step.job.rule.name,
        )
        LOG.info(
            "Tasks are started.",
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

    async def start(self, run, ticket):
        """Orders one run."""
        worker = run.worker
        link = self.links[worker.report.id]
        task = run.task
        if not self.steady():
            # Placed before a stall of this process; nothing was sent.
            link.events.on_run_gone(worker, run, "stalled")
            return
        order = worker_client.StartCommand(
            name=task.name,
            attempt=run.attempt,
            payload=task.step.job.spec.payload,
            deadline_ms=worker.lease_until(
                self.lease.lease_ms, clock.monotonic_ms()
            ),
            checkpoint=task.step.checkpoint_for(task),
            ticket=ticket,
        )
        result = await link.start(run, order)
        if result is Result.INVALID_TICKET:
            task.step.tickets.pop(worker.report.id, None)
        elif result is Result.UNHEALTHY:
            worker.quarantined_until_ms = clock.monotonic_ms() + MILLISECONDS
        if result is not Result.ACCEPTED and task.step.spec.gang:
            link.events.stop_attempt(task.step, run.attempt)
        self.wake()


def present(step):
    """Returns how many tasks of a step each worker may have."""
    counts = {}
    for task in step.tasks:
        for run in task.runs:
            name = run.worker.report.id
            counts[name] = counts.get(name, 0) + 1
    return counts
