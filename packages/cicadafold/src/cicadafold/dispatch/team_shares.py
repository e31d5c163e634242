"""Orders the waiting steps of a pass by the fair shares of their teams."""

from cicadafold.scheduling import fair_share
from cicadafold.scheduling import ranking

__all__ = ["TeamShares"]

# Teams whose metrics are shown one by one, those with the highest usage.
SHOWN_TEAMS = 10
OTHER_TEAMS = "other"


class TeamShares:
    """Divides each pool between the teams while a pass places steps.

    The shares are computed at the start of a pass. The usage that they are
    compared with changes within the pass.

    Args:
        teams: ``TeamAccounting`` of the term.

    Attributes:
        pass_shares: ``PassShares`` of the current pass, or None before the
            first one with teams.
        capacities: Thousandths of a core of each pool in that pass.
        known_rules: Rules of which ``weights`` and ``caps`` were taken.
        weights: Weight by name of the team.
        caps: Thousandths of a core by name of the team, for teams with a cap.
        on_unplaced: Function called with a step that has no worker for all
            its tasks, the function that returns its ``WaitingStep``, and the
            monotonic time in milliseconds.
    """

    def __init__(self, *, teams):
        self.teams = teams
        self.pass_shares = None
        self.capacities = {}
        self.known_rules = {}
        self.weights = {}
        self.caps = {}
        self.on_unplaced = lambda step, waiting_step, now_ms: None

    @property
    def active(self):
        """Whether the deployment has teams."""
        return self.teams is not None and bool(self.teams.rules)

    @property
    def ranking_name(self):
        """Name of the queue order to use."""
        return "shares" if self.active else "slack"

    def rank(self, waiting, now_ms):
        """Returns the rank of a waiting step by the queue order in use."""
        return ranking.RANKINGS[self.ranking_name](waiting, now_ms)

    def order(self, ranked, pools):
        """Returns the steps in the order in which they are placed.

        Args:
            ranked: Triples of rank, step and waiting tasks, by rank.
            pools: Views of the usable workers by pool and name.

        Returns:
            ``ranked`` itself for a deployment without teams, otherwise an
            iterator that must be advanced after each step was placed.
        """
        if not self.active:
            return ranked
        usage = self.teams.usage.cores_by_pool
        self.pass_shares = fair_share.PassShares(
            shares=self.shares(ranked, pools, usage), usage=usage
        )
        return fair_share.in_share_order(ranked, self.pass_shares)

    def shares(self, ranked, pools, usage):
        """Returns the fair share of each team by pool and team.

        Args:
            ranked: Triples of rank, step and waiting tasks.
            pools: Views of the usable workers by pool and name.
            usage: Thousandths of a core in use by pool and team.
        """
        demands, capacities = {}, {}
        for pool, workers in pools.items():
            # A copy, as the usage changes while steps are placed.
            demand = demands[pool] = dict(usage.get(pool, ()))
            # Run attempts of unknown jobs belong to no team.
            demand.pop(None, None)
            free = sum([view.cores_milli for view in workers.values()])
            capacities[pool] = free + sum(demand.values())
        current_pool = demand = None
        for _, step, tasks in ranked:
            job = step.job
            pool = job.rule.pool
            if pool != current_pool:
                current_pool = pool
                demand = demands.get(pool)
            if demand is None:
                continue
            team = job.spec.team
            name = "" if team is None else team.name
            wanted = len(tasks) * step.spec.need.cores_milli
            if name in demand:
                demand[name] += wanted
            else:
                demand[name] = wanted
        shares = {}
        for pool, demand in demands.items():
            if sum(demand.values()) <= capacities[pool]:
                shares[pool] = demand
                continue
            weights = self.bound(demand, ranked)
            shares[pool] = fair_share.fair_shares(
                capacities[pool], weights, demand
            )
        self.capacities = capacities
        return shares

    def bound(self, demand, ranked):
        """Bounds the demands of teams by their caps.

        Args:
            demand: Thousandths of a core by name of the team, empty for jobs
                without a team; reduced to the caps.
            ranked: Triples of rank, step and waiting tasks. A team that is no
                longer configured has the rule at the acceptance of its jobs.

        Returns:
            Weights of at least these teams by name. Jobs without a team,
            which came over an anonymous route, together have the mean weight
            of the others.
        """
        if self.known_rules != self.teams.rules:
            self.known_rules = dict(self.teams.rules)
            self.weights = weights_of(self.known_rules)
            self.caps = caps_of(self.known_rules)
        caps, weights = self.caps, self.weights
        unknown = demand.keys() - weights.keys()
        if unknown:
            # A removed team without waiting steps only uses what it has.
            teams = [step.job.spec.team for _, step, _ in ranked]
            rules = {x.name: x for x in teams if x and x.name in unknown}
            caps = caps | caps_of(rules)
            weights = weights | dict.fromkeys(unknown, 0.0) | weights_of(rules)
        for name, cap in caps.items():
            if demand.get(name, 0) > cap:
                demand[name] = cap
        if "" in unknown:
            named = [weights[name] for name in demand if name]
            weights[""] = sum(named) / max(1, len(named)) or 1.0
        return weights

    def on_attempted(self, step, tasks, waiting_step, now_ms):
        """Notes whether a step was placed for which there were workers.

        Args:
            step: Step.
            tasks: Its tasks that were to be placed.
            waiting_step: Function that returns the ``WaitingStep`` of a step.
            now_ms: Monotonic time in milliseconds.
        """
        if not self.active or step.job.beyond_rate:
            return
        if step.spec.gang:
            size = step.spec.tasks * step.spec.need.cores_milli
            if size > self.capacities.get(step.job.rule.pool, size):
                return  # No refusal makes room for it.
        # Tasks that may have crashed a worker wait for other reasons.
        if any(x.needs_start and x.unit.crashes is None for x in tasks):
            self.on_unplaced(step, waiting_step, now_ms)

    def yields_reservation(self, gang, step):
        """Whether a gang's reserved workers may be used by another step.

        A gang of a team above its share, or beyond its rate, must not keep
        workers from steps that are ranked before it.

        Args:
            gang: Step of the gang that workers are reserved for.
            step: Other step.
        """
        if self.pass_shares is None or not self.active:
            return False
        if gang.job.rule.priority == 0 and step.job.rule.priority > 0:
            return False
        if gang.job.beyond_rate != step.job.beyond_rate:
            return gang.job.beyond_rate
        return self.below_share(step) and not self.below_share(gang)

    def below_share(self, step):
        """Whether the team of a step is below its fair share."""
        room = self.pass_shares.room(
            step.job.rule.pool, step.job.spec.team_name
        )
        return room > 0

    def gauges(self):
        """Returns the usage and the fair share of the largest teams.

        Returns:
            Thousandths of a core, over all pools, by metric and team.
        """
        if not self.active:
            return {}
        usage = total_by_team(self.teams.usage.cores_by_pool)
        shares = {}
        if self.pass_shares is not None:
            shares = total_by_team(self.pass_shares.shares)
        return {
            "team_used_cores_milli": by_shown_team(usage, usage),
            "team_share_cores_milli": by_shown_team(shares, usage),
        }


