"""The workers of a term: registry, links, and the record of them."""

import asyncio

from cicadafold import clock
from cicadafold.dispatch import registry_tail
from cicadafold.dispatch import runs
from cicadafold.dispatch import worker_link
from cicadafold.telemetry import logs

__all__ = ["WorkerTable"]

# A worker that left the registry while it answers is used this long, as
# entries that lapsed in an outage of the store come back.
UNLISTED_GRACE_S = 2.3
RECORD_PERIOD_S = 0.2

LOG = logs.get_logger("workers")


class WorkerTable:
    """Workers by name, each with its link.

    Args:
        term: Number of the term.
        registry: Reader of the registry of workers.
        make_calls: Function that returns the client of a worker.
        lease: Times of leases.
        journal: Writer of progress, which also records the workers.
        begun_ms: Monotonic time of the term's begin.

    Attributes:
        events: Receiver of what the links notice; set before the first
            report.
        inheritance: Tells what earlier terms may have left.
        spawn: Function that runs a coroutine as a task.
        wake: Function called when room may have become free.
        started: Whether links are run as soon as they are made.
        opening: Workers that may be given runs once that is recorded.
    """

    def __init__(
        self, *, term, registry, make_client, lease, journal, term_started_ms
    ):
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
        """Runs the links of all workers, and of those that come."""
        self.started = True
        for link in self.links.values():
            self.spawn(link.run())

    def close(self):
        """Closes all links."""
        for link in self.links.values():
            link.closed = True

    def on_report(self, report):
        """Takes a worker's report."""
        worker = self.workers.get(report.id)
        if worker is None:
            self.add(report)
            return
        if report.draining and not worker.report.draining:
            self.changed = True
            LOG.info("A worker is leaving.", fields={"worker": report.id})
        if report.address != worker.report.address:
            self.links[report.id].client = self.make_client(report, self.term)
        worker.report = report
        worker.reported_ms = clock.monotonic_ms()
        worker.labels = frozenset(report.labels)
        worker.listed = True
        self.wake()

    def add(self, report):
        """Adds a worker and its link."""
        worker = runs.Worker(report=report, now_ms=clock.monotonic_ms())
        worker.known_since_ms = max(
            self.term_started_ms, worker.known_since_ms
        )
        self.workers[report.id] = worker
        link = worker_link.WorkerLink(
            worker=worker,
            client=self.make_client(report, self.term),
            lease=self.lease,
            events=self.events,
            journal=self.journal,
        )
        self.links[report.id] = link
        self.changed = True
        LOG.info(
            "A worker is known.",
            fields={"worker": report.id, "pool": report.pool},
        )
        if self.started:
            self.spawn(link.run())

    def on_removed(self, name):
        """Notes that a worker has left the registry."""
        LOG.info("A worker left the registry.", fields={"worker": name})
        self.spawn(self.unlist_after_grace(name))

    async def unlist_after_grace(self, name):
        """Takes a worker out of use unless its entry comes back."""
        await asyncio.sleep(UNLISTED_GRACE_S)
        if name not in self.registry.names and name in self.workers:
            self.workers[name].listed = False

    def on_answering_changed(self, worker, *, answers):
        """Notes that a worker answers, or fell silent."""
        if answers:
            self.inherited_runs.on_worker_answered(worker.report.id)
        self.changed = True

    def add_inherited(self, recorded):
        """Takes workers of the last term that the registry has lost.

        They may run tasks; they get no new ones until they are listed.
        """
        for known in recorded.workers if recorded else ():
            if known.report.id not in self.workers:
                self.add(known.report)
                self.workers[known.report.id].listed = False

    async def record_changes(self):
        """Records the workers whenever they have changed."""
        while True:
            self.remove_lapsed()
            silent = any(
                map(self.inherited_runs.is_long_silent, self.open_workers)
            )
            if self.changed or silent:
                self.changed = False
                self.record_workers(self.inherited_runs.worker_records())
            await asyncio.sleep(RECORD_PERIOD_S)

    @property
    def open_workers(self):
        """Workers that may be given runs, as far as recorded."""
        return [x for x in self.workers.values() if not x.closed_to_starts]

    def record_workers(self, listed):
        """Records the workers, and closes those that get no new runs.

        Args:
            listed: Record of each worker.
        """
        batch = self.journal.record_workers(listed)
        self.opening.clear()
        for known in listed:
            worker = self.workers[known.report.id]
            if known.tasks is not None:
                worker.closed_to_starts = True
            elif worker.closed_to_starts:
                worker.open_batch = batch
                self.opening.add(worker)

    def open_inherited(self):
        """Opens the workers that the last term's record lets be used."""
        for name in self.inherited_runs.open_names & set(self.workers):
            self.workers[name].closed_to_starts = False

    async def open_when_recorded(self):
        """Opens workers whenever it is recorded that they are used."""
        while True:
            await self.journal.batch_written.wait()
            durable = self.journal.durable_batch
            ready = [x for x in self.opening if x.open_batch <= durable]
            for worker in ready:
                worker.closed_to_starts = False
                self.opening.discard(worker)
            if ready:
                self.wake()

    def remove_lapsed(self):
        """Forgets workers that have left and whose leases are over."""
        for name, worker in list(self.workers.items()):
            if worker.lapsed and not worker.listed:
                LOG.info("A worker is forgotten.", fields={"worker": name})
                self.links.pop(name).closed = True
                del self.workers[name]
                self.changed = True
