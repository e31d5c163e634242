"""Program that serves one stand-in worker, or a few, as a process.

The process can be paused and killed like a real worker. A deadly task ends
it.
"""

import argparse
import asyncio
import os
import pathlib
import sys

import aiohttp
from aiohttp import web
import msgspec
import uvloop

from cicadafold import clock
from cicadafold_standins.fleet import payloads
from cicadafold_standins.fleet import run_events
from cicadafold_standins.fleet import store
from cicadafold_standins.fleet import worker
from cicadafold_standins.fleet import worker_events

__all__ = ["EXIT_CRASHED", "Place", "ProcessWorker", "Settings", "main"]

Kind = worker_events.EventKind

# Exit status of a process whose worker a task has crashed.
EXIT_CRASHED = 3
CLOCK_START_MS = 1000
REGISTRATION_INTERVAL_S = 0.7
REGISTRATION_TIMEOUT_S = 2.0
PARENT_CHECK_INTERVAL_S = 1.0
REGISTRY_QUERY = {"topic": "keyed.servers", "part": "0"}


class Place(msgspec.Struct):
    """One worker of the process.

    Attributes:
        name: Name of the worker.
        port: Port on which it serves.
        life: Number of its incarnation.
        born_ms: Start of the incarnation as the worker tells it, in
            milliseconds of Unix time.
        rate: Rate of its clock; 0.98 is 2% slow.
        cores_milli: Cores that it offers, in thousandths.
    """

    name: str
    port: int
    life: int
    born_ms: int
    rate: float = 1.0
    cores_milli: int = 16000


class Settings(msgspec.Struct):
    """What the program is started with.

    Attributes:
        store: Address of the store.
        pool: Pool that the workers belong to.
        events: Path of the file that receives the events.
        failures: Path of the folder that counts the failures of each task.
        places: Workers of the process.
    """

    store: str
    pool: str
    events: str
    failures: str
    places: list[Place]


class FailureCounts:
    """Number of failed run attempts by task, shared by all processes.

    Args:
        folder: Path of a folder; a file for each task has one byte for each
            of its failures.
    """

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)

    def __getitem__(self, task):
        try:
            return (self.folder / task).stat().st_size
        except FileNotFoundError:
            return 0

    def add(self, task):
        """Counts a failure of a task."""
        with (self.folder / task).open("ab") as file:
            file.write(b"x")


class RemoteStore:
    """Collects registry entries and appends them to the store by HTTP.

    Args:
        session: HTTP client session.
        address: Address of the store.
    """

    silent = False
    refusing = False

    def __init__(self, *, session, address):
        self.session = session
        self.url = f"http://{address}/api/log-append"
        self.entries = []

    def put(self, topic, key, value):
        """Adds a record to the next append."""
        name = key.encode()
        record = bytes((len(name),)) + name + value
        self.entries.append(store.RECORD_LENGTH.pack(len(record)) + record)

    async def flush(self):
        """Appends the collected records; they are lost if that fails."""
        body, self.entries = b"".join(self.entries), []
        timeout = aiohttp.ClientTimeout(total=REGISTRATION_TIMEOUT_S)
        try:
            async with self.session.post(
                self.url, params=REGISTRY_QUERY, data=body, timeout=timeout
            ) as answer:
                await answer.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return


class EventLog:
    """Run log of one worker that writes events instead of counting them.

    Args:
        owner: The worker.
        file: ``EventFile`` of the process.
        events: Events that the worker itself records, which are not used.
        failures: ``FailureCounts`` of the cell.

    Attributes:
        acknowledged: Always empty; repeated starts are found in the events.
    """

    acknowledged = frozenset()

    def __init__(self, *, owner, events, failures):
        self.owner = owner
        self.file = events
        self.events = run_events.EventLog()
        self.failures = failures

    def record(self, kind, **fields):
        """Writes an event."""
        self.file.write(
            worker_events.Event(
                kind=kind,
                at_ms=fields.pop("at_ms", clock.monotonic_ms()),
                worker=self.owner.name,
                life=self.owner.life,
                **fields,
            )
        )

    def record_start(self, task):
        """Does nothing; the worker writes the event."""

    def record_end(self, task, outcome):
        """Counts a failure."""
        if outcome == "failed":
            self.failures.add(task)

    def record_acknowledgement(self, task, outcome):
        """Writes that the end of a run attempt was acknowledged in time."""
        attempt = next(
            row[2]
            for row in self.owner.finished
            if row[1] == task and row[3] == outcome
        )
        self.record(
            Kind.ACKNOWLEDGED,
            task=task,
            attempt=attempt,
            outcome=outcome,
            fence=self.owner.fence,
        )

    def record_crash(self, tasks):
        """Writes that the process ends with its run attempts."""
        self.record(Kind.GONE, outcome="crash")


