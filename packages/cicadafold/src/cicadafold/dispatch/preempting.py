"""Stops run attempts for steps that wait, and holds the freed capacity."""

import collections
import math

from cicadafold.dispatch import preemption_options
from cicadafold.dispatch import preemption_plans
from cicadafold.dispatch import preemption_stops
from cicadafold.dispatch import reservations
from cicadafold.dispatch import urgent_headroom
from cicadafold.scheduling import preemption
from cicadafold.scheduling import preemption_victims

__all__ = ["Preempting"]

URGENT = preemption_plans.URGENT
GANG = preemption_plans.GANG
# Time between two rounds of decisions.
PLAN_PERIOD_MS = 25.0
# After a longer time without a pass, the process was stalled.
STALL_MS = 400.0
# Most steps of each reason for which a round decides.
MAX_URGENT = 3
MAX_GANGS = 1
# Most plans with stops for one step; the second replaces one whose stop was
# not answered or whose worker was lost.
MAX_PLANS = 2
# Capacity is held beyond its expected time by this factor plus this time; a
# gang needs all of many ends, so that one of them is often late.
HOLD_FACTOR = 1.5
HOLD_MARGIN_MS = {URGENT: 100.0, GANG: 500.0}
# Factor on the expected wait of a gang before it is relied on.
GANG_WAIT_FACTOR = 1.5


