"""A small cell for the cases of the third review.

Its processes are started with the command of the deploy file. The stand-ins
of the store, the workers and the callers run in the process of the case.
"""

import asyncio
import json
import os
import pathlib
import sys
import time

import aiohttp

from cicadafold_standins.fleet import cell
from cicadafold_standins.fleet import worker

ROOT = pathlib.Path(__file__).resolve().parents[2]
ENTRY_REMOVED_S = 4.5
KEPT_VARIABLES = ("PATH", "HOME", "LANG")
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
FOREVER = " forever"

SETTINGS = """
nodeName = "{name}"
role = "node"
machineClass = "edge"
serves = ["edge", "control_plane"]
ip = "127.0.0.1"
zone = "{zone}"
region = "lower-mainland"
portRange = [{peer}, {last}]
heartbeatMs = 1500
controlMode = "invocation"
{advice}
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{peer}"
[limits]
cpuShare = 1.0
cores = 1
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2500
graceS = 6
configMs = 2500
holdMaxMs = 6000
stopMs = 900
gangWaitMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
farFactor = 3
checkpointS = 1
restoreMs = 250
[platform]
address = "{store}"
form = "log"
writesPerS = 600
readsPerS = 2000
parts = 8
recordBytes = 262144
callBytes = 2097152
keep_s = 300
ttlMinMs = 1000
"""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self.started_s = time.monotonic()
        self.file = open(folder / "record.txt", "w", encoding="utf-8")

    def now_s(self):
        """Returns the seconds since the start of the case."""
        return time.monotonic() - self.started_s

    def write(self, text):
        """Writes a line with the time in front."""
        self.file.write(f"{self.now_s():8.3f} {text}\n")
        self.file.flush()

    def write_events(self, events):
        """Writes the events of the workers in their order."""
        for event in events:
            at_s = event.at_ms / 1000 - self.started_s
            self.file.write(
                f"{at_s:8.3f} {event.kind.value} {event.task or event.job}"
                f" attempt {event.attempt} on {event.worker}"
                f" {event.value!r} {event.checkpoint!r}\n"
            )
        self.file.flush()


class Worker(worker.FleetWorker):
    """A worker whose tasks may last, and that may be lost for good."""

    lost = False
    memory_mb = 32768
    labels = ("a", "r1-1")

    def running_rows(self):
        """Returns the running attempts; a lasting task is at 100 percent."""
        rows = super().running_rows()
        for row in rows:
            if self.running[row[0]].work_ms > 1e8:
                row[3] = 100
        return rows

    def register(self):
        """Writes the entry of the worker, unless it is lost."""
        if self.lost or self.store.silent or self.store.refusing:
            return
        self.sequence += 1
        entry = {
            "service": self.pool,
            "address": self.address,
            "zone": "lm-north",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldLeftMs": 0,
            "capacity": {
                "cpu": self.cores_milli,
                "memMb": self.memory_mb,
                "gpu": 0,
            },
            "labels": list(self.labels),
            "born": self.born_ms,
            "sequence": self.sequence,
        }
        value = json.dumps(entry).encode()
        self.store.put("keyed.servers", self.name, value)

    async def lose(self):
        """Crashes for good; the store removes the entry after its time."""
        self.lost = True
        self.down = True
        self.crashes += 1
        self.run_log.record_crash(list(self.running))
        self.record_lost_runs("crashed")
        self.running = {}
        self.run_ended.set()
        await asyncio.sleep(ENTRY_REMOVED_S)
        self.store.put("keyed.servers", self.name, b"")


