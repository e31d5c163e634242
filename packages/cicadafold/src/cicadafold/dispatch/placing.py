"""Places waiting tasks: ranks steps, chooses workers, orders starts."""

import asyncio
import math

from cicadafold import clock
from cicadafold.dispatch import advising
from cicadafold.dispatch import runs
from cicadafold.jobs import model
from cicadafold.platform import worker_calls
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
# Most workers that one call for advice may name.
MAX_ADVISED = 100
# Least number of workers asked about, and how many more than needed.
LEAST_ADVISED = 16
ADVISED_FACTOR = 1.5
# Share of a worker that is likely to be free for a step.
USABLE_SHARE = 0.6
# Share of workers that a policy permits: at first, at least, and the weight
# of the newest answer.
FIRST_PERMITTED = 0.4
LEAST_PERMITTED = 0.05
PERMITTED_RATE = 0.1
MILLISECONDS = 1000.0
# Gangs for which workers are kept at a time, and how far ahead.
MAX_RESERVED = 3
LONGEST_RESERVED_MS = 8000.0
# Reservations are chosen anew this often.
RESERVE_PERIOD_MS = 120.0
# A task may use a reserved worker if it ends well before it is needed.
BACKFILL_FACTOR = 1.2
# New tickets for a waiting gang are asked for this early.
REFRESH_FACTOR = 1.3

