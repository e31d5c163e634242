"""Waits of steps for the rack of their data, and of gangs for one rack."""

import math

from cicadafold import clock
from cicadafold.dispatch import rack_outlook
from cicadafold.scheduling import locality
from cicadafold.scheduling import ranking
from cicadafold.telemetry import logs

__all__ = ["LocalityWaits", "enable"]

# A wait is measured anew if the step was not considered for longer than this:
# the process was suspended, or the step was held back for another reason. It
# is the time from which a process counts as stalled.
MAX_GAP_MS = 400.0
# Time between two decisions about the same waiting step while nothing near
# has become free.
RECHECK_MS = 50.0
# The same for gangs, which consider several racks.
GANG_RECHECK_MS = 120.0
# Most log lines about waits in a second.
MAX_LINES = 10
MS_PER_S = 1000.0

LOG = logs.get_logger("locality")
Choice = locality.Choice
Reason = locality.Reason


class Wait:
    """Wait of a step for a rack. Times are monotonic, in milliseconds.

    Attributes:
        rack: Rack that the step waits for.
        held_ms: How long its tasks have been held back although they could
            have started elsewhere.
        seen_ms: Time at which the step was last considered.
        decided_ms: Time of the last decision.
        decision: Last ``Decision``.
        expected_ms: Time at which the last task was expected to start near
            when the wait began.
        begun: Whether tasks are being held back, so that the wait has been
            counted.
        far_tasks: Number of tasks that fitted elsewhere at the last
            decision.
        remeasured: Whether an earlier wait may have been forgotten.
        takes_wanted: Whether the step also takes capacity elsewhere for
            which other steps wait.
    """

    __slots__ = (
        "begun",
        "decided_ms",
        "decision",
        "expected_ms",
        "far_tasks",
        "held_ms",
        "rack",
        "remeasured",
        "seen_ms",
        "takes_wanted",
    )

    def __init__(self, now_ms, *, remeasured=False):
        self.remeasured = remeasured
        self.rack = ""
        self.held_ms = 0.0
        self.seen_ms = now_ms
        self.decided_ms = -GANG_RECHECK_MS
        self.decision = None
        self.expected_ms = now_ms
        self.begun = False
        self.far_tasks = 0
        self.takes_wanted = False


