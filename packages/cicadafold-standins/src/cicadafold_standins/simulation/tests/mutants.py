"""Faults put into the product, each of which the explorer has to find.

Run as a program with the name of a mutant, the first seed and their number;
it prints the first seed that finds the mutant. ``none`` is the product as it
is.

Of those that stand for faults which the explorer has found, some need more
seeds than a test can play: ``closed_work``, ``final_states``,
``numbers_are``, ``stalls_are``, ``unknown_work``, ``workers_are``. Unit
tests fail for each of them.
"""

import logging
import math
import sys

import msgspec

from cicadafold.dispatch import inherited_runs
from cicadafold.dispatch import job_table
from cicadafold.dispatch import runs
from cicadafold.dispatch import term
from cicadafold.dispatch import worker_events
from cicadafold.dispatch import worker_link
from cicadafold.election import terms
from cicadafold.journal import progress_writer
from cicadafold.platform import log_store
from cicadafold_standins.simulation import explore

__all__ = ["MUTANTS", "SECONDS"]

MUTANTS = {}
SECONDS = 20.0


def mutant(function):
    """Registers a function that puts a fault into the product."""
    MUTANTS[function.__name__] = function
    return function


@mutant
def unknown_work_is_stopped():
    """Takes work of a job that is not read yet for work of no job."""
    job_table.JobTable.is_unknown = lambda self, name: False


@mutant
def numbers_are_sent_always():
    """Acknowledges ends also long after the last answer."""
    worker_link.WorkerLink.acknowledgement_to_send = lambda self, now_ms: (
        self.worker.acknowledged
    )


@mutant
def workers_are_used_unrecorded():
    """Starts tasks on workers that are recorded as given no new ones."""
    runs.Worker.closed_to_starts = property(
        lambda self: False, lambda self, _: None
    )


@mutant
def stalls_are_not_noticed():
    """Goes on after a freeze where it stopped."""
    term.Term.commands_allowed = lambda self: True


@mutant
def ends_are_not_recorded_first():
    """Acknowledges ends before they are in the journal."""
    progress_writer.ProgressWriter.durable_batch = property(
        lambda self: math.inf, lambda self, value: None
    )


@mutant
def closed_work_is_acknowledged():
    """Acknowledges ends of closed work before the close is recorded."""
    worker_events.WorkerEventHandler.on_closed_task_end = lambda self, end: 0


@mutant
def lost_orders_are_forgotten():
    """Takes an order without an answer for one that was not carried out."""

    def on_unconfirmed_start(self, run, error):
        self.events.on_run_gone(self.worker, run, "unreachable")

    worker_link.WorkerLink.on_unconfirmed_start = on_unconfirmed_start


@mutant
def leases_are_not_waited_for():
    """Starts the tasks of a silent worker elsewhere at once."""

    def mark_silent(self, now_ms, longest_ms):
        self.silent_since_ms = self.lapse_at_ms = now_ms

    runs.Worker.mark_silent = mark_silent


@mutant
def unanswering_workers_are_not_inherited():
    """Starts tasks in a new term before all workers have told theirs."""
    inherited_runs.InheritedRuns.all_runs_known = lambda self, pool: True


@mutant
def journal_is_not_fenced():
    """Lets the scheduler of an earlier term record further progress."""

    append = log_store.LogStore.append

    def without_writer(self, *found, writer=None, **others):
        return append(self, *found, **others)

    log_store.LogStore.append = without_writer


@mutant
def claims_are_not_numbered_by_the_log():
    """Counts terms from what is known, instead of by the claim's offset."""

    def apply_record(self, key, value, offset):
        if key == terms.KEY and value:
            newest = 0 if self.newest is None else self.newest.term
            claim = terms.decode(value)
            self.apply_claim(msgspec.structs.replace(claim, term=newest + 1))

    terms.ClaimsTail.apply_record = apply_record


@mutant
def final_states_are_shown_at_once():
    """Shows a job's end before it is recorded."""
    state_of = term.Term.job_state

    def at_once(self, job_id):
        job = self.job_table.jobs.get(job_id)
        if job is not None and job.state.final:
            return job.state
        return state_of(self, job_id)

    term.Term.job_state = at_once


@mutant
def rooms_are_given_back_when_stopped():
    """Gives back the room of a run as soon as its stop is answered."""
    stop_once = worker_link.WorkerLink.send_stop

    async def at_once(self, run):
        settled = await stop_once(self, run)
        if settled:
            self.events.on_run_gone(self.worker, run, "stopped")
        return settled

    worker_link.WorkerLink.send_stop = at_once


def main():
    """Plays seeds until one finds the mutant, and prints it."""
    logging.disable(logging.CRITICAL)
    name, first, count = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    if name != "none":
        MUTANTS[name]()
    for seed in range(first, first + count):
        report = explore.explore(seed, SECONDS)
        if report.broken:
            print(seed, *report.broken[:5], sep="\n")
            return


if __name__ == "__main__":
    main()
