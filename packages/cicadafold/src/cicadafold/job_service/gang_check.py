"""Refuses jobs with a gang that can never fit under its team's cap."""

from cicadafold import exception
from cicadafold.scheduling import team_caps

__all__ = ["GangCheck"]


class GangCheck:
    """Checks the gangs of submitted jobs against the caps of their teams.

    Args:
        cap_overage: Share of its cap by which a team may exceed it with a
            gang.
        metrics: Metrics in which refusals are counted.
    """

    def __init__(self, *, cap_overage, metrics):
        self.cap_overage = cap_overage
        self.metrics = metrics

    async def check(self, spec, is_accepted):
        """Refuses a job that would wait forever.

        A job that was accepted under a larger cap is not refused when its
        submission is repeated: it exists, and its caller may depend on it.

        Args:
            spec: Specification of the job, with the rule of its team.
            is_accepted: Coroutine function that returns whether the job has
                been accepted before; called only if a gang does not fit.

        Raises:
            NeverFits: A gang needs more than its team may ever use.
            Starting: It is not known whether the job has been accepted.
        """
        if spec.team is None:
            return
        for number, step in enumerate(spec.steps):
            if step.gang and not self.fits(step, spec.team.cap):
                if await is_accepted():
                    return
                self.metrics.count("gangs_refused")
                raise self.error(number, step, spec.team)

    def fits(self, step, cap):
        """Whether a gang fits under a cap while its team uses nothing."""
        return team_caps.gang_ever_fits(
            need=step.need,
            cap=cap,
            tasks=step.tasks,
            overage=self.cap_overage,
        )

    def error(self, number, step, team):
        """Returns the error for a gang that never fits."""
        needs = [
            amount * step.tasks for amount in team_caps.amounts(step.need)
        ]
        limit = team_caps.gang_limit(team.cap, self.cap_overage)
        return exception.NeverFits(
            message=f"The gang of step {number} needs {describe(needs)}, and "
            f"team {team.name} may never use more than "
            f"{describe(team_caps.amounts(limit))} (0 is no limit).",
            remedy="Submit a smaller gang, or have the cap of the team "
            "raised in the configuration.",
        )


def describe(amounts):
    """Returns amounts of the resources as text."""
    cores_milli, memory_mb, accelerators = amounts
    return (
        f"{cores_milli} thousandths of a core, {memory_mb} MB and "
        f"{accelerators} accelerators"
    )
