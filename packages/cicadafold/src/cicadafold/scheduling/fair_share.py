"""Divides a full cell between teams by their weights.

Addresses callers of many teams that compete for too little capacity: without
shares, the team that submits most gets most.
"""

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
    names = [name for name in demands if weights[name] > 0]
    levels = {name: demands[name] / weights[name] for name in names}
    total = sum([weights[name] for name in names])
    names.sort(key=levels.__getitem__)
    for number, name in enumerate(names):
        if levels[name] * total >= left:
            # All others demand at least what their weights give them.
            unit = left / total
            for other in names[number:]:
                shares[other] = unit * weights[other]
            left = 0
            break
        shares[name] = demands[name]
        left -= demands[name]
        total -= weights[name]
    if len(shares) < len(demands):
        weightless = {k: v for k, v in demands.items() if k not in shares}
        shares |= fair_shares(left, dict.fromkeys(weightless, 1), weightless)
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

    Shares are those at the start of the pass. The usage that they are
    compared with grows with every task that is placed.

    Args:
        shares: Fair share in thousandths of a core, by pool and team.
        usage: Thousandths of a core in use, by pool and team; changes while
            steps are placed.
    """

    def __init__(self, *, shares, usage):
        self.shares = shares
        self.usage = usage

    def of_pool(self, pool):
        """Returns the shares and the changing usage of a pool, by team."""
        return self.shares.get(pool, {}), self.usage.setdefault(pool, {})

    def room(self, pool, team):
        """Returns what a team's usage in a pool is below its share.

        Returns:
            Thousandths of a core; 0 or less if the team is not below it.
        """
        shares, usage = self.of_pool(pool)
        return shares.get(team, 0) - usage.get(team, 0)


def tasks_within(room, spec, tasks):
    """Returns how many tasks a step may place before others have theirs.

    It is the number of tasks with which its team reaches its share. The last
    one may exceed it, as no team with a share below the size of one task
    could run anything otherwise. A gang counts as one task.

    Args:
        room: What its team's usage is below its share, in thousandths of a
            core; more than 0.
        spec: Specification of the step.
        tasks: Number of its waiting tasks.
    """
    size = spec.need.cores_milli
    if spec.gang or room >= size * tasks:
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
    urgency = beyond_rate = current_pool = None
    deferred = []
    for item in ranked:
        rank, step, tasks = item
        if rank[0][0] != urgency or rank[0][1] != beyond_rate:
            urgency, beyond_rate = rank[0][:GROUP]
            yield from deferred
            deferred = []
        job = step.job
        rule = job.rule
        if rule.pool != current_pool:
            current_pool = rule.pool
            shares, usage = pass_shares.of_pool(current_pool)
        team = job.spec.team
        name = "" if team is None else team.name
        room = shares.get(name, 0) - usage.get(name, 0)
        if room > 0:
            count = tasks_within(room, step.spec, len(tasks))
            if count == len(tasks):
                yield item
                continue
            first = tasks[:count]
            yield rank, step, first
            placed = not all(task.needs_start for task in first)
            if not placed and rule.advice is not None:
                # Without tickets the rest cannot be placed either, and would
                # only request the same advice again.
                continue
            item = (rank, step, tasks[count:])
        if rule.advice is not None:
            # Advice is requested in the order of the ranks.
            item = (above_share(rank), *item[1:])
        deferred.append(item)
    yield from deferred


def above_share(rank):
    """Returns the rank of a step whose team is above its share."""
    first = rank[0]
    return ((*first[:GROUP], True, *first[GROUP + 1 :]), *rank[1:])
