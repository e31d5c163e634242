"""Log lines and metrics about tasks that wait under the caps of teams."""

import weakref

from cicadafold.scheduling import team_caps
from cicadafold.telemetry import logs

__all__ = ["CapReports"]

# A team gets a log line at most this often, and all teams together at most
# one each MIN_LOG_PAUSE_MS.
TEAM_LOG_PERIOD_MS = 10_000.0
MIN_LOG_PAUSE_MS = 400.0
# Teams with gauges of their own; the others are summed.
LARGEST_TEAMS = 10
OTHER = "other"
MILLI = 1000.0

LOG = logs.get_logger("caps")


class CapReports:
    """Reports what the caps of teams delay.

    Args:
        usage: ``TeamUsage`` over all workers.
        metrics: Metrics in which gangs that no longer fit are counted.

    Attributes:
        waiting: Number of tasks that the cap delayed in the newest pass, by
            name of the team.
        logged_ms: Monotonic time of the newest log line, in milliseconds, by
            name of the team.
        last_log_ms: Monotonic time of the newest log line of any team.
        beyond: Gangs that were counted because they no longer fit.
    """

    def __init__(self, *, usage, metrics):
        self.usage = usage
        self.metrics = metrics
        self.waiting = {}
        self.logged_ms = {}
        self.last_log_ms = -MIN_LOG_PAUSE_MS
        self.beyond = weakref.WeakSet()

    def begin_pass(self, now_ms):
        """Forgets what the last pass delayed, and old log times."""
        self.waiting.clear()
        if now_ms - self.last_log_ms > TEAM_LOG_PERIOD_MS:
            self.logged_ms.clear()

    def on_delayed(self, step, rule, used, count, now_ms, for_gang):
        """Counts tasks that wait under a cap; logs at a bounded rate.

        Args:
            step: Step of the tasks.
            rule: ``TeamRule`` in force.
            used: Amounts that count against the team.
            count: Number of tasks that wait.
            now_ms: Monotonic time in milliseconds.
            for_gang: Whether they wait for a gang of the team.
        """
        name = rule.name
        self.waiting[name] = self.waiting.get(name, 0) + count
        if not self.may_log(name, now_ms):
            return
        fields = log_fields(step, rule, used) | {"waiting": count}
        if for_gang:
            LOG.info(
                "A step waits until a gang of its team that ranks before it "
                "fits under the team's cap.",
                fields=fields,
            )
            return
        LOG.info(
            "A step waits under the cap of its team. Raise the cap of the "
            "team in the configuration, or wait until its tasks end.",
            fields=fields,
        )

    def on_beyond(self, step, rule, now_ms):
        """Reports a gang that its team's cap, since lowered, never permits.

        Args:
            step: Step of the gang.
            rule: ``TeamRule`` in force.
            now_ms: Monotonic time in milliseconds.
        """
        name = rule.name
        self.waiting[name] = self.waiting.get(name, 0) + len(step.tasks)
        if step not in self.beyond:
            self.beyond.add(step)
            self.metrics.count("gangs_beyond_cap")
        if self.may_log(name, now_ms):
            LOG.warning(
                "A gang was accepted under a larger cap of its team and does "
                "not fit any more; it waits. Raise the cap of the team in "
                "the configuration, or cancel the job.",
                fields=log_fields(step, rule, (0, 0, 0))
                | {"waiting": len(step.tasks)},
            )

    def may_log(self, team, now_ms):
        """Whether to log a line about a team now; records that it is."""
        if now_ms - self.last_log_ms < MIN_LOG_PAUSE_MS:
            return False
        last_ms = self.logged_ms.get(team)
        if last_ms is not None and now_ms - last_ms < TEAM_LOG_PERIOD_MS:
            return False
        self.logged_ms[team] = self.last_log_ms = now_ms
        return True

    def gauges(self, rules):
        """Returns the gauges of the largest teams, and of the others summed.

        Args:
            rules: Configured ``TeamRule`` by name of the team.

        Returns:
            Values by name, with the team as label. A cap of 0 is no limit.
        """
        teams = {team for team in self.usage.charged if team}
        teams |= set(rules) | set(self.waiting)
        if not teams:
            return {}
        ranked = sorted(teams, key=lambda team: (-self.cores(team), team))
        largest, others = ranked[:LARGEST_TEAMS], ranked[LARGEST_TEAMS:]
        rows = [(team, [team]) for team in largest]
        if others:
            rows.append((OTHER, others))
        found = {}
        for label, names in rows:
            caps = [
                rules[name].cap.cores_milli for name in names if name in rules
            ]
            total = sum(caps) if caps and all(caps) else 0
            values = {
                "team_cores_used": sum(map(self.cores, names)) / MILLI,
                "team_cores_cap": total / MILLI,
                "team_tasks_waiting_under_cap": sum(
                    self.waiting.get(name, 0) for name in names
                ),
            }
            for metric, value in values.items():
                found[f'{metric}{{team="{escape(label)}"}}'] = value
        return found

    def cores(self, team):
        """Returns the thousandths of a core that a team is charged with."""
        return self.usage.charged.get(team, (0, 0, 0))[0]


def log_fields(step, rule, used):
    """Returns the log fields of a step that waits under a cap.

    Amounts are thousandths of a core, megabytes and accelerators; a bound of
    0 is no limit.
    """
    return step.log_fields | {
        "team": rule.name,
        "bound": team_caps.amounts(rule.cap),
        "used": tuple(used),
        "need": team_caps.amounts(step.spec.need),
        "tasks": len(step.tasks),
        "gang": step.spec.gang,
    }


def escape(label):
    """Returns a label value as the Prometheus text format needs it."""
    return label.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
