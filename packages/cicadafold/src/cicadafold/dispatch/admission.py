"""Counts the jobs of teams and answers which ones a full pool admits.

All counts are in memory. A new term starts with full buckets, so that one
burst of each team may pass.
"""

import asyncio
import collections

from cicadafold import clock
from cicadafold.dispatch import team_shares
from cicadafold.peers import messages
from cicadafold.scheduling import arrivals
from cicadafold.scheduling import team_admission
from cicadafold.telemetry import logs

__all__ = ["Admission"]

CHECK_PERIOD_S = 0.1
# A notice expires after 2 s at the entry hosts, so that one of them may be
# lost three times in a row.
RESEND_MS = 500.0
# Time for which a team is announced before its jobs are refused. It is the
# usual time-out of callers, within which a record is stored or given up. So a
# job that a host was accepting without asking, when the notice arrived, is
# known by then, and its repeated call is not refused.
SETTLE_MS = 3000.0
# Jobs that were admitted by an answer and have not arrived yet.
MAX_ADMITTED = 4096

LOG = logs.get_logger("admission")


class Admission:
    """Meters arrivals, announces teams, and answers for their jobs.

    Args:
        term: Number of the term.
        teams: ``TeamAccounting`` of the term.
        intake: ``JobIntake`` of the term, which knows the accepted jobs.
        broadcast: Function that sends a message to all peers; it may be lost.
        metrics: Metrics in which arrivals and refusals are counted.

    Attributes:
        meter: ``ArrivalMeter`` of the jobs that arrive in this term.
        pressures: ``PoolPressure`` by name of the pool.
        turns: ``TeamTurns`` by name of the team.
        announced: Monotonic time in milliseconds since which a team is
            announced, by pool and team.
        refused: Number of refusals since then, by pool and team.
        admitted: Whether a token was taken for each job that was admitted by
            an answer and has not arrived, by identifier, oldest first.
        sent_ms: Monotonic time in milliseconds of the last notice.
        beyond_counts: Jobs beyond the rate, by team.
        refusal_counts: Refusals, by team.
    """

    def __init__(self, *, term, teams, intake, broadcast, metrics):
        self.term = term
        self.teams = teams
        self.intake = intake
        self.broadcast = broadcast
        self.metrics = metrics
        self.meter = arrivals.ArrivalMeter()
        self.pressures = {}
        self.turns = {}
        self.announced = {}
        self.refused = collections.Counter()
        self.admitted = collections.OrderedDict()
        self.sent_ms = float("-inf")
        self.beyond_counts = collections.Counter()
        self.refusal_counts = collections.Counter()

    def on_arrival(self, job):
        """Marks a job that has arrived, if it is beyond its team's rate.

        Args:
            job: ``Job`` that was added to the job table.
        """
        rule = self.rule_of(job.spec.team)
        if rule is None:
            return
        if self.admitted.pop(job.spec.id, False):
            return
        if self.turns_of(rule).take(job.spec.id, rule, arrived_ms(job)):
            return
        job.beyond_rate = True
        self.beyond_counts[rule.name] += 1
        self.metrics.count("team_arrivals_beyond_rate")

    def on_restored(self, jobs):
        """Marks jobs of earlier terms by the times at which they arrived.

        They take no tokens of this term.

        Args:
            jobs: Jobs of the journal, also those that have ended.
        """
        meter = arrivals.ArrivalMeter()
        for job in sorted(jobs, key=arrived_ms):
            rule = self.rule_of(job.spec.team)
            if rule is not None:
                job.beyond_rate = not meter.take(rule, arrived_ms(job))

    def rule_of(self, team):
        """Returns the newest rule of a team, or None without teams.

        Args:
            team: ``TeamRule`` at the acceptance of a job, or None.
        """
        if team is None or not self.teams.rules:
            return None
        return self.teams.rules.get(team.name, team)

    def turns_of(self, rule):
        """Returns the ``TeamTurns`` of a team."""
        turns = self.turns.get(rule.name)
        if turns is None:
            turns = team_admission.TeamTurns(meter=self.meter)
            self.turns[rule.name] = turns
        return turns

    def on_unplaced(self, step, waiting_step, now_ms):
        """Notes a step within its team's rate that could not be placed.

        Args:
            step: Step.
            waiting_step: Function that returns its ``WaitingStep``.
            now_ms: Monotonic time in milliseconds.
        """
        pool = step.job.rule.pool
        pressure = self.pressures.get(pool)
        if pressure is None:
            pressure = self.pressures[pool] = team_admission.PoolPressure()
        if pressure.last_ms == now_ms:
            return  # One such step in a pass is enough.
        if team_admission.is_threatened(waiting_step(step), now_ms):
            pressure.note(now_ms)

    def wait_ms(self, job, team, pool):
        """Returns None if a job is admitted, or when its turn comes.

        A job that was accepted is admitted again, and so is any job while the
        journal is not read up to now: a caller that repeats a call must not
        learn that it never runs.

        Args:
            job: Identifier of the job.
            team: ``TeamRule`` of its team.
            pool: Name of the pool of its queue.

        Returns:
            Milliseconds until the turn of the job, or None.
        """
        now_ms = clock.monotonic_ms()
        rule = self.rule_of(team)
        if rule is None or (pool, rule.name) not in self.announced:
            return None
        if job in self.admitted or self.intake.may_be_accepted(job):
            return None
        if not self.refuses(pool, rule.name, now_ms):
            self.admit(job, charged=False)
            return None
        wait_ms = self.turns_of(rule).ask(job, rule, now_ms)
        if wait_ms is None:
            self.admit(job, charged=True)
            return None
        self.count_refusal(pool, rule, wait_ms)
        return wait_ms

    def admit(self, job, *, charged):
        """Remembers an admitted job, so that it is not refused later.

        Args:
            job: Identifier of the job.
            charged: Whether a token was taken for it.
        """
        self.admitted[job] = charged
        if len(self.admitted) > MAX_ADMITTED:
            self.admitted.popitem(last=False)

    def refuses(self, pool, team, now_ms):
        """Whether jobs of a team beyond its rate are refused in a pool."""
        since_ms = self.announced.get((pool, team))
        pressure = self.pressures.get(pool)
        return (
            since_ms is not None
            and now_ms - since_ms >= SETTLE_MS
            and pressure is not None
            and pressure.full(now_ms)
        )

    def count_refusal(self, pool, rule, wait_ms):
        """Counts a refusal and logs the first one since the announcement."""
        self.metrics.count("team_refusals")
        self.refusal_counts[rule.name] += 1
        self.refused[pool, rule.name] += 1
        if self.refused[pool, rule.name] == 1:
            LOG.warning(
                "Jobs of a team beyond its rate are refused from now on, as "
                "the pool is full; add workers, or raise the team's weight, "
                "or let its callers send less.",
                fields={
                    "team": rule.name,
                    "pool": pool,
                    "jobs_per_s": rule.weight,
                    "retry_after_ms": round(wait_ms),
                },
            )

    async def run(self):
        """Keeps the entry hosts informed until the term ends."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            self.announce(clock.monotonic_ms())

    def announce(self, now_ms):
        """Announces the teams beyond their rate in each pool lately full.

        A notice is sent when they change, and again after ``RESEND_MS`` while
        there are any.

        Args:
            now_ms: Monotonic time in milliseconds.
        """
        if not self.teams.rules and not self.announced:
            return
        current = self.teams_to_announce(now_ms)
        ended = self.announced.keys() - current
        begun = current - self.announced.keys()
        for pool, team in ended:
            self.log_end(pool, team, now_ms - self.announced.pop((pool, team)))
        for key in begun:
            self.announced[key] = now_ms
        due = current and now_ms - self.sent_ms >= RESEND_MS
        if begun or ended or due:
            self.sent_ms = now_ms
            self.broadcast(self.notice())
        self.meter.drop_idle(self.teams.rules, now_ms)
        for name in self.turns.keys() - self.meter.buckets.keys():
            del self.turns[name]

    def teams_to_announce(self, now_ms):
        """Returns the pairs of a full pool and a team beyond its rate."""
        pools = [k for k, v in self.pressures.items() if v.lately_full(now_ms)]
        if not pools or not self.teams.rules:
            return set()
        beyond = self.meter.teams_beyond(now_ms)
        return {(pool, team) for pool in pools for team in beyond}

    def notice(self):
        """Returns the notice with the teams that are announced now."""
        teams = {}
        for pool, team in sorted(self.announced):
            teams.setdefault(pool, []).append(team)
        return messages.AdmissionNotice(self.term, teams)

    def log_end(self, pool, team, lasted_ms):
        """Logs that a team is not refused any more, if it was."""
        refused = self.refused.pop((pool, team), 0)
        if refused:
            LOG.info(
                "Jobs of a team are not refused any more, as the pool has "
                "room or the team keeps to its rate; nothing is to be done.",
                fields={
                    "team": team,
                    "pool": pool,
                    "refused": refused,
                    "lasted_ms": round(lasted_ms),
                },
            )

    def gauges(self):
        """Returns counts of this term by metric and team."""
        usage = team_shares.total_by_team(self.teams.usage.cores_by_pool)
        shown = team_shares.by_shown_team
        return {
            "team_beyond_rate": shown(self.beyond_counts, usage),
            "team_refused": shown(self.refusal_counts, usage),
        }


def arrived_ms(job):
    """Returns the monotonic time in ms at which the cell received a job."""
    return job.arrived_ms + job.spec.waited_ms
