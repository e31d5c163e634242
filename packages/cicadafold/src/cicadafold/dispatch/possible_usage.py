"""What teams may use on workers that have not answered a new term yet.

A new term learns what a worker runs from its first answer. Until then, or
until the leases of earlier terms have lapsed, each task that an earlier term
may have started there counts against the cap of its team.
"""

from cicadafold import clock
from cicadafold.jobs import model
from cicadafold.scheduling import team_caps

__all__ = ["PossibleUsage"]

# Time between two computations. In between the result can only be too large:
# it is also computed when an inherited job or a worker is added, and when the
# last worker has answered.
PERIOD_MS = 50.0
# What was left of a job that ended longer ago has ended too: no lease is as
# long, and the times of day of two hosts differ by seconds at most.
MAX_LEFT_MS = 60_000.0
NONE = (0, 0, 0)
UNBOUNDED = (float("inf"),) * 3

State = model.JobState


class PossibleUsage:
    """Upper bound of what each team uses on workers that are not known.

    Args:
        workers: Workers by name.
        inherited_runs: ``InheritedRuns`` of the term.
        job_table: Jobs of the term.

    Attributes:
        by_team: Amounts of each resource by name of the team.
        of_unknown: The same for run attempts whose team is not known; they
            count against every team.
    """

    def __init__(self, *, workers, inherited_runs, job_table):
        self.workers = workers
        self.inherited_runs = inherited_runs
        self.job_table = job_table
        self.by_team = {}
        self.of_unknown = NONE
        self.computed = None
        self.computed_ms = 0.0

    def refresh(self, now_ms):
        """Computes the amounts if they may have changed.

        Args:
            now_ms: Monotonic time in milliseconds.
        """
        if now_ms >= self.inherited_runs.leases_lapsed_ms:
            self.by_team, self.of_unknown = {}, NONE
            return
        state = (
            self.job_table.inherited_count,
            len(self.workers),
            any(self.inherited_runs.unknown_workers()),
        )
        if state == self.computed and now_ms - self.computed_ms < PERIOD_MS:
            return
        self.computed, self.computed_ms = state, now_ms
        self.by_team, self.of_unknown = {}, NONE
        recorded = self.add_recorded()
        self.add_left()
        capacities = self.unknown_capacities(now_ms)
        if capacities:
            self.add_unrecorded(capacities, recorded, now_ms)

    def add(self, team, found):
        """Adds amounts to a team."""
        self.by_team[team] = plus(self.by_team.get(team, NONE), found)

    def add_recorded(self):
        """Adds the tasks that the last term recorded for silent workers.

        Such a worker runs nothing else. A task whose job has not been read
        yet has no known team, so it counts with the capacity of its worker
        against every team.

        Returns:
            Names of the tasks.
        """
        recorded = set()
        for worker, names in self.inherited_runs.possible_names.items():
            unread = False
            for name in names:
                recorded.add(name)
                if name.job in self.job_table.ended:
                    # ``add_left`` counts what had not ended with the job.
                    continue
                job = self.job_table.jobs.get(name.job)
                if job is None or not 0 <= name.step < len(job.spec.steps):
                    unread = True
                    continue
                if job.state is State.COMPLETED:
                    continue
                task = job.find_task(name)
                if task is not None and (task.done or task.runs):
                    continue
                if job.spec.team is not None:
                    need = job.spec.steps[name.step].need
                    self.add(job.spec.team.name, team_caps.amounts(need))
            known = self.workers.get(worker)
            if unread and known is not None:
                capacity = team_caps.amounts(known.report.capacity)
                self.of_unknown = plus(self.of_unknown, capacity)
        return recorded

    def add_left(self):
        """Adds run attempts that were being stopped when their job ended.

        They are no longer bound to any worker that is known, so they count
        while any worker has not answered.
        """
        inherited = self.inherited_runs
        if not inherited.possible_names and not any(
            inherited.unknown_workers()
        ):
            return
        oldest_ms = clock.wall_ms() - MAX_LEFT_MS
        for left in self.job_table.left.values():
            if left.ended_ms >= oldest_ms:
                self.add(left.team, team_caps.amounts(left.charge))

    def unknown_capacities(self, now_ms):
        """Returns the capacity of workers that may run any inherited task.

        Returns:
            Amounts by name of the pool. They are unbounded while workers may
            be missing from the registry.
        """
        inherited = self.inherited_runs
        known = inherited.known_pools
        capacities = {}
        for worker in inherited.unknown_workers():
            pool = worker.report.pool
            if pool not in known:
                capacities[pool] = plus(
                    capacities.get(pool, NONE),
                    team_caps.amounts(worker.report.capacity),
                )
        if inherited.workers_may_be_missing(now_ms):
            for job in self.job_table.jobs.values():
                for rule in (job.rule, job.spec.rule):
                    if rule.pool not in known:
                        capacities[rule.pool] = UNBOUNDED
        return capacities

    def add_unrecorded(self, capacities, recorded, now_ms):
        """Adds the inherited tasks that may run on any unknown worker.

        Args:
            capacities: Capacity of the unknown workers by pool.
            recorded: Names of tasks that are counted already.
            now_ms: Monotonic time in milliseconds.
        """
        tasks = {}
        for job in self.job_table.jobs.values():
            if not job.inherited or job.spec.team is None:
                continue
            # The queue may have moved to another pool since the start.
            for pool in {job.rule.pool, job.spec.rule.pool}:
                capacity = capacities.get(pool)
                key = job.spec.team.name, pool
                found = tasks.get(key, NONE)
                if capacity is None or covers(found, capacity):
                    continue
                need = need_of_unaccounted(job, recorded, now_ms)
                tasks[key] = plus(found, need)
        for (team, pool), found in tasks.items():
            self.add(team, tuple(map(min, found, capacities[pool])))


def need_of_unaccounted(job, recorded, now_ms):
    """Returns what the tasks of a job need that may run on unknown workers.

    Steps count even if the steps that they depend on are not known to be
    done: an earlier term starts them before that is recorded.

    Args:
        job: Inherited job.
        recorded: Names of tasks that are counted already.
        now_ms: Monotonic time in milliseconds.
    """
    if job.state is State.COMPLETED:
        return NONE
    if job.state.final:
        # The record of its end does not tell which tasks are done; the run
        # attempts that were being stopped are bounded by all its tasks.
        open_count = job.spec.occurrences - len(job.finished)
        counts = [
            (step.need, step.tasks * open_count) for step in job.spec.steps
        ]
    else:
        job.ready_steps(now_ms)
        counts = [
            (
                step.spec.need,
                sum(
                    not task.done
                    and not task.runs
                    and task.name not in recorded
                    for task in step.tasks
                ),
            )
            for steps in job.steps.values()
            for step in steps
            if not step.done
        ]
    total = NONE
    for need, count in counts:
        each = team_caps.amounts(need)
        total = plus(total, tuple(amount * count for amount in each))
    return total


def plus(one, other):
    """Returns the sum of two triples of amounts."""
    return one[0] + other[0], one[1] + other[1], one[2] + other[2]


def covers(found, capacity):
    """Whether amounts have reached a capacity in each resource."""
    return all(map(lambda amount, limit: amount >= limit, found, capacity))
