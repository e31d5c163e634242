"""What teams may use on workers that have not answered a new term yet.

A new term learns what a worker runs from its first answer. Until then, or
until the leases of earlier terms have lapsed, each task that an earlier term
may have started there counts against the cap of its team.
"""

from cicadafold import clock
from cicadafold.jobs import model
from cicadafold.scheduling import team_caps

__all__ = ["PossibleUsage"]

# Time between two scans of all inherited tasks. In between the result can only
# be too large; jobs that are added are counted at once. A scan takes several
# milliseconds for 1000 jobs, so it may be made in few passes only.
SCAN_PERIOD_MS = 2000.0
# They are also scanned when the number of workers without an answer has fallen
# by this factor: most answer within 0.2 s.
SCAN_FACTOR = 4
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
        recorded: Names of tasks that the last term recorded for workers.
        tasks: Amounts that the other inherited tasks need which are not
            accounted for, by name of the team and of the pool.
        counted_jobs: Number of inherited jobs that ``tasks`` includes.
        scanned_ms: Monotonic time of the last scan in milliseconds, or None.
        scanned_unknown: Number of workers without an answer at that time.
        scanned_capacities: Capacity of these workers by pool.
        state: What the amounts were computed from.
        computed_ms: Monotonic time of the last computation in milliseconds.
    """

    def __init__(self, *, workers, inherited_runs, job_table):
        self.workers = workers
        self.inherited_runs = inherited_runs
        self.job_table = job_table
        self.by_team = {}
        self.of_unknown = NONE
        self.recorded = set()
        self.tasks = {}
        self.counted_jobs = 0
        self.scanned_ms = None
        self.scanned_unknown = 0
        self.scanned_capacities = {}
        self.state = None
        self.computed_ms = 0.0

    def refresh(self, now_ms):
        """Computes the amounts if they may have changed.

        Args:
            now_ms: Monotonic time in milliseconds.
        """
        if now_ms >= self.inherited_runs.leases_lapsed_ms:
            self.by_team, self.of_unknown = {}, NONE
            return
        inherited = self.inherited_runs
        unknown = sum(1 for _ in inherited.unknown_workers(now_ms))
        state = (
            unknown,
            len(self.workers),
            len(inherited.possible_names),
            len(inherited.known_pools),
            inherited.workers_may_be_missing(now_ms),
            len(self.job_table.inherited),
        )
        if state == self.state and now_ms - self.computed_ms < SCAN_PERIOD_MS:
            return
        self.state, self.computed_ms = state, now_ms
        capacities = self.unknown_capacities(now_ms)
        self.by_team, self.of_unknown = {}, NONE
        self.add_recorded()
        if capacities or inherited.possible_names:
            self.add_left()
        if capacities:
            if self.scan_is_due(capacities, unknown, now_ms):
                self.tasks, self.counted_jobs = {}, 0
                self.scanned_ms, self.scanned_unknown = now_ms, unknown
                self.scanned_capacities = capacities
            self.count_tasks(now_ms)
            for (team, pool), found in self.tasks.items():
                limit = capacities.get(pool, NONE)
                self.add(team, tuple(map(min, found, limit)))

    def scan_is_due(self, capacities, unknown, now_ms):
        """Whether all inherited tasks are to be counted again.

        Args:
            capacities: Capacity of the unknown workers by pool.
            unknown: Number of workers that have not answered.
            now_ms: Monotonic time in milliseconds.
        """
        return (
            self.scanned_ms is None
            or now_ms - self.scanned_ms >= SCAN_PERIOD_MS
            or unknown * SCAN_FACTOR <= self.scanned_unknown
            or not all(
                covers(self.scanned_capacities.get(pool, NONE), capacity)
                for pool, capacity in capacities.items()
            )
        )

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
                # A gang is done with its first member; others may still run.
                gang = job.spec.steps[name.step].gang
                if job.state is State.COMPLETED and not gang:
                    continue
                task = job.find_task(name)
                if task is not None and (
                    task.runs or (task.done and not gang)
                ):
                    continue
                if job.spec.team is not None:
                    need = job.spec.steps[name.step].need
                    self.add(job.spec.team.name, team_caps.amounts(need))
            known = self.workers.get(worker)
            if unread and known is not None:
                capacity = team_caps.amounts(known.report.capacity)
                self.of_unknown = plus(self.of_unknown, capacity)

    def add_left(self):
        """Adds run attempts that were being stopped when their job ended.

        It is not known on which workers, so they count while any worker has
        not answered.
        """
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
        for worker in inherited.unknown_workers(now_ms):
            pool = worker.report.pool
            if pool not in known:
                capacities[pool] = plus(
                    capacities.get(pool, NONE),
                    team_caps.amounts(worker.report.capacity),
                )
        if inherited.workers_may_be_missing(now_ms):
            for job in self.job_table.inherited:
                for pool in pools_of(job) - known:
                    capacities[pool] = UNBOUNDED
        return capacities

    def count_tasks(self, now_ms):
        """Counts the inherited tasks that may run on any unknown worker.

        Only jobs that were added since the last call are counted, and only up
        to the capacity at the last scan.

        Args:
            now_ms: Monotonic time in milliseconds.
        """
        jobs = self.job_table.inherited
        for job in jobs[self.counted_jobs :]:
            if job.spec.team is None:
                continue
            for pool in pools_of(job):
                key = job.spec.team.name, pool
                found = self.tasks.get(key, NONE)
                if not covers(found, self.scanned_capacities.get(pool, NONE)):
                    need = need_of_unaccounted(job, self.recorded, now_ms)
                    self.tasks[key] = plus(found, need)
        self.counted_jobs = len(jobs)


def pools_of(job):
    """Returns the names of the pools that may run a job.

    Its queue may have moved to another pool since it was accepted.
    """
    return {job.rule.pool, job.spec.rule.pool}


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
        left = job.left
        return NONE if left is None else team_caps.amounts(left.charge)
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
            (step.spec.need, count_unaccounted(step, recorded))
            for steps in job.steps.values()
            for step in steps
            if not step.done
        ]
    total = NONE
    for need, count in counts:
        each = team_caps.amounts(need)
        total = plus(total, tuple(amount * count for amount in each))
    return total


def count_unaccounted(step, recorded):
    """Returns how many tasks of a step may run on unknown workers."""
    found = [task for task in step.tasks if not task.done and not task.runs]
    if recorded:
        found = [task for task in found if task.name not in recorded]
    return len(found)


def plus(one, other):
    """Returns the sum of two triples of amounts."""
    return one[0] + other[0], one[1] + other[1], one[2] + other[2]


def covers(found, capacity):
    """Whether amounts have reached a capacity in each resource."""
    return all(map(lambda amount, limit: amount >= limit, found, capacity))
