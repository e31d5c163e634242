"""Stand-in for a worker that runs tasks under leases.

The worker keeps its own record of what it was given: overfills, starts of
a task that it has already started, and the time each task ran. The record
is the evidence for the promises. It is written line by line to a file, so
that it outlives a worker that is killed.

A payload that is a JSON object may set ``run_ms`` (time to run) and
``cores_used``; anything else runs for the default time.
"""

import asyncio
import hashlib
import time
import uuid

from aiohttp import web
from cicadafold.platform import messages
import msgspec

from cicadafold_standins import serving

__all__ = [
    "Behaviour",
    "RunRecord",
    "Task",
    "Worker",
    "expected_result",
    "read_records",
]

DEFAULT_RUN_MS = 5
LEASE_CHECK_S = 0.02
RETAIN_ENDED_S = 120.0
MS_PER_S = 1000
LIVE_OR_DONE = (messages.TaskState.RUNNING, messages.TaskState.DONE)


class Behaviour(msgspec.Struct, kw_only=True):
    """What a payload asks of the stand-in."""

    run_ms: float = DEFAULT_RUN_MS
    cores_used: float = 0.0


class Faults(msgspec.Struct, kw_only=True):
    """Faults that are in force."""

    fail_all: bool = False
    leaving: bool = False


class RunRecord(msgspec.Struct, kw_only=True, omit_defaults=True):
    """One run of a task, by the monotonic clock of the machine.

    Attributes:
        started_s: Start in seconds.
        ended_s: End in seconds; 0 while the task runs.
        overfill: Whether the worker could not hold the task.
        leaving: Whether the worker was leaving.
        given_twice: Whether the task ran or was done here already; such
            a start is refused.
        connections: Open connections at the start.
    """

    serial: int
    task_id: str
    started_s: float
    ended_s: float = 0.0
    state: messages.TaskState = messages.TaskState.RUNNING
    overfill: bool = False
    leaving: bool = False
    given_twice: bool = False
    connections: int = 0


class Recorder:
    """Writes the record of a worker, one line for each start and end."""

    def __init__(self, *, path):
        self.output = open(path, "ab", buffering=0) if path else None
        self.serial = 0

    def record_start(self, task_id, **marks):
        """Records a start and returns its record."""
        self.serial += 1
        record = RunRecord(
            serial=self.serial,
            task_id=task_id,
            started_s=time.monotonic(),
            **marks,
        )
        self.write(record)
        return record

    def write(self, record):
        """Writes a record as one line."""
        if self.output is not None:
            self.output.write(msgspec.json.encode(record) + b"\n")


def read_records(path):
    """Reads the records of one run of a worker; the last line counts."""
    decode = msgspec.json.Decoder(RunRecord).decode
    records = {}
    with open(path, "rb") as source:
        for line in source:
            record = decode(line)
            records[record.serial] = record
    return list(records.values())


def expected_result(task_id, payload):
    """Result that a worker gives for a payload.

    Args:
        task_id: Identifier of the task.
        payload: Payload of the request.

    Returns:
        Text that depends on both, so that mixed-up answers show.
    """
    digest = hashlib.sha256(payload.encode()).hexdigest()[:16]
    return f"{task_id}={digest}"


def parse_behaviour(payload):
    """Reads the behaviour that a payload asks for."""
    try:
        return msgspec.json.decode(payload, type=Behaviour)
    except msgspec.DecodeError:
        return Behaviour()


class Task:
    """A task that was started on this worker."""

    def __init__(self, *, start, record):
        self.start = start
        self.record = record
        self.lease_until_ms = start.lease_until_ms
        self.state = messages.TaskState.RUNNING
        self.result = ""
        self.ended = asyncio.Event()
        self.behaviour = parse_behaviour(start.payload)

    def report(self):
        """Reports the state of the task."""
        return messages.TaskReport(
            task_id=self.start.task_id,
            state=self.state,
            result=self.result,
            cores=self.start.cores,
            memory_mb=self.start.memory_mb,
            accelerators=self.start.accelerators,
            cores_used=self.behaviour.cores_used,
        )


