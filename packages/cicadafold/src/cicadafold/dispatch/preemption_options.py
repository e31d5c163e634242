"""Describes waiting steps and busy workers to the choice of preemptions."""

from cicadafold.dispatch import runs
from cicadafold.scheduling import estimates
from cicadafold.scheduling import preemption
from cicadafold.scheduling import preemption_victims
from cicadafold.scheduling import ranking
from cicadafold.scheduling import speeds

__all__ = ["OptionReader", "waiting_step"]

# Assumed number of workers in the advice call that a second start needs.
ADVISED_WORKERS = 24
# Time for which what is known of a step is used.
FACTS_MS = 500.0
# The run attempts of a worker are read again after this time, or when its used
# resources have changed.
KNOWN_MS = 80.0
# Workers that are examined for a step: this many times those that it would
# fill, within these limits. They bound the time of a decision.
EXAMINED_FACTOR = 2
MIN_EXAMINED = 16
MAX_EXAMINED = 30


class StepFacts:
    """What is the same for all run attempts of a step.

    Attributes:
        expected_ms: Expected duration of a task in milliseconds.
        lasting: Whether its tasks do not end by themselves.
        preemptible: Whether its run attempts may be stopped at all.
        priority: Priority of its queue.
        due_ms: Monotonic time in milliseconds at which its tasks have to end
            if the job is to meet its objective.
        objective_ms: Latency objective of its job in milliseconds.
        checkpoints: Whether its tasks save checkpoints.
        restart_ms: Duration of the advice call of a second start, in
            milliseconds.
    """

    __slots__ = (
        "checkpoints",
        "due_ms",
        "expected_ms",
        "lasting",
        "objective_ms",
        "preemptible",
        "priority",
        "restart_ms",
    )

    def __init__(self, step, duration_estimates):
        job = step.job
        rule = job.rule
        spec = step.spec
        self.expected_ms = duration_estimates.step_task_duration_ms(step)
        self.lasting = spec.lasting or spec.fills
        self.priority = rule.priority
        self.preemptible = (
            not self.lasting
            and not spec.gang
            and rule.priority > 0
            and job.active
        )
        later = len(job.spec.steps) - step.number - 1
        self.objective_ms = job.objective_ms
        self.due_ms = (
            job.due_ms(step.occurrence)
            + job.objective_ms
            - later * self.expected_ms
        )
        self.checkpoints = spec.checkpoints
        self.restart_ms = 0.0
        if rule.advice is not None:
            per_call_ms = rule.advice.per_host_ms * ADVISED_WORKERS
            self.restart_ms = rule.advice.base_ms + per_call_ms


