"""Keeps small tasks of a team from starving its gangs under its cap.

A gang that does not fit under the cap of its team starts only once the team
uses less. Small tasks of the same team would take each amount that becomes
free. So patient steps of the team that rank behind the gang are held back for
a bounded time, unless they are expected to end before the gang fits.

A gang that becomes late while it waits ranks behind work that is in time. So a
hold that began while the gang ranked first in its team also covers steps that
rank before it later, and so does the hold of a gang that has waited long.
"""

import weakref

import msgspec

from cicadafold.scheduling import estimates

__all__ = ["CapHolds"]

# Shortest hold, as long as the longest reservation of workers.
MIN_HOLD_MS = 8000.0
# Longest hold. Tasks that run longer than this are rare.
MAX_HOLD_MS = 60_000.0
# A hold lasts for this multiple of the time until the gang should fit, as
# estimates of durations are often too short.
HOLD_FACTOR = 1.5
# Pause after a hold in which the gang did not start. It also passes before a
# gang that no expected end would make fit is considered again.
PAUSE_MS = 8000.0
# As for workers that are reserved for a gang: a task may start if this
# multiple of its expected duration ends before the gang should fit.
BACKFILL_FACTOR = 1.2
# A gang that has waited for this long is taken as starved by the steps that
# rank before it.
STARVED_MS = 8000.0
URGENT = 0


class Hold(msgspec.Struct):
    """Period in which steps of a team are held back for a gang.

    Times are monotonic, in milliseconds.

    Attributes:
        fits_at_ms: Time at which the gang is expected to fit under the cap.
        until_ms: End of the hold.
        renew_ms: Time from which the gang may get another hold.
        covers_all: Whether it also covers steps that rank before the gang.
    """

    fits_at_ms: float
    until_ms: float
    renew_ms: float
    covers_all: bool = False


class CapHolds:
    """Holds for the gangs that the caps of their teams delay.

    Args:
        usage: ``TeamUsage`` over all workers.
        estimates: Duration estimates.

    Attributes:
        by_gang: Newest ``Hold`` of each gang's step.
        active: Hold by name of the team that is in force in this pass.
        delayed: Hold of the first gang of a team that the cap has delayed in
            this pass, by name of the team.
        ahead: Names of the teams of which a patient step was permitted to
            start tasks in this pass.
    """

    def __init__(self, *, usage, estimates):
        self.usage = usage
        self.estimates = estimates
        self.by_gang = weakref.WeakKeyDictionary()
        self.active = {}
        self.delayed = {}
        self.ahead = set()

    def begin_pass(self):
        """Keeps the holds of gangs that the cap delayed in the last pass."""
        self.active = {
            team: hold
            for team, hold in self.delayed.items()
            if hold.covers_all
        }
        self.delayed = {}
        self.ahead = set()

    def on_gang_permitted(self, step, team):
        """Ends the hold for a gang that the cap does not delay any more."""
        if self.is_held_for(step, team):
            del self.active[team]

    def is_held_for(self, step, team):
        """Whether the hold in force for a team is that of a gang."""
        hold = self.active.get(team)
        return hold is not None and hold is self.by_gang.get(step)

    def on_gang_delayed(self, step, team, missing, now_ms):
        """Holds back the steps behind a gang, if that lets it start.

        Args:
            step: Step of the gang, which the cap of its team delays.
            team: Name of the team.
            missing: Amounts of each resource that the team has to release.
            now_ms: Monotonic time in milliseconds.
        """
        hold = self.by_gang.get(step)
        if hold is None or now_ms >= hold.renew_ms:
            hold = self.by_gang[step] = self.make_hold(team, missing, now_ms)
        if now_ms >= hold.until_ms:
            return
        waited_ms = now_ms - (step.ready_ms or now_ms)
        if team not in self.ahead or waited_ms > STARVED_MS:
            hold.covers_all = True
        self.delayed.setdefault(team, hold)
        self.active.setdefault(team, hold)

    def make_hold(self, team, missing, now_ms):
        """Returns the hold for a gang; it is empty if it would not help."""
        fits_in_ms = self.released_in_ms(team, missing, now_ms)
        if fits_in_ms is None:
            return Hold(now_ms, now_ms, now_ms + PAUSE_MS)
        length_ms = min(
            MAX_HOLD_MS, max(MIN_HOLD_MS, fits_in_ms * HOLD_FACTOR)
        )
        until_ms = now_ms + length_ms
        return Hold(now_ms + fits_in_ms, until_ms, until_ms + PAUSE_MS)

    def released_in_ms(self, team, missing, now_ms):
        """Returns in how many milliseconds a team releases some amounts.

        Run attempts that have no expected end are left out: those of tasks
        that run until they are cancelled, and those of unknown tasks.

        Returns:
            Expected milliseconds; None if they are not released by ends of
            the team's own run attempts.
        """
        ends = []
        for run in self.usage.runs.get(team, {}).values():
            if run.task is None or run.task.step.spec.lasting:
                continue
            left_ms = estimates.remaining_ms(
                self.estimates.step_task_duration_ms(run.task.step),
                now_ms - run.started_ms,
                run.percent,
            )
            ends.append((left_ms, id(run), run.charge))
        left = list(missing)
        for left_ms, _, charge in sorted(ends, key=lambda end: end[:2]):
            left[0] -= charge.cores_milli
            left[1] -= charge.memory_mb
            left[2] -= charge.accelerators
            if max(left) <= 0:
                return left_ms
        return None

    def holds_back(self, step, team, now_ms):
        """Whether a step has to wait for a gang of its team.

        Args:
            step: Step.
            team: Name of the team.
            now_ms: Monotonic time in milliseconds.
        """
        hold = self.active.get(team)
        if hold is None or now_ms >= hold.until_ms:
            return False
        if step.job.rule.priority == URGENT or self.is_held_for(step, team):
            return False
        task_ms = self.estimates.step_task_duration_ms(step)
        return (
            step.spec.lasting
            or now_ms + task_ms * BACKFILL_FACTOR > hold.fits_at_ms
        )
