"""Workers that are reserved for gangs which do not fit now."""

from cicadafold.scheduling import estimates
from cicadafold.scheduling import reservation
from cicadafold.telemetry import containment

__all__ = ["Reservations"]

# Most gangs for which workers are reserved at a time.
MAX_RESERVATIONS = 3
# No workers are reserved for a gang that would fit later than this.
MAX_RESERVATION_MS = 8000.0
# Time between two computations of the reservations.
RESERVE_PERIOD_MS = 120.0
# A task may use a worker reserved for a gang if this multiple of its expected
# duration ends before the gang is expected to start.
BACKFILL_FACTOR = 1.2

Part = containment.Part


class Reservations:
    """Reservations of workers, and when their run attempts end.

    Args:
        workers: Workers by name.
        estimates: Duration estimates.
        make_demand: Function that returns the ``Demand`` of a step.
        containment: ``Containment`` of errors about single gangs.

    Attributes:
        reserved: Reservations by name of the worker: the monotonic time in
            milliseconds when the gang is expected to start, and its step.
        reserved_at_ms: Monotonic time of the last renewal in milliseconds.
        yields: Function that returns whether a gang leaves its reserved
            workers to another step, because of their teams.

        rack_of: Function that returns the rack in which workers are to be
            reserved for a step, or None for any.
    """

    def __init__(self, *, workers, estimates, make_demand, containment):
        self.workers = workers
        self.containment = containment
        self.estimates = estimates
        self.make_demand = make_demand
        self.reserved = {}
        self.reserved_at_ms = -RESERVE_PERIOD_MS
        self.yields = lambda gang, step: False

        self.rack_of = lambda step: None

    def renew(self, gangs, pools, now_ms):
        """Reserves workers for the first gangs that did not fit.

        Args:
            gangs: Steps of gangs in order of their rank.
            pools: Views of the usable workers by pool and name.
            now_ms: Monotonic time in milliseconds.
        """
        if now_ms - self.reserved_at_ms < RESERVE_PERIOD_MS:
            return
        self.reserved_at_ms = now_ms
        self.reserved = {}
        paused = self.containment.paused(Part.RESERVING)
        gangs = [step for step in gangs if step.job.spec.id not in paused]
        for step in gangs[:MAX_RESERVATIONS]:
            with self.containment.contain(
                Part.RESERVING, step.job.spec.id, **step.log_fields
            ):
                self.reserve(step, pools, now_ms)

    def reserve(self, step, pools, now_ms):
        """Reserves workers for a gang, if it fits soon.

        Args:
            step: Step of the gang.
            pools: Views of the usable workers by pool and name.
            now_ms: Monotonic time in milliseconds.
        """
        # A pool has no views while all its workers are closed to others.
        pool = pools.get(step.job.rule.pool, {})
        rack = self.rack_of(step)
        futures = [
            reservation.FutureCapacity(
                view, self.expected_ends(self.workers[name], now_ms)
            )
            for name, view in pool.items()
            if name not in self.reserved
            and rack in (None, view.rack)
            and (
                step.allowed_by_worker is None
                or step.allowed_by_worker.get(name)
            )
        ]
        found = reservation.reserve(self.make_demand(step), futures)
        if found is None or found.fits_in_ms > MAX_RESERVATION_MS:
            return
        for name in found.hosts:
            self.reserved[name] = (now_ms + found.fits_in_ms, step)

    def expected_ends(self, worker, now_ms):
        """Returns when the run attempts on a worker are expected to end.

        Returns:
            Pairs of expected remaining milliseconds and released resources,
            without run attempts of unknown jobs and of lasting tasks.
        """
        ends = []
        for run in worker.runs.values():
            task = run.task
            if task is None or task.step.spec.lasting:
                continue
            expected_ms = self.estimates.run_duration_ms(run)
            ran_ms = now_ms - run.started_ms
            left_ms = estimates.remaining_ms(expected_ms, ran_ms, run.percent)
            ends.append((left_ms, run.room))
        return ends

    def of_others(self, step, now_ms):
        """Returns the workers that are reserved for other steps.

        Returns:
            Names of workers to use last, and names of workers not to use, as
            the gang would need them before a task of this step ends.
        """
        last, never = set(), set()
        job = step.job
        task_ms = self.estimates.step_task_duration_ms(step)
        for name, (until_ms, gang) in self.reserved.items():
            if gang is step:
                continue
            last.add(name)
            first = job.rule.priority < gang.job.rule.priority
            first = first or self.yields(gang, step)
            if not first and now_ms + task_ms * BACKFILL_FACTOR > until_ms:
                never.add(name)
        return last, never
