"""Model-based test of the caps of teams, with takeovers and lost answers.

Starts, ends, losses of answers and of workers, restarts, takeovers and
changes of caps happen in any order. After each start, what the workers really
run is compared with the cap.
"""

from unittest import mock

import hypothesis
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from cicadafold import clock
from cicadafold.dispatch import runs
from cicadafold.dispatch.tests import team_cell
from cicadafold.jobs import model

TEAMS = ("a", "b")
WORKERS = 4
OVERAGE = 0.1
# Caps in thousandths of a core; 0 is no limit.
CAPS = (0, 2000, 4000, 8000)
SILENCE_MS = 700.0

teams = st.sampled_from(TEAMS)
workers = st.sampled_from([f"w{number}" for number in range(WORKERS)])
caps = st.sampled_from(CAPS)
picks = st.integers(0, 1000)


class CapModel(stateful.RuleBasedStateMachine):
    """A cell whose events hypothesis chooses.

    Attributes:
        cell: The ``Cell``.
        caps: Caps in force, in thousandths of a core by name of the team.
        version: Version of the configuration.
        unread: Identifiers of jobs that the newest term has not read.
        sent: Run attempts whose start command was sent and not executed, by
            name of the worker; the command may still arrive.
    """

    def __init__(self):
        super().__init__()
        self.caps = {"a": 4000, "b": 8000}
        self.cell = team_cell.Cell(
            caps=self.caps, workers=[3000] * WORKERS, overage=OVERAGE
        )
        self.patch = mock.patch.object(
            clock, "monotonic_ms", lambda: self.cell.now_ms
        )
        self.patch.start()
        self.cell.start_first_term()
        self.version = 1
        self.unread = set()
        self.sent = {name: {} for name in self.cell.workers}

    def teardown(self):
        """Restores the clock."""
        self.patch.stop()

    @stateful.rule(
        team=teams,
        tasks=st.integers(1, 6),
        cores=st.sampled_from((500, 1000, 2500)),
        gang=st.booleans(),
        urgent=st.booleans(),
    )
    def submit(self, team, tasks, cores, gang, urgent):
        """Accepts a job."""
        self.cell.submit(
            team, tasks=tasks, cores=cores, gang=gang, urgent=urgent
        )

    @stateful.rule(outcomes=st.lists(picks, min_size=1, max_size=12))
    def fill(self, outcomes):
        """Fills the caps of both teams, and lets a gang wait in each."""
        for team in TEAMS:
            self.cell.submit(team, tasks=9, cores=1000)
            self.cell.submit(team, tasks=2, cores=1000, gang=True)
        self.make_pass(outcomes)

    @stateful.rule(outcomes=st.lists(picks, min_size=1, max_size=12))
    def make_pass(self, outcomes):
        """Places tasks; some start commands or their answers are lost.

        After two passes without a lost command, no team with room waits: the
        first pass may still hold steps back for a gang that may now start.
        """
        for turn in range(3):
            for number, run in enumerate(self.cell.term.make_pass()):
                outcome = outcomes[number % len(outcomes)] % 8
                self.send(run, 0 if turn else outcome)
            self.cell.now_ms += 1.0
        self.check_room()

    def send(self, run, outcome):
        """Sends a start command to the real worker of a run attempt."""
        name = run.worker.report.id
        real = self.cell.workers[name]
        if outcome < 5 and real.reachable:
            self.cell.accept(run)
        elif outcome in (5, 6) and real.reachable:
            self.cell.execute(run)
            self.cell.lose_answer(run)
        else:
            self.sent[name][run.key] = self.cell.now_ms
            self.cell.lose_answer(run)
        self.check_cap(run)

    @stateful.rule(name=workers, pick=picks)
    def deliver_late(self, name, pick):
        """Executes a start command that was under way, unless fenced."""
        late = self.sent[name]
        if not late:
            return
        key = sorted(late, key=str)[pick % len(late)]
        sent_ms = late.pop(key)
        real = self.cell.workers[name]
        term = (key[1] - 1) // 1_000_000 + 1
        age_ms = self.cell.now_ms - sent_ms
        # The platform carries no command out later than this, and a worker
        # refuses one whose lease has ended or whose fence is too low.
        if age_ms < min(runs.MAX_START_DELAY_MS, team_cell.LEASE.lease_ms):
            if real.fence <= term and key not in real.running:
                real.running[key] = self.cell.specs[key[0].job]
                real.lease_ends_ms = max(
                    real.lease_ends_ms, sent_ms + team_cell.LEASE.lease_ms
                )

    @stateful.rule(name=workers, pick=picks, failed=st.booleans())
    def end(self, name, pick, failed):
        """Ends a run attempt on a worker."""
        real = self.cell.workers[name]
        if real.running:
            key = sorted(real.running, key=str)[pick % len(real.running)]
            kind = model.EndKind.FAILED if failed else model.EndKind.DONE
            real.end(key, kind)

    @stateful.rule(name=workers)
    def renew(self, name):
        """Renews the lease of a worker, or gets no answer."""
        if self.cell.workers[name].reachable:
            self.cell.renew(name, acknowledge=not self.unread)
        else:
            self.cell.miss(name)

    @stateful.rule()
    def renew_all(self):
        """Renews the leases of all workers; carries out the stops."""
        for name in self.cell.workers:
            self.renew(name)
            self.stop(name)
            self.renew(name)

    @stateful.rule(name=workers)
    def stop(self, name):
        """Carries out the stops that a reachable worker was sent."""
        real = self.cell.workers[name]
        if not real.reachable:
            return
        for run in list(self.cell.term.workers[name].runs.values()):
            if not run.stop_requested:
                continue
            if run.state is runs.RunState.STARTING:
                continue
            # A stop that was answered also stops a start under way, in this
            # incarnation of the worker.
            self.sent[name].pop(run.key, None)
            if run.key in real.running:
                real.end(run.key, model.EndKind.STOPPED)
            run.state = runs.RunState.STOPPING
            run.stop_answered_ms = self.cell.now_ms
        self.cell.now_ms += 1.0

    @stateful.rule(name=workers, reachable=st.booleans())
    def change_link(self, name, reachable):
        """Cuts a worker off until that is recorded, or connects it again."""
        self.cell.workers[name].reachable = reachable
        self.pass_time(2 * SILENCE_MS)

    @stateful.rule(name=workers)
    def restart(self, name):
        """Restarts a worker; calls to it fail at once."""
        self.cell.workers[name].restart()
        self.cell.miss(name)

    @stateful.rule(duration_ms=st.sampled_from((50.0, 700.0, 4000.0)))
    def pass_time(self, duration_ms):
        """Lets time pass, in which reachable workers are renewed."""
        left_ms = duration_ms
        while left_ms > 0:
            step_ms = min(left_ms, SILENCE_MS)
            left_ms -= step_ms
            self.cell.pass_time(step_ms)
            for name in self.cell.workers:
                self.renew(name)
        self.cell.known_workers = self.cell.term.record_workers()

    @stateful.rule(team=teams, cap=caps)
    def change_cap(self, team, cap):
        """Publishes a configuration with another cap of a team."""
        self.caps = self.caps | {team: cap}
        self.version += 1
        self.cell.newest = team_cell.configuration(self.caps, self.version)
        self.cell.term.configure(self.cell.newest)

    @stateful.rule(pick=picks)
    def cancel(self, pick):
        """Cancels a job."""
        table = self.cell.term.job_table
        if table.active:
            names = sorted(table.active)
            table.cancel(table.active[names[pick % len(names)]])

    @stateful.rule(
        unread=st.booleans(),
        answering=st.sets(workers),
        outcomes=st.lists(picks, min_size=1, max_size=12),
    )
    def take_over(self, unread, answering, outcomes):
        """Replaces the scheduler; some workers answer it before it starts.

        The last job may not be read yet. Only jobs that arrive later may be
        started until all workers have answered.
        """
        for name, found in self.sent.items():
            for run in self.cell.term.workers[name].runs.values():
                if run.state is runs.RunState.STARTING:
                    found[run.key] = self.cell.now_ms
        jobs = sorted(self.cell.term.job_table.active)
        self.unread |= set(jobs[-1:] if unread else ())
        self.unread -= {
            job for job in self.unread if not self.on_reachable_only(job)
        }
        self.cell.all_read = not self.unread
        self.cell.take_over(unread=self.unread)
        for name in sorted(answering):
            self.renew(name)
        self.fill(outcomes)

    def on_reachable_only(self, job):
        """Whether workers that answer run all that a job runs.

        A job that is not read while a worker without an answer runs its
        tasks is not counted, see docs/design/team-caps.md.
        """
        return all(
            real.reachable
            for real in self.cell.workers.values()
            if any(key[0].job == job for key in real.running)
            or any(key[0].job == job for key in self.sent[real.name])
        )

    @stateful.rule()
    def read(self):
        """Reads the jobs that are not read."""
        for job in sorted(self.unread):
            self.cell.read(job)
        self.unread = set()
        self.cell.all_read = True

    def check_cap(self, run):
        """Checks what the team of a run attempt really uses (C1).

        Only a task that is larger than the whole cap needs the one task that
        C1 permits beyond the overage, so the others are checked without it.
        """
        cap = self.caps[run.team]
        if not cap:
            return
        bound = cap * (1 + OVERAGE)
        assert self.cell.used(run.team) <= bound + run.charge.cores_milli
        if run.charge.cores_milli <= cap:
            assert self.cell.used(run.team) <= bound

    def check_room(self):
        """Checks that no team with room under its cap waits (C5)."""
        term = self.cell.term
        if term.placer.reservations.reserved or term.placer.isolation.units:
            return
        now_ms = self.cell.now_ms
        free = max(
            (
                worker.scheduling_view().cores_milli
                for worker in term.workers.values()
                if worker.usable(now_ms)
            ),
            default=0,
        )
        for _, step, tasks in term.placer.waiting_steps(now_ms):
            team = step.job.spec.team.name
            need = step.spec.need.cores_milli
            if (
                step.spec.gang
                or need > free
                or team in term.teams.holds.active
            ):
                continue
            if any(task.unit.crashes is not None for task in tasks):
                continue
            cap = self.caps[team]
            used = term.teams.used(team)[0]
            assert cap and (used + need > cap), "has room and waits"


TestCapModel = CapModel.TestCase
TestCapModel.settings = settings(
    max_examples=200,
    stateful_step_count=30,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