class Cell(cell.FleetCell):
    """A cell of deployed processes on the stand-ins."""

    def __init__(self, *, workers, record, **options):
        super().__init__(workers=workers, **options)
        self.record = record
        self.workers = [
            Worker(name=each.name, store=self.store, pool=cell.POOL)
            for each in self.workers
        ]
        for each in self.workers:
            each.run_log = self.run_log

    async def start(self, name, *, store_address=None):
        """Starts a process with the command of the deploy file."""
        folder = pathlib.Path(self.folder.name) / name
        folder.mkdir(exist_ok=True)
        peer, last, front, ready = self.member_ports(name)
        path = folder / "boot.toml"
        advice = f'advice = "{self.advice_address}"'
        path.write_text(
            SETTINGS.format(
                name=name,
                zone="lm-north",
                peer=peer,
                last=last,
                front=front,
                ready=ready,
                store=store_address or self.store_address,
                advice=advice if self.with_advice else "",
            )
        )
        log_path = folder / f"log-{peer}.txt"
        kept = {k: os.environ[k] for k in KEPT_VARIABLES if k in os.environ}
        with log_path.open("wb") as output:
            process = await asyncio.create_subprocess_exec(
                "python3",
                "deploy/run.py",
                cwd=ROOT,
                stdout=output,
                stderr=output,
                env=kept
                | {
                    "PYTHONPATH": "target/deps",
                    "CICADAFOLD_NODE_FILE": str(path),
                },
            )
        member = cell.MemberProcess(
            name=name,
            folder=folder,
            caller_address=f"127.0.0.1:{front}",
            peer_address=f"127.0.0.1:{peer}",
            ready_address=f"127.0.0.1:{ready}",
            metrics_address=f"127.0.0.1:{peer + 1}",
            process=process,
            log_path=log_path,
        )
        self.members[name] = member
        await self.wait_until_ready(member, member.ready_address)
        self.record.write(f"process {name} is ready")
        return member

    async def ask(self, method, job="", body=None, *, member=None):
        """Sends a call, records it and returns status and answer.

        The status is 0 if there was no answer.
        """
        member = member or next(iter(self.members.values()))
        shown = "" if body is None else json.dumps(body)
        self.record.write(f"send {method} {job} to {member.name} {shown}")
        try:
            status, answer = await self.call(member, method, job, body)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self.record.write(f"no answer to {method} {job}: {error!r}")
            return 0, {}
        self.record.write(f"answer to {method} {job}: {status} {answer}")
        return status, answer

    async def submit(self, job, body):
        """Submits a job until it is accepted, as a client does."""
        for attempt in range(5):
            members = list(self.members.values())
            status, _ = await self.ask(
                "POST", job, body, member=members[attempt % len(members)]
            )
            if status == 200:
                return
            await asyncio.sleep(1.0)
        raise NotRun(f"job {job} was not accepted")

    def worker_of(self, task):
        """Returns the worker that runs a task, or None."""
        for each in self.workers:
            if task in each.running:
                return each
        return None

    async def wait_until_runs(self, task, timeout_s):
        """Waits until a task runs and returns its worker, or None."""
        end_s = self.record.now_s() + timeout_s
        while self.record.now_s() < end_s:
            found = self.worker_of(task)
            if found is not None:
                return found
            await asyncio.sleep(0.02)
        return None


class NotRun(Exception):
    """The case could not be run."""


def run_case(scenario, folder, **options):
    """Runs a case and exits with the status that tells its outcome.

    Args:
        scenario: Coroutine function of the cell, the record and whether the
            disruption takes place; returns the violations as texts.
        folder: Folder of the case.
        options: Options of ``Cell``.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)

    async def run():
        async with Cell(record=record, **options) as found:
            try:
                return await scenario(found, record, trouble)
            finally:
                record.write_events(found.run_log.events.events)
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    for log in pathlib.Path(found.folder.name).glob("*/log*"):
                        name = f"{log.parent.name}-{log.name}"
                        pathlib.Path(keep, name).write_bytes(log.read_bytes())

    try:
        violations = asyncio.run(asyncio.wait_for(run(), 115))
    except Exception as error:
        record.write(f"the case could not be run: {error!r}")
        print(f"not run: {error!r}")
        sys.exit(EXIT_NOT_RUN)
    for violation in violations:
        record.write(f"BROKEN {violation}")
        print(f"broken: {violation}")
    if not violations:
        record.write("the rule held")
        print("held")
    sys.exit(EXIT_BROKEN if violations else EXIT_HELD)
