"""Mutants of the product: faults that the explorer has to find.

Run as a program with the name of a mutant, the first seed and the number of
seeds; it prints the first seed that finds the mutant. ``none`` stands for
the unchanged product.

Some mutants, which stand for faults that the explorer once found, need more
seeds than a test can run: ``acknowledgements_are_always_sent``,
``confirmations_count_from_their_arrival``,
``ends_of_closed_tasks_are_acknowledged``,
``final_states_are_shown_unrecorded``, ``stalls_are_not_detected``,
``tasks_of_unread_jobs_are_stopped`` and
``workers_closed_to_starts_are_used``. For each of them a unit test fails.
``keys_never_expire`` is not found by seeds 2, 5 and 8, as few cuts last longer
than ``revokeMs``; ``test_cut_off_host_stops_to_accept_a_withdrawn_key`` in
``test_keys.py`` fails for it.
"""

import logging
import math
import sys

import msgspec

from cicadafold import clock
from cicadafold.configuration import freshness
from cicadafold.configuration import holder
from cicadafold.dispatch import crash_tracking
from cicadafold.dispatch import inherited_runs
from cicadafold.dispatch import job_intake
from cicadafold.dispatch import job_table
from cicadafold.dispatch import runs
from cicadafold.dispatch import team_accounting
from cicadafold.dispatch import term
from cicadafold.dispatch import worker_events
from cicadafold.dispatch import worker_link
from cicadafold.dispatch import worker_table
from cicadafold.election import terms
from cicadafold import exception
from cicadafold.job_service import service
from cicadafold.journal import progress_writer
from cicadafold.journal import records
from cicadafold.platform import log_store
from cicadafold.scheduling import blame
from cicadafold_standins.simulation import explore

__all__ = ["MUTANTS", "SECONDS"]

MUTANTS = {}
SECONDS = 20.0


def mutant(function):
    """Registers a function that patches a fault into the product."""
    MUTANTS[function.__name__] = function
    return function


@mutant
def tasks_of_unread_jobs_are_stopped():
    """Treats tasks of jobs that are not read yet as belonging to no job."""
    job_table.JobTable.is_unknown = lambda self, name: False


@mutant
def acknowledgements_are_always_sent():
    """Acknowledges ends even long after the worker's last answer."""
    worker_link.WorkerLink.acknowledgement_to_send = lambda self, now_ms: (
        self.worker.acknowledged
    )


@mutant
def workers_closed_to_starts_are_used():
    """Starts tasks on workers whose record closes them to starts."""
    runs.Worker.closed_to_starts = property(
        lambda self: False, lambda self, _: None
    )


@mutant
def stalls_are_not_detected():
    """Keeps sending commands after the process was frozen."""
    term.Term.commands_allowed = lambda self: True


@mutant
def ends_are_acknowledged_unrecorded():
    """Acknowledges ends before they are durable in the journal."""
    progress_writer.ProgressWriter.durable_batch = property(
        lambda self: math.inf, lambda self, value: None
    )


@mutant
def ends_of_closed_tasks_are_acknowledged():
    """Acknowledges ends of closed tasks before the close is recorded."""
    worker_events.WorkerEventHandler.on_closed_task_end = lambda self, end: 0


@mutant
def unconfirmed_starts_are_forgotten():
    """Treats a start command without an answer as not applied."""

    def on_unconfirmed_start(self, run, error):
        self.events.on_run_gone(self.worker, run, "unreachable")

    worker_link.WorkerLink.on_unconfirmed_start = on_unconfirmed_start


@mutant
def leases_of_silent_workers_are_ignored():
    """Starts the tasks of a silent worker elsewhere before its lease ends."""

    def mark_silent(self, now_ms, longest_ms):
        self.silent_since_ms = self.lapse_at_ms = now_ms

    runs.Worker.mark_silent = mark_silent


@mutant
def inherited_runs_are_not_awaited():
    """Starts tasks in a new term before all workers reported their runs."""
    inherited_runs.InheritedRuns.all_runs_known = lambda self, pool: True


@mutant
def journal_is_not_fenced():
    """Accepts journal records of the scheduler of an earlier term."""

    append = log_store.LogStore.append

    def without_writer(self, *found, writer=None, **others):
        return append(self, *found, **others)

    log_store.LogStore.append = without_writer


