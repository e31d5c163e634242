"""The workers of a term: their registry entries, links and records."""

import asyncio
import math

from cicadafold import clock
from cicadafold.dispatch import registry_tail
from cicadafold.dispatch import runs
from cicadafold.dispatch import worker_link
from cicadafold.telemetry import logs

__all__ = ["WorkerTable"]

# A worker that is removed from the registry may still be given tasks for this
# time. Entries that expired in an outage of the store are back by then.
UNLISTED_GRACE_S = 2.3
RECORD_PERIOD_S = 0.2
# Time after which the time that is left until a lapse is recorded anew.
LAPSE_RECORD_MS = 1000.0

LOG = logs.get_logger("workers")


class WorkerTable:
    """Workers of a term by name, each with its link.

    A worker is open if it may be given tasks, otherwise closed. The journal
    records the closed workers with the tasks that they may run, for the next
    term. A closed worker is therefore opened only after the record that lists
    it as open is durable. The same holds for the lease of a worker that is
    recorded as one that this term has not heard.

    Args:
        term: Number of the term.
        registry: Reader of the registry of workers.
        make_client: Function that returns the client of a worker, from its
            report and the number of the term.
        lease: ``LeaseTimes`` of the term.
        journal: Writer of progress, which also records the workers.
        term_started_ms: Monotonic time of the term's start, in milliseconds.
        containment: ``Containment`` of the term.
        team_usage: ``TeamUsage`` over all workers.

    Attributes:
        workers: Workers by name.
        links: Links by name of the worker.
        changed: Whether the workers have changed since they were recorded.
        started: Whether the link of a new worker is run at once.
        opening: Closed workers that are opened once their newest record is
            durable.
        granting: Those whose leases can be extended then.
        lapses_due_ms: Monotonic time in milliseconds at which the time left
            until leases lapse is recorded anew.
        events: Handler of the events of the links; set before the first
            report.
        inherited_runs: Run attempts that earlier terms may have left.
        spawn: Function that runs a coroutine as a task.
        wake: Function called when free capacity may have increased.
    """

    def __init__(
        self,
        *,
        term,
        registry,
        make_client,
        lease,
        journal,
        term_started_ms,
        containment,
        team_usage=None,
    ):
        self.team_usage = team_usage
        self.containment = containment
        self.term = term
        self.make_client = make_client
        self.lease = lease
        self.journal = journal
        self.term_started_ms = term_started_ms
        self.workers = {}
        self.links = {}
        self.changed = False
        self.started = False
        self.opening = set()
        self.granting = set()
        self.lapses_due_ms = math.inf
        self.events = None
        self.inherited_runs = None
        self.spawn = None
        self.wake = None
        self.registry = registry_tail.RegistryTail(
            source=registry,
            on_report=self.on_report,
            on_removed=self.on_removed,
        )

    def start_links(self):
        """Runs the links of all workers, and of those added later."""
        self.started = True
        for link in self.links.values():
            self.spawn(link.run())

    def close(self):
        """Closes all links."""
        for link in self.links.values():
            link.closed = True

    def on_report(self, report):
        """Adds the worker of a report, or updates it."""
        worker = self.workers.get(report.id)
        if worker is None:
            self.add(report)
            return
        if report.draining and not worker.report.draining:
            self.changed = True
            LOG.info(
                "A worker is draining; it gets no new tasks.",
                fields={"worker": report.id},
            )
        if report.address != worker.report.address:
            self.links[report.id].client = self.make_client(report, self.term)
        worker.report = report
        worker.reported_ms = clock.monotonic_ms()
        worker.labels = frozenset(report.labels)
        worker.listed = True
        self.wake()

    def add(self, report):
        """Adds the worker of a report, with its link."""
        worker = runs.Worker(
            report=report,
            now_ms=clock.monotonic_ms(),
            team_usage=self.team_usage,
        )
        worker.known_since_ms = max(
            self.term_started_ms, worker.known_since_ms
        )
        worker.closed_to_leases = (
            report.id in self.inherited_runs.unheard.since
        )
        self.workers[report.id] = worker
        link = worker_link.WorkerLink(
            worker=worker,
            client=self.make_client(report, self.term),
            lease=self.lease,
            events=self.events,
            journal=self.journal,
            containment=self.containment,
        )
        self.links[report.id] = link
        self.changed = True
        LOG.info(
            "A worker was added to the workers of the term.",
            fields={
                "worker": report.id,
                "pool": report.pool,
                "address": report.address,
                "born_ms": report.born_ms,
            },
        )
        if self.started:
            self.spawn(link.run())

    def on_removed(self, name):
        """Handles the removal of a worker from the registry."""
        LOG.info(
            "A worker was removed from the registry.",
            fields={"worker": name},
        )
        self.spawn(self.unlist_after_grace(name))

    async def unlist_after_grace(self, name):
        """Stops the use of a worker if it is not listed again by then.

        Args:
            name: Name of a worker that was removed from the registry.
        """
        await asyncio.sleep(UNLISTED_GRACE_S)
        if name not in self.registry.names and name in self.workers:
            self.workers[name].listed = False

    def on_answering_changed(self, worker, *, answers):
        """Handles a worker that answers again or has become silent."""
        if answers:
            self.inherited_runs.on_worker_answered(worker)
        self.changed = True

    def add_inherited(self, recorded):
        """Adds workers of the last term that the registry does not list.

        They may still run tasks; they get no new ones until they are listed.

        Args:
            recorded: Record of the workers of the last term, or None.
        """
        for known in recorded.workers if recorded else ():
            if known.report.id not in self.workers:
                self.add(known.report)
                self.workers[known.report.id].listed = False

    async def record_changes(self):
        """Records the workers in the journal whenever they have changed."""
        while True:
            self.remove_lapsed()
            self.inherited_runs.report_wait()
            silent = any(
                map(self.inherited_runs.is_long_silent, self.open_workers)
            )
            due = clock.monotonic_ms() >= self.lapses_due_ms
            if self.changed or silent or due:
                self.record_workers(self.inherited_runs.worker_records())
                self.changed = False
            await asyncio.sleep(RECORD_PERIOD_S)

    @property
    def open_workers(self):
        """Workers that may be given tasks according to their records."""
        return [x for x in self.workers.values() if not x.closed_to_starts]

    def record_workers(self, listed):
        """Writes the records of the workers, and closes or opens workers.

        Workers whose record names their tasks, or says that they were not
        heard, are closed at once. The others are opened when the record is
        durable.

        Args:
            listed: Record of each worker.
        """
        batch = self.journal.record_workers(listed)
        self.lapses_due_ms = math.inf
        if any(known.lapse_in_ms for known in listed):
            self.lapses_due_ms = clock.monotonic_ms() + LAPSE_RECORD_MS
        self.opening.clear()
        self.granting.clear()
        for known in listed:
            worker = self.workers[known.report.id]
            worker.open_batch = batch
            if known.unheard_since:
                worker.closed_to_leases = True
            elif worker.closed_to_leases:
                self.granting.add(worker)
            if known.tasks is not None or known.unheard_since:
                worker.closed_to_starts = True
            elif worker.closed_to_starts:
                self.opening.add(worker)

    def open_inherited(self):
        """Opens the workers that were open in the last term's record.

        Those that it names as unheard are closed, to leases as well.
        """
        for name in self.inherited_runs.open_names & set(self.workers):
            self.workers[name].closed_to_starts = False
        for name in self.inherited_runs.unheard.since.keys() & set(
            self.workers
        ):
            self.workers[name].closed_to_leases = True

    async def open_when_recorded(self):
        """Opens workers whenever their records have become durable."""
        while True:
            await self.journal.batch_written.wait()
            durable = self.journal.durable_batch
            ready = [x for x in self.opening if x.open_batch <= durable]
            for worker in ready:
                worker.closed_to_starts = False
                self.opening.discard(worker)
            for worker in list(self.granting):
                if worker.open_batch <= durable:
                    worker.closed_to_leases = False
                    self.granting.discard(worker)
            if ready:
                self.wake()

    def remove_lapsed(self):
        """Removes workers that are not listed and whose leases have lapsed."""
        for name, worker in list(self.workers.items()):
            if worker.lapsed and not worker.listed:
                LOG.info(
                    "A worker was removed: it is not in the registry and its "
                    "leases have lapsed.",
                    fields={"worker": name},
                )
                self.links.pop(name).closed = True
                del self.workers[name]
                self.changed = True