class Preempting:
    """Preempts patient run attempts for steps that could not be placed.

    Nothing of it is durable: a later term begins without plans, and may stop
    a task once more.

    Args:
        workers: Workers by name.
        estimates: Duration estimates.
        reservations: ``Reservations`` of workers for gangs.
        make_demand: Function that returns the ``Demand`` of a step.
        stop_run: Function called with each run attempt to stop.
        commands_allowed: Function that returns whether to send commands now.
        spawn: Function that runs a coroutine as a task.
        settings: ``CellSettings`` of the process.
        metrics: Metrics in which stops are counted.

    Attributes:
        plans: ``Plan`` by step.
        plan_counts: Number of plans with stops by step that still waits.
        tracker: ``StopTracker`` of the stops.
    """

    def __init__(
        self,
        *,
        workers,
        estimates,
        reservations,
        make_demand,
        stop_run,
        commands_allowed,
        spawn,
        settings,
        metrics,
    ):
        self.workers = workers
        self.estimates = estimates
        self.reservations = reservations
        self.make_demand = make_demand
        self.stop_run = stop_run
        self.commands_allowed = commands_allowed
        self.spawn = spawn
        self.settings = settings
        self.metrics = metrics
        self.plans = {}
        self.plan_counts = {}
        self.tracker = preemption_stops.StopTracker(
            workers=workers,
            longest_stop_ms=settings.stop_ms,
            metrics=metrics,
        )
        self.reader = preemption_options.OptionReader(
            workers=workers,
            duration_estimates=estimates,
            stop_overdue=self.tracker.is_overdue,
        )
        self.headroom = urgent_headroom.UrgentHeadroom(workers=workers)
        self.passed_ms = -math.inf
        self.planned_ms = -math.inf
        self.pools = {}
        self.opened = []
        self.unplaced = []

    def waiting_step(self, step, task_ms):
        """Returns the ``WaitingStep`` of a step, which honours checkpoints."""
        return preemption_options.waiting_step(step, task_ms)

    def on_idle_pass(self, now_ms):
        """Ends all plans, as no step waits."""
        self.passed_ms = now_ms
        self.plans.clear()
        self.plan_counts.clear()
        self.headroom.held = {}
        self.tracker.settle(now_ms)

    def begin_pass(self, pools, ranked, now_ms):
        """Withholds the held capacity from the views of the workers.

        Args:
            pools: Views of the usable workers by pool and name.
            ranked: Triples of rank, step and tasks of the waiting steps.
            now_ms: Monotonic time in milliseconds.
        """
        if now_ms - self.passed_ms > STALL_MS:
            # The process was stalled: what was planned is out of date.
            self.plans.clear()
        self.passed_ms = now_ms
        self.pools = pools
        self.unplaced = []
        self.tracker.settle(now_ms)
        for step, plan in list(self.plans.items()):
            self.update_plan(step, plan, now_ms)
            self.adjust_views(plan, 1)
        self.headroom.record_arrivals(ranked, now_ms)
        self.headroom.begin_pass(pools, self.tracker.stop_ms, now_ms)
        for step in list(self.plan_counts):
            if not step.job.active or step.done:
                del self.plan_counts[step]

    def update_plan(self, step, plan, now_ms):
        """Drops a plan that is over, or what it holds on lost workers."""
        waiting = sum(task.needs_start for task in step.tasks)
        pool = self.pools.get(step.job.rule.pool, {})
        lost = [name for name in plan.held if name not in pool]
        for name in lost:
            del plan.held[name]
        if lost and step.spec.gang:
            plan.held.clear()
        plan.trim(waiting if step.job.active else 0)
        if plan.held and now_ms < plan.until_ms:
            return
        del self.plans[step]
        plan.held = {}
        if plan.stops and waiting and step.job.active:
            self.metrics.count("preemption_steps_missed", reason=plan.reason)

    def adjust_views(self, plan, sign):
        """Withholds what a plan holds (sign 1), or offers it (sign -1)."""
        pool = self.pools.get(plan.step.job.rule.pool, {})
        need = plan.step.spec.reserved_resources
        for name, count in plan.held.items():
            view = pool.get(name)
            if view is not None:
                view.reserve(need, sign * count)

    def before_step(self, step):
        """Offers a step what is held for it.

        An urgent step may also use what is held for gangs of patient work.
        """
        urgent = step.job.rule.priority == 0
        own = self.plans.get(step)
        self.opened = [] if own is None else [own]
        if urgent:
            self.opened.extend(
                plan for plan in self.plans.values() if plan.reason == GANG
            )
        for plan in self.opened:
            self.adjust_views(plan, -1)
        if urgent:
            self.headroom.offer()

    def held_for_others(self, step):
        """Returns names of workers of which a step takes others first."""
        return {
            name
            for plan in self.opened
            if plan.step is not step
            for name in plan.held
        }

    def after_step(self, step, tasks, placed):
        """Withholds again what a step has not used, and notes what it lacks.

        Args:
            step: Step.
            tasks: Its tasks that were to be placed in this pass.
            placed: Whether any of them was placed.
        """
        urgent = step.job.rule.priority == 0
        missing = tasks
        started = []
        if placed:
            missing = [task for task in tasks if not task.runs]
            started = [
                task.runs[-1].worker.report.id for task in tasks if task.runs
            ]
            plan = self.plans.get(step)
            if plan is not None:
                plan.use(started, len(missing))
                if not plan.held:
                    self.close_plan(plan)
        if urgent:
            self.headroom.withhold(started)
        elif not placed:
            self.headroom.record_full(step.job.rule.pool, self.passed_ms)
        for opened in self.opened:
            self.adjust_views(opened, 1)
        self.opened = []
        if missing and step not in self.plans:
            self.unplaced.append((step, missing))

    def abandon_step(self, step):
        """Withholds again what was offered to a step that was not served.

        What of it the step had used is not known, so that plans are dropped.

        Args:
            step: Step of which an error has ended the placement.
        """
        for plan in self.opened:
            self.plans.pop(plan.step, None)
        self.opened = []
        if step.job.rule.priority == 0:
            self.headroom.held = {}

    def close_plan(self, plan):
        """Ends a plan whose step has started."""
        del self.plans[plan.step]
        if plan.stops:
            slack_ms = self.slack_ms(plan.step, self.passed_ms)
            outcome = "helped" if slack_ms >= 0 else "late"
            self.metrics.count(
                f"preemption_steps_{outcome}", reason=plan.reason
            )

    def gangs_to_reserve(self, gangs):
        """Returns the gangs for which workers are to be reserved.

        Those with a plan are left out. So are those that can no longer meet
        their objective, as long as steps wait that can.

        Args:
            gangs: Steps of gangs that could not be placed.
        """
        now_ms = self.passed_ms
        gangs = [step for step in gangs if step not in self.plans]
        in_time = (
            step
            for step, _ in self.unplaced
            if self.slack_ms(step, now_ms) >= 0
        )
        if not gangs or next(in_time, None) is None:
            return gangs
        considered = gangs[: reservations.MAX_RESERVATIONS]
        return [x for x in considered if self.slack_ms(x, now_ms) >= 0]

    def slack_ms(self, step, now_ms):
        """Returns by how long the start of a step may be delayed, in ms."""
        task_ms = self.estimates.step_task_duration_ms(step)
        return self.waiting_step(step, task_ms).slack_ms(now_ms)

    def plan(self, now_ms):
        """Decides for which of the unplaced steps run attempts are stopped.

        Args:
            now_ms: Monotonic time in milliseconds.
        """
        if not self.unplaced or now_ms - self.planned_ms < PLAN_PERIOD_MS:
            return
        self.planned_ms = now_ms
        self.reader.begin_round(now_ms)
        left = {URGENT: MAX_URGENT, GANG: MAX_GANGS}
        for step, tasks in self.unplaced:
            reason = URGENT if step.job.rule.priority == 0 else GANG
            if reason == GANG and not step.spec.gang:
                continue
            if left[reason] and self.may_be_helped(step, tasks, now_ms):
                left[reason] -= 1
                self.plan_step(step, tasks, reason, now_ms)
            if not any(left.values()):
                return

    def may_be_helped(self, step, tasks, now_ms):
        """Whether stops may be needed for a step, and be of use to it."""
        if step.spec.lasting or step.spec.fills:
            return False
        if self.plan_counts.get(step, 0) >= MAX_PLANS:
            return False
        if any(task.unit.crashes is not None for task in tasks):
            return False
        slack_ms = self.slack_ms(step, now_ms)
        if slack_ms < self.tracker.stop_ms:
            return False
        if step.job.rule.priority == 0:
            return True
        if self.reservations.reserved_at_ms <= step.ready_ms:
            # It is not known yet when the gang would fit.
            return False
        fits_ms = min(
            (
                until
                for until, gang in self.reservations.reserved.values()
                if gang is step
            ),
            default=math.inf,
        )
        wait_ms = (fits_ms - now_ms) * GANG_WAIT_FACTOR
        return wait_ms + self.tracker.stop_ms > slack_ms

    def plan_step(self, step, tasks, reason, now_ms):
        """Makes a plan for one step, if that helps it."""
        costs = preemption_victims.Costs(
            stop_ms=self.tracker.stop_ms,
            wait_ms=self.tracker.expected_wait_ms(now_ms),
            restore_ms=self.settings.restore_ms,
            checkpoint_ms=self.settings.checkpoint_ms,
        )
        need = preemption.Need(
            demand=self.make_demand(
                step, len(tasks), self.allowed(step, now_ms)
            ),
            priority=step.job.rule.priority,
            slack_ms=self.slack_ms(step, now_ms),
        )
        pool_name = step.job.rule.pool
        if reason == URGENT:
            self.headroom.offer()
        options = self.reader.options(
            need,
            self.pools.get(pool_name, {}),
            self.avoided(step),
            costs,
        )
        budget_milli = self.tracker.budget_milli(reason, pool_name, now_ms)
        shares = preemption.choose(need, options, costs, budget_milli)
        if reason == URGENT:
            self.headroom.withhold(share.worker for share in shares or ())
        if shares is None:
            return
        held = collections.Counter(share.worker for share in shares)
        victims = [v for share in shares for v in share.victims]
        in_ms = max(share.in_ms for share in shares)
        plan = preemption_plans.Plan(
            step=step,
            reason=reason,
            held=dict(held),
            stops=[victim.run for victim in victims],
            until_ms=now_ms + in_ms * HOLD_FACTOR + HOLD_MARGIN_MS[reason],
        )
        self.plans[step] = plan
        self.adjust_views(plan, 1)
        if victims:
            self.plan_counts[step] = self.plan_counts.get(step, 0) + 1
            for victim in victims:
                self.tracker.add(victim.run, reason, now_ms)
                self.reader.forget(victim.run.worker)
            preemption_plans.log_plan(plan, need, victims, in_ms)
            self.spawn(self.send_stops(plan))

    def allowed(self, step, now_ms):
        """Returns the workers whose tickets outlast a stop, None for all."""
        if step.job.rule.advice is None:
            return None
        least_ms = now_ms + self.settings.stop_ms
        return {
            name
            for name, (_, until_ms) in step.tickets.items()
            if until_ms > least_ms
        }

    def avoided(self, step):
        """Returns workers on which no capacity is freed for a step."""
        avoided = set(step.avoided_workers)
        if step.job.rule.priority > 0:
            for name, (_, gang) in self.reservations.reserved.items():
                if gang is not step:
                    avoided.add(name)
        return avoided

    async def send_stops(self, plan):
        """Sends the stops of a plan, unless the process has stalled."""
        if not self.commands_allowed():
            self.drop(plan)
            return
        for run in plan.stops:
            worker = run.worker
            if worker.runs.get(run.key) is run and not run.stop_requested:
                self.metrics.count("preemption_stops", reason=plan.reason)
                self.stop_run(run)

    def drop(self, plan):
        """Forgets a plan whose stops were not sent."""
        if self.plans.get(plan.step) is plan:
            del self.plans[plan.step]
        for run in plan.stops:
            self.tracker.withdraw(run)
