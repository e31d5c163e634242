"""Capacity of racks, now and as expected, for the steps that wait for one."""

from cicadafold.scheduling import locality
from cicadafold.scheduling import reservation

__all__ = ["RackOutlook", "count_tasks"]

# Expected ends of the run attempts on a worker are computed again when they
# are older than this, or their number has changed.
MAX_ENDS_AGE_MS = 50.0
# A gang keeps waiting for its rack unless another is expected to be free
# earlier by this share of the duration of its tasks.
RACK_CHANGE_SHARE = 0.1
# Number of workers for which it is computed when a gang fits, in the racks
# with the most free cores. The expected ends of a whole pool of 350 workers
# take some 80 ms.
GANG_WORKERS = 32
# Tasks of waiting steps that are taken into account for a later step. With
# more, the wait is longer than a near placement saves in any case.
MAX_CLAIMED = 256


class RackOutlook:
    """What is known of the capacity of racks in a pass of the placer.

    Args:
        workers: Workers by name.
        estimates: Duration estimates.
        expected_ends: Function of a worker and the time in milliseconds that
            returns pairs of remaining milliseconds and resources.

    Attributes:
        claims: ``Claim`` of each step that waits in the current pass, by
            pool and rack.
        wanted: Highest priority, as a number the lowest, of the steps that
            waited in the last pass, by pool and rack.
        ends: Expected ends by name of the worker, with the time and the
            number of run attempts for which they were computed.
        loads: Share of used cores by pool, in the current pass.
    """

    def __init__(self, *, workers, estimates, expected_ends):
        self.workers = workers
        self.estimates = estimates
        self.expected_ends = expected_ends
        self.claims = {}
        self.wanted = {}
        self.ends = {}
        self.loads = {}
        self.wanting = {}

    def begin_pass(self):
        """Forgets what holds for one pass, and workers that are gone."""
        self.claims.clear()
        self.wanted = self.wanting
        self.wanting = {}
        self.loads.clear()
        if len(self.ends) > len(self.workers):
            self.ends.clear()

    def futures(self, views, now_ms):
        """Returns the ``FutureCapacity`` of workers, from recent ends."""
        found = []
        for view in views:
            worker = self.workers[view.id]
            count = len(worker.runs)
            known = self.ends.get(view.id)
            if (
                known is None
                or known[1] != count
                or now_ms - known[0] > MAX_ENDS_AGE_MS
            ):
                ends = self.expected_ends(worker, now_ms)
                known = self.ends[view.id] = (now_ms, count, ends)
            found.append(reservation.FutureCapacity(view, known[2]))
        return found

    def load(self, pool, now_ms):
        """Returns the share of the cores of a pool's workers in use."""
        found = self.loads.get(pool)
        if found is None:
            used = total = 0
            for worker in self.workers.values():
                if worker.report.pool == pool and worker.usable(now_ms):
                    used += worker.used[0]
                    total += worker.report.capacity.cores_milli
            found = self.loads[pool] = used / total if total else 1.0
        return found

    def is_wanted(self, step, rack):
        """Whether steps of the same or a higher urgency wait for a rack."""
        wanted = self.wanted.get((step.job.rule.pool, rack))
        return wanted is not None and wanted <= step.job.rule.priority

    def claim(self, step, demand, rack, decision):
        """Keeps what a waiting step takes of its rack, for later steps."""
        waiting = demand.tasks
        if not step.spec.gang:
            waiting -= decision.near + decision.far
        key = (step.job.rule.pool, rack)
        priority = step.job.rule.priority
        self.wanting[key] = min(priority, self.wanting.get(key, priority))
        claims = self.claims.setdefault(key, [])
        room = MAX_CLAIMED - sum(claim.tasks for claim in claims)
        if room <= 0:
            return
        claims.append(
            locality.Claim(
                min(room, waiting),
                demand.need.cores_milli,
                self.estimates.step_task_duration_ms(step),
            )
        )

    def gang_starts(self, demand, racks, known_rack, task_ms, now_ms):
        """Returns the rack that a gang fits into first, and when.

        Args:
            demand: ``Demand`` of the gang.
            racks: Views of the usable workers by rack.
            known_rack: Rack that the gang waits for already, or empty.
            task_ms: Expected duration of a task in milliseconds.
            now_ms: Monotonic time in milliseconds.

        Returns:
            The rack and, in a tuple, expected milliseconds from now; an
            empty name and tuple if it never fits into one rack. Also, for
            the racks that were considered together, expected milliseconds
            until it fits across them.
        """
        found = []
        together = []
        for rack in by_free_cores(racks, known_rack):
            views = racks[rack]
            if len(together) >= GANG_WORKERS:
                break
            together.extend(views)
            whole = reservation.reserve(demand, self.futures(views, now_ms))
            if whole is not None:
                bonus = RACK_CHANGE_SHARE * task_ms * (rack == known_rack)
                found.append((whole.fits_in_ms - bonus, rack, whole))
        if not found:
            return "", (), 0.0
        _, rack, whole = min(found, key=lambda item: item[:2])
        across = reservation.reserve(demand, self.futures(together, now_ms))
        return rack, (whole.fits_in_ms,), across.fits_in_ms


def by_free_cores(racks, known_rack):
    """Returns the racks, the known one first, then by their free cores."""
    return sorted(
        racks,
        key=lambda rack: (
            rack != known_rack,
            -sum(view.cores_milli for view in racks[rack]),
            rack,
        ),
    )


def count_tasks(views, demand):
    """Returns how many tasks fit on workers now, at most all of them."""
    count = 0
    for view in views:
        count += demand.max_tasks_on(view)
        if count >= demand.tasks:
            return demand.tasks
    return count