def weights_of(rules):
    """Returns the weights of teams by name."""
    return {name: rule.weight for name, rule in rules.items()}


def caps_of(rules):
    """Returns the caps in thousandths of a core, of teams with one."""
    return {
        name: rule.cap.cores_milli
        for name, rule in rules.items()
        if rule.cap.cores_milli
    }


def total_by_team(by_pool):
    """Returns the sums over all pools of amounts by pool and team."""
    totals = {}
    for amounts in by_pool.values():
        for team, amount in amounts.items():
            if team:
                totals[team] = totals.get(team, 0) + amount
    return totals


def by_shown_team(amounts, usage):
    """Returns amounts by team, with those of small teams added up.

    Args:
        amounts: Amounts by name of the team.
        usage: Usage by name of the team, which decides which ones are shown.

    Returns:
        Amounts of the ``SHOWN_TEAMS`` teams with the highest usage by their
        names, and the sum of the rest by ``OTHER_TEAMS``.
    """
    largest = sorted(amounts, key=lambda name: (-usage.get(name, 0), name))
    found = {name: amounts[name] for name in largest[:SHOWN_TEAMS]}
    if len(largest) > SHOWN_TEAMS:
        rest = sum(amounts[name] for name in largest[SHOWN_TEAMS:])
        found[OTHER_TEAMS] = found.get(OTHER_TEAMS, 0) + rest
    return found