class OptionReader:
    """Reads the workers in rounds of decisions.

    Args:
        workers: Workers by name.
        duration_estimates: Duration estimates.
        stop_overdue: Function of a run attempt and the time that returns
            whether its stop should be done; its end is not expected then.

    Attributes:
        now_ms: Monotonic time of the round in milliseconds.
        facts: ``StepFacts`` by step.
        known: Used resources of a worker, time at which its run attempts
            were read, and their ends and victims, by name of the worker and
            priority of the step.
        ordered: Views of a pool that were sorted in this round.
    """

    def __init__(self, *, workers, duration_estimates, stop_overdue):
        self.stop_overdue = stop_overdue
        self.workers = workers
        self.duration_estimates = duration_estimates
        self.now_ms = 0.0
        self.facts = {}
        self.facts_ms = 0.0
        self.known = {}
        self.ordered = {}

    def begin_round(self, now_ms):
        """Begins a round; what is known of steps expires."""
        self.now_ms = now_ms
        self.ordered = {}
        if now_ms - self.facts_ms > FACTS_MS:
            self.facts_ms = now_ms
            self.facts = {}
            self.known = {}

    def options(self, need, pool, avoided, costs):
        """Returns the ``WorkerOption`` of workers that a step may use.

        Args:
            need: ``Need`` of the step.
            pool: Views of the usable workers by name, without capacity that
                is held for steps.
            avoided: Names of workers that the step must not use.
            costs: ``Costs``.
        """
        demand = need.demand
        examined = None
        found = []
        for view in self.most_free_first(need, pool):
            name = view.id
            if name in avoided or not (
                demand.allowed is None or name in demand.allowed
            ):
                continue
            worker = self.workers[name]
            if worker.speed < speeds.VERY_SLOW_SPEED:
                continue
            if not demand.need.fits(worker.report.capacity):
                continue
            if examined is None:
                examined = examined_workers(demand, worker.report.capacity)
            found.append(self.option(worker, view, need, costs))
            if len(found) == examined:
                break
        return found

    def most_free_first(self, need, pool):
        """Returns the views of a pool in the order of their free cores.

        They are sorted once a round for urgent steps, which are offered
        headroom, and once for others.
        """
        key = (id(pool), need.urgent)
        ordered = self.ordered.get(key)
        if ordered is None:
            ordered = sorted(pool.values(), key=free_cores, reverse=True)
            self.ordered[key] = ordered
        return ordered

    def option(self, worker, view, need, costs):
        """Returns the ``WorkerOption`` of one worker."""
        key = (worker.report.id, need.priority)
        known = self.known.get(key)
        if (
            known is None
            or known[0] != worker.used
            or self.now_ms - known[1] > KNOWN_MS
        ):
            read = self.read_runs(worker, need, costs)
            known = (list(worker.used), self.now_ms, read)
            self.known[key] = known
        return preemption.WorkerOption(view, *known[2])

    def forget(self, worker):
        """Forgets a worker, of which run attempts are to be stopped."""
        for key in list(self.known):
            if key[0] == worker.report.id:
                del self.known[key]

    def read_runs(self, worker, need, costs):
        """Returns the ends and the victims on a worker."""
        ends, victims = [], []
        now_ms = self.now_ms
        facts_by_step = self.facts
        nearly_done_ms = costs.nearly_done_ms
        for run in worker.runs.values():
            task = run.task
            if task is None:
                continue
            facts = facts_by_step.get(task.step) or self.facts_of(task.step)
            if facts.lasting:
                continue
            left_ms = self.left_ms(run, facts)
            if run.stop_requested:
                if self.stop_overdue(run, now_ms):
                    continue
                ends.append((min(left_ms, costs.stop_ms), run.room))
                continue
            ends.append((left_ms, run.room))
            if (
                left_ms <= nearly_done_ms
                or not facts.preemptible
                or not may_be_stopped(run)
            ):
                continue
            running = preemption_victims.RunningTask(
                run,
                run.room,
                facts.priority,
                facts.checkpoints,
                now_ms - run.started_ms,
                left_ms,
                facts.due_ms - now_ms - left_ms,
                facts.objective_ms,
                facts.restart_ms,
            )
            victim = preemption_victims.victim_of(running, need, costs)
            if victim is not None:
                victims.append(victim)
        victims.sort(key=preemption_victims.by_loss)
        return ends, victims

    def facts_of(self, step):
        """Returns the ``StepFacts`` of a step, newly computed now and then."""
        facts = self.facts.get(step)
        if facts is None:
            facts = self.facts[step] = StepFacts(step, self.duration_estimates)
        return facts

    def left_ms(self, run, facts):
        """Returns the expected remaining time of a run attempt, in ms.

        The progress of a task that was resumed from a checkpoint does not
        show the speed of this run attempt.
        """
        task = run.task
        if task.saved_percent and task.preempted:
            share = preemption_victims.remaining_share(run.percent)
            return facts.expected_ms * share
        ran_ms = self.now_ms - run.started_ms
        return estimates.remaining_ms(facts.expected_ms, ran_ms, run.percent)


def examined_workers(demand, capacity):
    """Returns how many workers are examined for a step.

    Args:
        demand: Demand of the step.
        capacity: Resources of one of the workers.
    """
    size = max(1, demand.need.cores_milli)
    per_worker = max(1, capacity.cores_milli // size)
    wanted = EXAMINED_FACTOR * -(-demand.tasks // per_worker)
    return min(MAX_EXAMINED, max(MIN_EXAMINED, wanted))


def free_cores(view):
    """Returns the free cores of a worker in thousandths."""
    return view.cores_milli


def may_be_stopped(run):
    """Whether a run attempt is in a state in which it may be preempted.

    A task is preempted at most once in a term. One that was lost with a
    worker is left alone, as its run is evidence of what crashed the worker.
    """
    task = run.task
    return (
        not task.preempted
        and run.state is runs.RunState.RUNNING
        and not run.stop_requested
        and not task.done
        and task.crashes is None
        and len(task.runs) == 1
    )


def waiting_step(step, task_ms):
    """Returns the ``WaitingStep`` of a step, which honours checkpoints.

    The step of a task that was stopped is not treated as late because of
    work that its checkpoint has saved.

    Args:
        step: Step.
        task_ms: Expected duration of one of its tasks in milliseconds.
    """
    job = step.job
    share = 1.0
    if step.spec.checkpoints and any(task.preempted for task in step.tasks):
        share = max(
            (
                preemption_victims.remaining_share(task.saved_percent)
                for task in step.tasks
                if task.needs_start
            ),
            default=1.0,
        )
    later = len(job.spec.steps) - step.number - 1
    return ranking.WaitingStep(
        priority=job.rule.priority,
        arrived_ms=job.due_ms(step.occurrence),
        objective_ms=job.objective_ms,
        remaining_ms=task_ms * (share + later),
    )