@mutant
def terms_are_counted_locally():
    """Numbers terms from the last known one, not by the claim's offset."""

    def apply_record(self, key, value, offset):
        if key == terms.KEY and value:
            newest = 0 if self.newest is None else self.newest.term
            claim = terms.decode(value)
            self.apply_claim(msgspec.structs.replace(claim, term=newest + 1))

    terms.ClaimsTail.apply_record = apply_record


@mutant
def final_states_are_shown_unrecorded():
    """Shows the final state of a job before it is recorded."""
    state_of = job_intake.JobIntake.state

    def at_once(self, job_id, team=""):
        job = self.job_table.jobs.get(job_id)
        if job is not None and job.state.final:
            return job.state
        return state_of(self, job_id, team)

    job_intake.JobIntake.state = at_once


@mutant
def resources_are_released_at_stop_answer():
    """Releases the resources of a run when its stop command is answered."""
    send_stop = worker_link.WorkerLink.send_stop

    async def at_once(self, run):
        settled = await send_stop(self, run)
        if settled:
            self.events.on_run_gone(self.worker, run, "stopped")
        return settled

    worker_link.WorkerLink.send_stop = at_once


@mutant
def old_configurations_are_trusted():
    """Says that a queue does not exist, however old the knowledge is."""
    holder.Holder.may_be_outdated = property(lambda self: False)


@mutant
def confirmations_count_from_their_arrival():
    """Takes an answer as news of the time at which it came."""
    learn_end = holder.Holder.learn_end

    def on_arrival(self, end, at_ms):
        learn_end(self, end, clock.boot_ms())

    holder.Holder.learn_end = on_arrival


@mutant
def keys_never_expire():
    """Accepts keys however old the knowledge of the configuration is."""
    freshness.Freshness.keys_expired = property(lambda self: False)


@mutant
def new_hosts_count_as_confirmed():
    """Takes the start of a process for news of the configuration."""
    init = freshness.Freshness.__init__

    def confirm_at_once(self, **options):
        init(self, **options)
        self.confirm(clock.boot_ms())

    freshness.Freshness.__init__ = confirm_at_once


@mutant
def caps_are_forgotten_at_takeovers():
    """Starts the tasks of inherited jobs whatever their team uses."""
    limit = team_accounting.TeamAccounting.limit

    def without_inherited(self, step, tasks):
        return tasks if step.job.inherited else limit(self, step, tasks)

    team_accounting.TeamAccounting.limit = without_inherited


@mutant
def refused_jobs_are_recorded():
    """Answers with 429 although the job is accepted."""
    submit = service.JobService.submit

    async def record_anyway(self, spec, *, deadline_s):
        try:
            await submit(self, spec, deadline_s=deadline_s)
        except exception.Overloaded:
            key, value = records.accept_record(spec)
            await self.record(key, value, deadline_s)
            raise

    service.JobService.submit = record_anyway


@mutant
def losses_are_not_counted():
    """Starts a task again however often its workers crashed."""
    crash_tracking.CrashTracker.on_worker_lost = lambda *args, **kwargs: None


@mutant
def new_terms_forget_losses():
    """Restores jobs without the workers that their tasks were lost with."""
    apply_progress = records.apply_progress

    def without_crashes(job, progress):
        apply_progress(job, msgspec.structs.replace(progress, crashes=[]))

    records.apply_progress = without_crashes


@mutant
def neighbours_are_blamed():
    """Gives up each task that was lost with two workers."""
    blame.CULPRIT_LOSSES = blame.MAX_LOSSES = blame.ISOLATED_LOSSES


@mutant
def larger_capacity_is_believed():
    """Ignores that a worker offers less than before."""
    on_report = worker_table.WorkerTable.on_report

    def with_larger(self, report):
        known = self.workers.get(report.id)
        if known is not None:
            larger = max(report.capacity, known.report.capacity, key=cores_of)
            report = msgspec.structs.replace(report, capacity=larger)
        on_report(self, report)

    worker_table.WorkerTable.on_report = with_larger


def cores_of(capacity):
    """Returns the cores of a capacity, in thousandths."""
    return capacity.cores_milli


def main():
    """Runs seeds until one finds the mutant, and prints that seed."""
    logging.disable(logging.CRITICAL)
    name, first, count = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    if name != "none":
        MUTANTS[name]()
    for seed in range(first, first + count):
        report = explore.explore(seed, SECONDS)
        if report.violations:
            print(seed, *report.violations[:5], sep="\n")
            return


if __name__ == "__main__":
    main()