LOG = logs.get_logger("placing")
Result = worker_calls.StartResult


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
        self.spawn = spawn
        self.lease = lease
        self.metrics = metrics
        self.desk = None
        self.permitted = {}
        self.reserved = {}
        self.reserved_at_ms = -RESERVE_PERIOD_MS
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
            self.place()
            await asyncio.sleep(PASS_PAUSE_S)

    def place(self):
        """Makes one pass over the waiting steps."""
        now_ms = clock.monotonic_ms()
        ranked = self.waiting_steps(now_ms)
        if not ranked:
            return
        views = self.views(now_ms)
        asks = []
        unplaced = []
        for rank, step, tasks in ranked:
            pool = views.get(step.job.rule.pool)
            if not pool:
                continue
            tickets = None
            if step.job.rule.advice is not None:
                tickets = self.tickets(step, now_ms)
                self.want_advice(asks, rank, step, tickets, pool, now_ms)
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
                and (step.allowed is None or step.allowed.get(name))
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
            expected_ms = self.learned.task_ms(
                task.step.job.rule.name, task.step.spec.estimate_ms
            )
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
        task_ms = self.learned.task_ms(job.rule.name, step.spec.estimate_ms)
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
                job.open_occurrences(now_ms)
            elif not job.steps:
                job.occurrence(0)
            for steps in job.steps.values():
                for step in steps:
                    if step.done or not step.open(now_ms):
                        continue
                    tasks = step.waiting(now_ms)
                    if tasks and self.startable(step, tasks, now_ms):
                        rank = self.rank_of(step, now_ms)
                        ranked.append((rank, step, tasks))
        ranked.sort(key=lambda item: item[0])
        return ranked

    def startable(self, step, tasks, now_ms):
        """Whether a step may start tasks; a gang waits until it is whole."""
        if not step.spec.gang:
            return True
        return len(tasks) == len(step.tasks) and now_ms >= step.held_until_ms

    def rank_of(self, step, now_ms):
        """Returns the rank of a step, made unique by its name."""
        job = step.job
        spec = step.spec
        task_ms = self.learned.task_ms(job.rule.name, spec.estimate_ms)
        waiting = ranking.Waiting(
            priority=job.rule.priority,
            arrived_ms=job.due_ms(step.occurrence),
            objective_ms=job.objective,
            remaining_ms=task_ms * (len(job.spec.steps) - step.number),
            gang=spec.gang,
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

    def tickets(self, step, now_ms):
        """Returns the valid tickets of a step by worker."""
        return {
            worker: ticket
            for worker, (ticket, until_ms) in step.tickets.items()
            if now_ms < until_ms
        }

    def want_advice(self, asks, rank, step, tickets, pool, now_ms):
        """Notes a call for advice if a step is, or soon is, without."""
        if step.asking or self.desk is None:
            return
        narrow = tickets and self.too_narrow(step, tickets)
        if tickets and not narrow:
            if not self.runs_out(step, tickets, now_ms):
                return
        known = step.allowed
        if known is None:
            names = self.likely_workers(step, pool, ())
        elif narrow:
            names = self.likely_workers(step, pool, known)
        else:
            names = [x for x in pool if known.get(x, False)]
            names.extend(x for x in pool if x not in known)
        names = names[:MAX_ADVISED]
        if not names:
            step.allowed = None
            return
        advice = step.job.rule.advice
        cost_ms = advice.base_ms + advice.per_host_ms * len(names)
        asks.append(advising.AdviceWanted(rank, step, names, cost_ms))

    def runs_out(self, step, tickets, now_ms):
        """Whether a gang's tickets end before new ones could come."""
        if not step.spec.gang:
            return False
        advice = step.job.rule.advice
        call_ms = advice.base_ms + advice.per_host_ms * len(tickets)
        first_ms = min(step.tickets[name][1] for name in tickets)
        return first_ms - now_ms < call_ms * REFRESH_FACTOR

    def too_narrow(self, step, tickets):
        """Whether a gang could not run on its permitted workers at all."""
        if not step.spec.gang:
            return False
        held = sum(
            self.whole_count(self.workers[name], step.spec)
            for name in tickets
            if name in self.workers
        )
        return held * USABLE_SHARE < step.spec.tasks

    def whole_count(self, worker, spec):
        """Returns how many tasks a worker holds when nothing else runs."""
        view = worker.view()
        view.give(model.Resources(*worker.used))
        return min(view.holds(spec.room), spec.tasks)

    def likely_workers(self, step, pool, known):
        """Returns workers to ask about, those with most room first.

        Enough are named that the permitted ones will hold the step, by the
        share that the queue's policy has permitted so far.
        """
        spec = step.spec
        fitting = [
            (-host.cores_milli, name)
            for name, host in pool.items()
            if (not spec.label or spec.label in host.labels)
            and name not in known
        ]
        counts = [
            self.whole_count(self.workers[name], spec) for _, name in fitting
        ]
        each = max(1.0, USABLE_SHARE * max(counts, default=1))
        share = self.permitted.get(step.job.rule.name, FIRST_PERMITTED)
        wanted = math.ceil(spec.tasks / each / share * ADVISED_FACTOR)
        wanted = max(LEAST_ADVISED, min(MAX_ADVISED, wanted))
        return [name for _, name in sorted(fitting)][:wanted]

    def learn_permitted(self, step, asked, granted):
        """Takes the share of workers that a queue's policy permits."""
        queue = step.job.rule.name
        known = self.permitted.get(queue, FIRST_PERMITTED)
        found = max(LEAST_PERMITTED, granted / max(1, asked))
        self.permitted[queue] = known + PERMITTED_RATE * (found - known)

    def place_step(self, step, tasks, pool, tickets, now_ms):
        """Places tasks of one step and orders their starts.

        Returns:
            Whether any task was placed.
        """
        spec = step.spec
        last, never = self.kept_for_others(step, now_ms)
        last |= self.slower_than(speeds.SLOW)
        never |= self.slower_than(speeds.VERY_SLOW)
        if never:
            pool = {k: v for k, v in pool.items() if k not in never}
        demand = self.demand(step, len(tasks), tickets, step.avoid | last)
        chosen = placement.place(demand, pool, rate=self.rate)
        if not chosen:
            return False
        step.launches += 1
        attempt = (self.term - 1) * ATTEMPTS_PER_TERM + step.launches
        started = []
        for task, name in zip(tasks, chosen):
            worker = self.workers[name]
            run = runs.Run(
                task=task,
                name=task.name,
                attempt=attempt,
                worker=worker,
                room=spec.room,
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
            need=spec.room,
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
        waited_ms = now_ms - step.opened_ms
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
        order = worker_calls.StartOrder(
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
        if result is Result.NO_TICKET:
            task.step.tickets.pop(worker.report.id, None)
        elif result is Result.UNHEALTHY:
            worker.quarantined_until_ms = clock.monotonic_ms() + MILLISECONDS
        if result is not Result.TAKEN and task.step.spec.gang:
            for member in task.step.tasks:
                for other in member.runs:
                    if other.attempt == run.attempt:
                        link.events.stop_run(other)
        self.wake()


def present(step):
    """Returns how many tasks of a step each worker may have."""
    counts = {}
    for task in step.tasks:
        for run in task.runs:
            name = run.worker.report.id
            counts[name] = counts.get(name, 0) + 1
    return counts