class Worker:
    """HTTP handlers of a worker."""

    def __init__(self, *, slots, cores, memory_mb, accelerators, record_path):
        self.slots = slots
        self.cores = cores
        self.memory_mb = memory_mb
        self.accelerators = accelerators
        self.epoch = uuid.uuid4().hex[:8]
        self.booted_s = time.monotonic()
        self.fence = 0
        self.tasks = {}
        self.running = {}
        self.faults = Faults()
        self.recorder = Recorder(path=record_path)
        self.app = None

    def now_ms(self):
        """The worker's clock in milliseconds."""
        return int((time.monotonic() - self.booted_s) * MS_PER_S)

    def reply(self, tasks):
        """Builds a reply with the worker's clock."""
        return serving.json_response(
            messages.TargetReply(
                epoch=self.epoch,
                now_ms=self.now_ms(),
                tasks=[task.report() for task in tasks],
            )
        )

    def refuse(self, code):
        """Builds a refusal with the worker's clock."""
        return serving.json_response(
            messages.Refusal(
                code=code, epoch=self.epoch, now_ms=self.now_ms()
            ),
            status=409,
        )

    def connections(self):
        """Returns the number of open connections."""
        return len(self.app["runner"].server.connections)

    def check_start(self, start):
        """Returns why a start is refused, or None."""
        if start.epoch != self.epoch:
            return messages.RefusalCode.WRONG_EPOCH
        if start.fence < self.fence:
            return messages.RefusalCode.FENCED
        now_ms = self.now_ms()
        if now_ms > min(start.start_by_ms, start.lease_until_ms):
            return messages.RefusalCode.EXPIRED
        known = self.tasks.get(start.task_id)
        if known is not None and known.state in LIVE_OR_DONE:
            self.recorder.record_start(start.task_id, given_twice=True)
            return messages.RefusalCode.KNOWN
        return None

    def is_overfilled_by(self, start):
        """Whether the worker cannot hold another task."""
        running = [task.start for task in self.running.values()]
        return (
            len(running) + 1 > self.slots
            or sum(s.cores for s in running) + start.cores > self.cores + 1e-6
            or sum(s.memory_mb for s in running) + start.memory_mb
            > self.memory_mb
            or sum(s.accelerators for s in running) + start.accelerators
            > self.accelerators
        )

    async def start(self, request):
        """Starts a task and answers when it has ended."""
        start = await serving.read_json(request, messages.StartTask)
        refusal = self.check_start(start)
        if refusal is not None:
            return self.refuse(refusal)
        record = self.recorder.record_start(
            start.task_id,
            overfill=self.is_overfilled_by(start),
            leaving=self.faults.leaving,
            connections=self.connections(),
        )
        task = Task(start=start, record=record)
        self.tasks[start.task_id] = task
        self.running[start.task_id] = task
        loop = asyncio.get_running_loop()
        loop.call_later(task.behaviour.run_ms / MS_PER_S, self.finish, task)
        await task.ended.wait()
        return self.reply([task])

    def finish(self, task):
        """Ends a task that has run for its time."""
        if task.state is not messages.TaskState.RUNNING:
            return
        if self.now_ms() > task.lease_until_ms:
            self.end(task, messages.TaskState.LAPSED)
        elif self.faults.fail_all:
            self.end(task, messages.TaskState.FAILED)
        else:
            start = task.start
            task.result = expected_result(start.task_id, start.payload)
            self.end(task, messages.TaskState.DONE)

    def end(self, task, state):
        """Ends a task; a lapsed one ended when its lease did."""
        task.state = state
        task.record.state = state
        ended_s = time.monotonic()
        if state is messages.TaskState.LAPSED:
            lapsed_s = self.booted_s + task.lease_until_ms / MS_PER_S
            ended_s = min(ended_s, lapsed_s)
        task.record.ended_s = ended_s
        self.recorder.write(task.record)
        task.ended.set()
        self.running.pop(task.start.task_id, None)
        loop = asyncio.get_running_loop()
        loop.call_later(
            RETAIN_ENDED_S, self.tasks.pop, task.start.task_id, None
        )

    async def watch_leases(self):
        """Stops the tasks whose leases have lapsed."""
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            now_ms = self.now_ms()
            for task in list(self.running.values()):
                if now_ms > task.lease_until_ms:
                    self.end(task, messages.TaskState.LAPSED)

    async def raise_fence(self, request):
        """Raises the fence and answers with the inventory."""
        asked = await serving.read_json(request, messages.FenceRequest)
        if asked.fence < self.fence:
            return self.refuse(messages.RefusalCode.FENCED)
        self.fence = asked.fence
        return self.reply(self.tasks.values())

    async def renew(self, request):
        """Renews leases and frees acknowledged results."""
        asked = await serving.read_json(request, messages.RenewRequest)
        if asked.fence < self.fence:
            return self.refuse(messages.RefusalCode.FENCED)
        now_ms = self.now_ms()
        found = []
        for task_id in asked.tasks:
            task = self.tasks.get(task_id)
            if task is None:
                continue
            if now_ms > task.lease_until_ms:
                if task.state is messages.TaskState.RUNNING:
                    self.end(task, messages.TaskState.LAPSED)
            else:
                task.lease_until_ms = max(task.lease_until_ms, asked.until_ms)
            found.append(task)
        for task_id in asked.acknowledged:
            task = self.tasks.get(task_id)
            if task and task.state is not messages.TaskState.RUNNING:
                del self.tasks[task_id]
        return self.reply(found)

    async def stop(self, request):
        """Stops a running task."""
        task = self.tasks.get(request.match_info["task_id"])
        if task is None:
            return self.reply([])
        if task.state is messages.TaskState.RUNNING:
            self.end(task, messages.TaskState.STOPPED)
        return self.reply([task])

    async def set_faults(self, request):
        """Sets the faults."""
        self.faults = await serving.read_json(request, Faults)
        return web.Response()


def make_app(arguments):
    """Builds the application of a worker."""
    worker = Worker(
        slots=arguments.slots,
        cores=arguments.cores,
        memory_mb=arguments.memory_mb,
        accelerators=arguments.accelerators,
        record_path=arguments.record,
    )
    app = web.Application(client_max_size=4 * 1024 * 1024)
    worker.app = app

    async def watch(app):
        task = asyncio.create_task(worker.watch_leases())
        yield
        task.cancel()

    app.cleanup_ctx.append(watch)
    app.router.add_post("/tasks", worker.start)
    app.router.add_post("/fence", worker.raise_fence)
    app.router.add_post("/leases", worker.renew)
    app.router.add_post("/tasks/{task_id}/stop", worker.stop)
    app.router.add_post("/faults", worker.set_faults)
    return app


def add_arguments(parser):
    """Adds the arguments of a worker."""
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--cores", type=float, default=16.0)
    parser.add_argument("--memory-mb", type=int, default=32768)
    parser.add_argument("--accelerators", type=int, default=0)
    parser.add_argument("--record", default="", help="file to append to")


if __name__ == "__main__":
    serving.run(make_app, add_arguments)