class ProcessWorker(worker.FleetWorker):
    """A worker in a process that may be paused or killed at any time.

    Run attempts whose lease has lapsed in a pause are ended before a command
    is obeyed; the lease is said to have ended them on time.

    Args:
        place: ``Place`` of the worker.
        events: ``EventFile`` of the process.
        failures: ``FailureCounts`` of the cell.
    """

    def __init__(self, *, place, events, failures, **rest):
        self.life = place.life
        self.rate = place.rate
        super().__init__(
            name=place.name, cores_milli=place.cores_milli, **rest
        )
        self.born_ms = place.born_ms
        self.run_log = EventLog(owner=self, events=events, failures=failures)
        self.run_log.record(Kind.BORN)

    @property
    def clock_ms(self):
        """Time since the start of this incarnation by its own clock."""
        ran_ms = clock.monotonic_ms() - self.started_ms
        return int(ran_ms * self.rate) + CLOCK_START_MS

    @property
    def lease_end_ms(self):
        """Monotonic time in milliseconds at which the lease lapses."""
        left_ms = self.lease_until_ms - CLOCK_START_MS
        return self.started_ms + max(0.0, left_ms) / self.rate

    def end_lapsed_runs(self):
        """Ends the run attempts whose lease has lapsed."""
        if self.running and self.clock_ms > self.lease_until_ms:
            for run in list(self.running.values()):
                self.end_run(run, "lapsed")

    def extend(self, deadline_ms):
        """Extends the lease, unless it has lapsed, and writes its end."""
        self.end_lapsed_runs()
        super().extend(deadline_ms)
        if deadline_ms is not None:
            self.run_log.record(Kind.LEASE, until_ms=self.lease_end_ms)

    def apply_start(self, message):
        """Obeys or refuses a start command and writes which."""
        at_ms = clock.monotonic_ms()
        self.end_lapsed_runs()
        starts, overfilled = len(self.starts), len(self.overfilled)
        fields = {
            "at_ms": at_ms,
            "task": message["task"],
            "attempt": message["attempt"],
            "fence": message["fence"],
        }
        reason = super().apply_start(message)
        if reason is not None:
            self.run_log.record(Kind.REFUSED, outcome=reason, **fields)
        if len(self.starts) > starts:
            checkpoint = message.get("checkpoint", "")
            self.run_log.record(
                Kind.START,
                spec=message["spec"],
                checkpoint=checkpoint,
                overfilled=len(self.overfilled) > overfilled,
                until_ms=self.lease_end_ms,
                **fields,
            )
            self.resume(self.running[message["task"]], message, checkpoint)
        return reason

    def resume(self, run, message, checkpoint):
        """Sets the duration of a run attempt and where it resumes."""
        run.work_ms = payloads.work_ms_of(message["spec"]) or self.work_ms
        saved = checkpoint.rpartition(":")[2]
        run.resumed_percent = int(saved) if saved.isdigit() else 0
        run.started_ms -= run.work_ms * run.resumed_percent / 100

    def checkpoint_of(self, run):
        """Returns the newest checkpoint of a run attempt."""
        return f"{run.task}@{run.attempt}:{run.percent}"

    def running_rows(self):
        """Returns the running attempts with their checkpoints."""
        return [
            [*row[:2], self.checkpoint_of(self.running[row[0]]), *row[3:]]
            for row in super().running_rows()
        ]

    def end_run(self, run, outcome):
        """Ends a run attempt and writes the event."""
        at_ms = clock.monotonic_ms()
        until_ms = at_ms
        if outcome == "lapsed":
            until_ms = min(at_ms, self.lease_end_ms)
        super().end_run(run, outcome)
        self.finished[-1][4] = self.checkpoint_of(run)
        self.run_log.record(
            Kind.END,
            at_ms=at_ms,
            until_ms=until_ms,
            task=run.task,
            attempt=run.attempt,
            outcome=outcome,
        )

    async def crash(self):
        """Ends the process with everything that runs here."""
        self.run_log.record_crash(list(self.running))
        os._exit(EXIT_CRASHED)


async def serve(settings):
    """Serves the workers until the process is ended."""
    events = worker_events.EventFile(settings.events)
    failures = FailureCounts(settings.failures)
    async with aiohttp.ClientSession() as session:
        remote = RemoteStore(session=session, address=settings.store)
        found = []
        for place in settings.places:
            each = ProcessWorker(
                place=place,
                events=events,
                failures=failures,
                store=remote,
                pool=settings.pool,
            )
            runner = web.AppRunner(each.app(), access_log=None)
            await runner.setup()
            await web.TCPSite(runner, "127.0.0.1", place.port).start()
            each.address = f"127.0.0.1:{place.port}"
            found.append(each)
        await asyncio.gather(
            register(found, remote),
            end_with_parent(os.getppid()),
            *(each.run() for each in found),
        )


async def register(workers, remote):
    """Periodically renews the registry entries of the workers."""
    while True:
        for each in workers:
            each.register()
        await remote.flush()
        await asyncio.sleep(REGISTRATION_INTERVAL_S)


async def end_with_parent(parent):
    """Ends the process when its parent has ended."""
    while os.getppid() == parent:
        await asyncio.sleep(PARENT_CHECK_INTERVAL_S)
    os._exit(1)


def main():
    """Runs the program."""
    parser = argparse.ArgumentParser(prog="worker")
    parser.add_argument("--settings", required=True, help="JSON file")
    arguments = parser.parse_args()
    settings = msgspec.json.decode(
        pathlib.Path(arguments.settings).read_bytes(), type=Settings
    )
    uvloop.run(serve(settings))


if __name__ == "__main__":
    sys.exit(main())
