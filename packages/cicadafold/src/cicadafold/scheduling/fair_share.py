"""Divides a full cell between teams by their weights.

Addresses callers of many teams that compete for too little capacity: without
shares, the team that submits most gets most.
"""

import itertools
import math

from cicadafold.scheduling import ranking

__all__ = ["PassShares", "fair_shares", "in_share_order"]

# Urgency classes, the first element of a rank by shares.
URGENT, PATIENT, TOO_LATE = range(3)
# Elements of a rank by shares that name the group of a step: its urgency
# class, and whether its job is beyond the rate of its team.
GROUP = 2


def fair_shares(capacity, weights, demands):
    """Returns the weighted max-min fair shares of a capacity.

    No team gets more than it demands. What a team leaves goes to the others
    in proportion to their weights. Teams of weight 0 divide equally what all
    others leave.

    Args:
        capacity: Capacity to divide, for example in thousandths of a core.
        weights: Weight of each team, 0 or more, by its name.
        demands: What each team could use, in the unit of the capacity, by
            its name.

    Returns:
        Share of each team in ``demands`` by its name.

    Examples:
        >>> fair_shares(13, {"a": 1, "b": 1, "c": 2}, {"a": 1, "b": 9, "c": 9})
        {'a': 1, 'c': 8.0, 'b': 4.0}
    """
    shares = {}
    left = max(0, capacity)
    weightless = []
    by_level = []
    for name, demand in demands.items():
        weight = weights[name]
        if weight > 0:
            by_level.append((demand / weight, name, weight))
        else:
            weightless.append((demand, name, 1))
    for levels in (by_level, weightless):
        levels.sort()
        total = sum(weight for _, _, weight in levels)
        for _, name, weight in levels:
            share = min(demands[name], left * weight / total)
            shares[name] = share
            left = max(0, left - share)
            # Rounding must not leave a total below the last weight.
            total = max(total - weight, 1e-9)
    return shares


@ranking.ranking("shares")
def by_share(waiting, now_ms):
    """Ranks as ``by_slack``, with jobs beyond their team's rate last.

    They are last within the urgent steps, the others and the too late ones.
    The third element is whether the team is above its fair share. As this
    changes while steps are placed, ``in_share_order`` sets it.
    """
    rank = ranking.RANKINGS["slack"](waiting, now_ms)
    if rank[0] == 0:
        urgency = URGENT
    else:
        late = waiting.lateness(now_ms) >= ranking.TOO_LATE
        urgency = TOO_LATE if late else PATIENT
    return (urgency, waiting.beyond_rate, False, *rank)


class PassShares:
    """Fair shares of the teams in each pool, for one pass.

    Shares and demands are those at the start of the pass; the usage is read
    anew each time, as it grows with every task that is placed.

    Args:
        shares: Fair share in thousandths of a core, by pool and team.
        usage: Thousandths of a core in use, by pool and team; changes while
            steps are placed.
    """

    def __init__(self, *, shares, usage):
        self.shares = shares
        self.usage = usage

    def room(self, pool, team):
        """Returns what a team's usage in a pool is below its share.

        Returns:
            Thousandths of a core; 0 or less if the team is not below it.
        """
        share = self.shares.get(pool, {}).get(team, 0.0)
        return share - self.usage.get(pool, {}).get(team, 0)

    def tasks_within(self, step, tasks):
        """Returns how many tasks a step may place before others have theirs.

        It is the number of tasks with which its team reaches its share. The
        last one may exceed it, as no team with a share below the size of one
        task could run anything otherwise. A gang counts as one task.

        Args:
            step: Step.
            tasks: Number of its waiting tasks.

        Returns:
            0 if the team is not below its share.
        """
        room = self.room(step.job.rule.pool, step.job.spec.team_name)
        if room <= 0:
            return 0
        size = step.spec.need.cores_milli
        if step.spec.gang or size <= 0:
            return tasks
        return min(tasks, math.ceil(room / size))


def in_share_order(ranked, pass_shares):
    """Yields ranked steps such that teams below their share come first.

    Steps are ordered within each group: urgency, then whether the job is
    beyond its team's rate. A step whose team reaches its share on the way is
    yielded with as many tasks as lead there, and with the rest after the
    others of the group. So a team cannot take the whole cell in one pass,
    and nothing stays free that a team above its share could use.

    Args:
        ranked: Triples of rank, step and waiting tasks, in order of the
            ranks. A rank starts with the rank by shares.
        pass_shares: ``PassShares``, whose usage reflects what was placed of a
            yielded step when the next one is taken.

    Yields:
        Triples of rank, step and tasks.
    """
    for _, group in itertools.groupby(ranked, key=lambda x: x[0][0][:GROUP]):
        deferred = []
        for rank, step, tasks in group:
            count = pass_shares.tasks_within(step, len(tasks))
            rest = tasks[count:]
            if count:
                yield rank, step, tasks[:count]
            if not rest:
                continue
            # Without tickets the rest cannot be placed either, and would only
            # request the same advice again.
            placed = count and not all(x.needs_start for x in tasks[:count])
            if not count or placed or step.job.rule.advice is None:
                deferred.append((rank, step, rest))
        for rank, step, tasks in deferred:
            yield above_share(rank), step, tasks


def above_share(rank):
    """Returns the rank of a step whose team is above its share."""
    first, *others = rank
    return ((*first[:GROUP], True, *first[GROUP + 1 :]), *others)
