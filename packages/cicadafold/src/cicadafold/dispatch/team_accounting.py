"""What teams use of the cell, and what their caps leave them."""

from cicadafold.dispatch import cap_holds
from cicadafold.dispatch import cap_reports
from cicadafold.dispatch import possible_usage
from cicadafold.dispatch import runs
from cicadafold.scheduling import team_caps

__all__ = ["TeamAccounting"]

NONE = (0, 0, 0)


class TeamAccounting:
    """Applies the caps of teams to the steps that are placed.

    The newest configured cap counts. While a version with a larger one may
    still be in force elsewhere, that is stricter than required.

    Args:
        usage: ``TeamUsage`` over all workers.
        cap_overage: Share of its cap by which a team may exceed it with a
            gang.
        workers: Workers by name.
        inherited_runs: ``InheritedRuns`` of the term.
        job_table: Jobs of the term.
        estimates: Duration estimates.
        metrics: Metrics in which gangs that no longer fit are counted.

    Attributes:
        rules: Newest ``TeamRule`` by name of the team.
        limits: By name of a configured team, its rule and the limits that
            its cap sets to single tasks and to gangs.
        possible: What teams may use on workers that have not answered yet.
        holds: Holds for gangs that are delayed by their cap.
        reports: Log lines and gauges.
        now_ms: Monotonic time of the current pass in milliseconds.
        extra: By name of a team, what counts beyond its known run attempts;
            under None what counts against every team. None if it has not
            been computed in this pass.
    """

    def __init__(
        self,
        *,
        usage,
        cap_overage,
        workers,
        inherited_runs,
        job_table,
        estimates,
        metrics,
    ):
        self.rules = {}
        self.limits = {}
        self.usage = usage
        self.cap_overage = cap_overage
        self.possible = possible_usage.PossibleUsage(
            workers=workers,
            inherited_runs=inherited_runs,
            job_table=job_table,
        )
        self.holds = cap_holds.CapHolds(usage=usage, estimates=estimates)
        self.reports = cap_reports.CapReports(usage=usage, metrics=metrics)
        self.now_ms = 0.0
        self.extra = None

    def on_configuration(self, configuration):
        """Takes over the teams of a new configuration."""
        self.rules = configuration.teams or {}
        self.limits = {
            name: self.limits_of(rule) for name, rule in self.rules.items()
        }

    def limits_of(self, rule):
        """Returns a rule and the limits for single tasks and for gangs."""
        gang = team_caps.gang_limit(rule.cap, self.cap_overage)
        return rule, team_caps.limits_of(rule.cap), team_caps.limits_of(gang)

    def begin_pass(self, now_ms):
        """Prepares a pass over the waiting steps.

        Args:
            now_ms: Monotonic time in milliseconds.
        """
        self.now_ms = now_ms
        if self.usage.unconfirmed:
            self.drop_expired_starts()
        if self.extra is not None:
            self.extra = None
            self.holds.begin_pass()
            self.reports.begin_pass(now_ms)

    def limit(self, step, tasks):
        """Returns those of a step's waiting tasks that its team may start.

        It is called in order of rank, and the tasks that it returns are
        placed before the next call.

        Args:
            step: Step.
            tasks: Its waiting tasks.
        """
        team = step.job.spec.team
        if team is None:
            return tasks
        name = team.name
        found = self.limits.get(name) or self.limits_of(team)
        rule, limits, gang_limits = found
        if not limits:
            return tasks
        used = self.used(name)
        holds = self.holds
        if name in holds.active and holds.holds_back(step, name, self.now_ms):
            self.reports.on_delayed(
                step, rule, used, len(tasks), self.now_ms, True
            )
            return []
        spec = step.spec
        need = team_caps.amounts(spec.need)
        if spec.gang:
            if not self.permits_gang(step, rule, used, need, gang_limits):
                return []
            holds.on_gang_permitted(step, name)
            if step.job.rule.priority:
                holds.ahead.add(name)
            return tasks
        wanted = len(tasks)
        count = team_caps.tasks_within_limits(used, need, limits, wanted)
        if count:
            if step.job.rule.priority:
                holds.ahead.add(name)
            if count == wanted:
                return tasks
        self.reports.on_delayed(
            step, rule, used, wanted - count, self.now_ms, False
        )
        if not count:
            return []
        # A task that was lost with a worker may have to wait for another
        # reason, so it must not take the place of one that can start.
        permitted = tasks[:count]
        if any(map(was_lost, permitted)):
            permitted = sorted(tasks, key=was_lost)[:count]
        return permitted

    def permits_gang(self, step, rule, used, need, limits):
        """Whether a gang may start now; otherwise reports why it waits."""
        count = len(step.tasks)
        missing = team_caps.missing_within_limits(used, need, limits, count)
        if not any(missing):
            return True
        if any(team_caps.missing_within_limits(NONE, need, limits, count)):
            self.reports.on_beyond(step, rule, self.now_ms)
            return False
        self.reports.on_delayed(step, rule, used, count, self.now_ms, False)
        self.holds.on_gang_delayed(step, rule.name, missing, self.now_ms)
        return False

    def used(self, team):
        """Returns the amounts that count against a team now.

        These are its known run attempts, unanswered starts that a restarted
        worker may carry out, tasks that may run on workers which have not
        answered this term, and run attempts of jobs that are not known.
        """
        if self.extra is None:
            self.extra = self.count_extra()
        own = self.usage.charged.get(team, NONE)
        shared = self.usage.unattributed
        if not self.extra:
            return (
                own[0] + shared[0],
                own[1] + shared[1],
                own[2] + shared[2],
            )
        extra = self.extra.get(team, NONE)
        unknown = self.extra.get(None, NONE)
        return (
            own[0] + shared[0] + extra[0] + unknown[0],
            own[1] + shared[1] + extra[1] + unknown[1],
            own[2] + shared[2] + extra[2] + unknown[2],
        )

    def count_extra(self):
        """Returns what counts beyond the run attempts on known workers."""
        self.possible.refresh(self.now_ms)
        extra = self.possible.by_team
        if not self.usage.unconfirmed and not any(self.possible.of_unknown):
            return extra
        extra = dict(extra)
        if any(self.possible.of_unknown):
            extra[None] = self.possible.of_unknown
        for run in self.usage.unconfirmed:
            if run.worker.silent_since_ms is not None:
                extra[run.team] = possible_usage.plus(
                    extra.get(run.team, NONE), team_caps.amounts(run.charge)
                )
        return extra

    def drop_expired_starts(self):
        """Drops the unanswered starts that can no longer be carried out.

        A restarted worker that has answered lists them, or they are charged
        to it again until it has answered a stop.
        """
        self.usage.unconfirmed = [
            run
            for run in self.usage.unconfirmed
            if run.key in run.worker.unconfirmed_starts
            and self.now_ms - run.start_sent_ms <= runs.MAX_START_DELAY_MS
        ]

    def gauges(self):
        """Returns the gauges of the teams, for the metrics."""
        return self.reports.gauges(self.rules)


def was_lost(task):
    """Whether a task was lost with its worker."""
    return task.crashes is not None
