"""Resources that teams use, counted incrementally."""

from cicadafold.jobs.resources import Resources

__all__ = ["TeamUsage"]


class TeamUsage:
    """Resources charged to each team, over all workers.

    Attributes:
        charged: Thousandths of a core, megabytes and accelerators by name of
            the team.
        unattributed: The same for run attempts whose team is not known; they
            count against every team.
        runs: Charged run attempts by name of the team, then by identity.
        unconfirmed: Run attempts that were removed although their start was
            never answered. If their worker has restarted, it may still carry
            out the start.
        cores_by_pool: Thousandths of a core by pool and team, with None for
            run attempts whose team is not known.
    """

    def __init__(self):
        self.charged = {}
        self.unattributed = [0, 0, 0]
        self.runs = {}
        self.unconfirmed = []
        self.cores_by_pool = {}

    def add(self, team, charge, sign=1, *, pool=""):
        """Adds the charge of a run attempt, or subtracts it (sign -1).

        Args:
            team: Name of its team; empty for none, None if it is not known.
            charge: Its resources.
            sign: 1 or -1.
            pool: Pool of the worker that it is on.
        """
        cores = self.cores_by_pool.setdefault(pool, {})
        cores[team] = cores.get(team, 0) + sign * charge.cores_milli
        if not cores[team]:
            del cores[team]
        if team is None:
            amounts = self.unattributed
        else:
            amounts = self.charged.setdefault(team, [0, 0, 0])
        amounts[0] += sign * charge.cores_milli
        amounts[1] += sign * charge.memory_mb
        amounts[2] += sign * charge.accelerators
        if team is not None and not any(amounts):
            del self.charged[team]

    def add_run(self, run):
        """Adds a run attempt of a team to what the team uses."""
        self.add(run.team, run.charge, pool=run.worker.pool)
        if run.team:
            self.runs.setdefault(run.team, {})[id(run)] = run

    def remove_run(self, run):
        """Removes a run attempt of a team that is known to be gone.

        One whose start was never answered is remembered, see
        ``unconfirmed``.
        """
        self.add(run.team, run.charge, -1, pool=run.worker.pool)
        if not run.team:
            return
        found = self.runs[run.team]
        del found[id(run)]
        if not found:
            del self.runs[run.team]
        if run.start_unconfirmed:
            self.unconfirmed.append(run)

    def used(self, team):
        """Returns the resources that count against a team."""
        own = self.charged.get(team, (0, 0, 0))
        return Resources(*map(sum, zip(own, self.unattributed)))