class LocalityWaits:
    """Holds tasks back while it pays to wait for a rack.

    The state is in memory only: a new term measures the waits anew.

    Args:
        workers: Workers by name.
        estimates: Duration estimates.
        expected_ends: Function of a worker and the time in milliseconds that
            returns pairs of remaining milliseconds and resources.
        far_factor: Factor on the duration of a task elsewhere.
        metrics: Metrics in which the waits are counted.

    Attributes:
        waits: ``Wait`` by step.
        outlook: ``RackOutlook`` with the expected capacity.
        decide: Decision function; see ``locality.decide``.
    """

    def __init__(
        self, *, workers, estimates, expected_ends, far_factor, metrics
    ):
        self.estimates = estimates
        self.outlook = rack_outlook.RackOutlook(
            workers=workers, estimates=estimates, expected_ends=expected_ends
        )
        self.far_factor = far_factor
        self.metrics = metrics
        self.waits = {}
        self.decide = locality.decide
        self.lines = 0
        self.lines_since_ms = 0.0

    def begin_pass(self, now_ms):
        """Forgets the waits of ended jobs and of steps not looked at."""
        self.outlook.begin_pass()
        for step, wait in list(self.waits.items()):
            if not step.job.active or step.done:
                self.end(step, wait, "dropped", now_ms)
                del self.waits[step]
            elif now_ms - wait.seen_ms > MAX_GAP_MS:
                self.end(step, wait, "interrupted", now_ms)
                self.waits[step] = Wait(now_ms, remeasured=True)

    def startable(self, step, demand, pool, now_ms):
        """Returns how many tasks of a step to place now, and where.

        Placement prefers the rack of the data, so that this number includes
        all tasks that fit there. A step that neither names a rack nor asks
        for one rack does not wait.

        Args:
            step: Step.
            demand: ``Demand`` of its waiting tasks.
            pool: Views by name of the workers that it may use.
            now_ms: Monotonic time in milliseconds.

        Returns:
            Number of tasks, and views of the workers that they may use. A
            gang is started whole or not at all.
        """
        if not applies(step.spec):
            return demand.tasks, pool
        wait = self.wait_of(step, now_ms)
        if step.spec.gang:
            decision = self.gang_decision(step, wait, demand, pool, now_ms)
        else:
            decision = self.tasks_decision(step, wait, demand, pool, now_ms)
        wait.decision = decision
        if decision.choice is Choice.WAIT:
            self.waits[step] = wait
            self.outlook.claim(step, demand, wait.rack, decision)
            if decision.reason is not Reason.NO_CAPACITY:
                self.begin(step, wait, now_ms)
        else:
            near = decision.choice is Choice.NEAR
            self.end(step, wait, "near" if near else "far", now_ms)
        count = decision.near + decision.far
        if step.spec.gang:
            return demand.tasks * count, pool
        if decision.far and not wait.takes_wanted:
            pool = self.unwanted(step, pool)
        return count, pool

    def unwanted(self, step, pool):
        """Returns the workers of a pool that are left to a step."""
        return {
            name: view
            for name, view in pool.items()
            if view.rack == step.spec.data_rack
            or not self.outlook.is_wanted(step, view.rack)
        }

    def wait_of(self, step, now_ms):
        """Returns the wait of a step, with its length, or a new one.

        It is kept until all tasks are started, so that its length bounds
        further waits.
        """
        wait = self.waits.get(step)
        if wait is None:
            return Wait(now_ms, remeasured=step.job.inherited)
        if wait.begun and wait.decision.reason is not Reason.NO_CAPACITY:
            wait.held_ms += now_ms - wait.seen_ms
        wait.seen_ms = now_ms
        return wait

    def tasks_decision(self, step, wait, demand, pool, now_ms):
        """Returns the decision for tasks that start independently."""
        rack = wait.rack = step.spec.data_rack
        near, elsewhere, wanted = [], [], []
        for view in pool.values():
            # Placement uses workers to avoid last, wherever they are.
            if view.rack == rack and view.id not in demand.avoid:
                near.append(view)
            elif view.rack != rack and self.outlook.is_wanted(step, view.rack):
                wanted.append(view)
            else:
                elsewhere.append(view)
        near_tasks = rack_outlook.count_tasks(near, demand)
        far_tasks = wanted_tasks = 0
        if near_tasks < demand.tasks:
            far_tasks = rack_outlook.count_tasks(elsewhere, demand)
            wanted_tasks = rack_outlook.count_tasks(wanted, demand)
        known = wait.decision
        if (
            known is not None
            and not near_tasks
            and known.near + known.far == 0
            and known.held == demand.tasks
            and far_tasks == wait.far_tasks
            and now_ms - wait.decided_ms < RECHECK_MS
        ):
            return known
        wait.decided_ms = now_ms
        wait.far_tasks = far_tasks
        task_ms = self.estimates.step_task_duration_ms(step)
        if near_tasks >= demand.tasks or not far_tasks + wanted_tasks:
            # There is no choice, and no need to look at expected ends.
            starts_ms = (0.0,) * near_tasks
        else:
            starts_ms = locality.rack_starts_ms(
                demand,
                self.outlook.futures(near, now_ms),
                task_ms,
                self.outlook.claims.get((step.job.rule.pool, rack), ()),
            )
        outlook = locality.Outlook(
            starts_ms=starts_ms,
            far_tasks=far_tasks,
            wanted_tasks=wanted_tasks,
            load=self.outlook.load(step.job.rule.pool, now_ms),
        )
        situation = self.situation(step, demand.tasks, task_ms, wait, now_ms)
        wait.takes_wanted = locality.ignores_others(situation)
        return self.decide(situation, outlook)

    def gang_decision(self, step, wait, demand, pool, now_ms):
        """Returns the decision for a gang, which counts as one task."""
        spec = step.spec
        racks = {}
        for view in pool.values():
            if spec.data_rack and (
                view.rack != spec.data_rack or view.id in demand.avoid
            ):
                continue
            racks.setdefault(view.rack, []).append(view)
        fits = any(
            rack_outlook.count_tasks(views, demand) >= demand.tasks
            for views in racks.values()
        )
        far_tasks = int(
            rack_outlook.count_tasks(pool.values(), demand) >= demand.tasks
        )
        known = wait.decision
        if (
            known is not None
            and known.choice is Choice.WAIT
            and not fits
            and far_tasks == wait.far_tasks
            and now_ms - wait.decided_ms < GANG_RECHECK_MS
        ):
            return known
        wait.decided_ms = now_ms
        wait.far_tasks = far_tasks
        task_ms = self.estimates.step_task_duration_ms(step)
        starts_ms, across_ms = (0.0,), 0.0
        if not fits:
            wait.rack, starts_ms, across_ms = self.outlook.gang_starts(
                demand, racks, wait.rack, task_ms, now_ms
            )
        outlook = locality.Outlook(
            starts_ms=starts_ms,
            far_tasks=far_tasks,
            far_in_ms=0.0 if far_tasks else across_ms,
            load=self.outlook.load(step.job.rule.pool, now_ms),
        )
        situation = self.situation(step, 1, task_ms, wait, now_ms)
        decision = self.decide(situation, outlook)
        if not decision.held:
            # Workers of any rack are reserved for it.
            wait.rack = ""
        return decision

    def situation(self, step, tasks, task_ms, wait, now_ms):
        """Returns the ``Situation`` of a step."""
        job = step.job
        waiting = ranking.WaitingStep(
            priority=job.rule.priority,
            arrived_ms=job.due_ms(step.occurrence),
            objective_ms=job.objective_ms,
            remaining_ms=task_ms * (len(job.spec.steps) - step.number),
        )
        return locality.Situation(
            tasks=tasks,
            task_ms=task_ms,
            far_factor=self.far_factor,
            slack_ms=waiting.slack_ms(now_ms),
            urgent=job.rule.priority == 0,
            held_ms=wait.held_ms,
            remeasured=wait.remeasured,
        )

    def gang_rack(self, step):
        """Returns the rack in which to reserve for a gang, None for any."""
        wait = self.waits.get(step)
        return None if wait is None else wait.rack or None

    def begin(self, step, wait, now_ms):
        """Counts and logs a wait when the first tasks are held back."""
        if wait.begun:
            return
        wait.begun = True
        decision = wait.decision
        wait.expected_ms = now_ms + decision.wait_ms
        self.metrics.count("locality_waits", event="begun")
        self.log(
            "A step waits for a rack.",
            step,
            wait,
            now_ms,
            {
                "reason": decision.reason.value,
                "held": decision.held,
                "near": decision.near,
                "far": decision.far,
                "expected_ms": round(decision.wait_ms),
                "near_ms": rounded(decision.near_ms),
                "far_ms": round(decision.far_ms),
            },
        )

    def end(self, step, wait, event, now_ms):
        """Counts and logs the end of a wait if tasks were held back.

        Args:
            step: Step.
            wait: Its wait.
            event: ``near``, ``far``, ``dropped`` or ``interrupted``.
            now_ms: Monotonic time in milliseconds.
        """
        if not wait.begun:
            return
        wait.begun = False
        self.metrics.count("locality_waits", event=event)
        self.metrics.record_us("locality_wait", wait.held_ms * clock.US_PER_MS)
        self.log(
            "The wait of a step for a rack has ended: %s.",
            step,
            wait,
            now_ms,
            {
                "reason": wait.decision.reason.value,
                "held_ms": round(wait.held_ms),
                "late_ms": round(now_ms - wait.expected_ms),
            },
            event,
        )

    def log(self, message, step, wait, now_ms, fields, *arguments):
        """Logs a line about a wait, at most ``MAX_LINES`` in a second."""
        if now_ms - self.lines_since_ms >= MS_PER_S:
            self.lines_since_ms = now_ms
            self.lines = 0
        self.lines += 1
        if self.lines <= MAX_LINES:
            LOG.info(
                message,
                *arguments,
                fields=step.log_fields | {"rack": wait.rack} | fields,
            )


def rounded(value_ms):
    """Returns a time for a log line, None for one that never comes."""
    return round(value_ms) if math.isfinite(value_ms) else None


def applies(spec):
    """Whether the tasks of a step take longer in the wrong rack."""
    return bool(spec.data_rack) or (spec.gang and spec.one_rack)


def enable(placer, far_factor):
    """Lets a placer's steps wait for a rack, if that can be of use.

    Args:
        placer: ``Placer`` of the term.
        far_factor: Factor on the duration of a task elsewhere. With 1
            nothing changes.
    """
    if far_factor <= 1.0:
        return
    placer.estimates.far_factor = far_factor
    placer.locality = LocalityWaits(
        workers=placer.workers,
        estimates=placer.estimates,
        expected_ends=placer.reservations.expected_ends,
        far_factor=far_factor,
        metrics=placer.metrics,
    )
    placer.reservations.rack_of = placer.locality.gang_rack
