"""Stand-in for a worker that runs tasks under leases.

The worker records every start command it receives, including those that
exceed its capacity or repeat a task, and the time each task ran. The check
of the guarantees relies on these records. They are appended to a file line
by line, so that they survive a kill of the worker.

A payload that is a JSON object may set ``run_ms`` (run time in
milliseconds) and ``cores_used``; any other payload runs for
``DEFAULT_RUN_MS``.
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
RUNNING_OR_DONE = (messages.TaskState.RUNNING, messages.TaskState.DONE)


class Behaviour(msgspec.Struct, kw_only=True):
    """Simulated behaviour of a task, as set by its payload."""

    run_ms: float = DEFAULT_RUN_MS
    cores_used: float = 0.0


class Faults(msgspec.Struct, kw_only=True):
    """Faults to simulate.

    Attributes:
        fail_all: Whether every task ends as failed.
        leaving: Whether starts are recorded as made on a leaving worker.
    """

    fail_all: bool = False
    leaving: bool = False


class RunRecord(msgspec.Struct, kw_only=True, omit_defaults=True):
    """One start command and the run attempt that followed it.

    Attributes:
        started_s: Start by the host's monotonic clock, in seconds.
        ended_s: End by the same clock, in seconds; 0 while the task runs.
        overfill: Whether the task exceeded the worker's free capacity.
        leaving: Whether the worker was leaving.
        given_twice: Whether the task was already running or done here; such
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
    """Appends a line to the record file for each start and each end."""

    def __init__(self, *, path):
        self.output = open(path, "ab", buffering=0) if path else None
        self.serial = 0

    def record_start(self, task_id, **marks):
        """Writes a record of a start command and returns it."""
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
        """Appends a record to the file as one line, if there is a file."""
        if self.output is not None:
            self.output.write(msgspec.json.encode(record) + b"\n")


def read_records(path):
    """Returns the records of one incarnation of a worker.

    Of several lines with the same serial number, the last one counts.
    """
    decode = msgspec.json.Decoder(RunRecord).decode
    records = {}
    with open(path, "rb") as source:
        for line in source:
            record = decode(line)
            records[record.serial] = record
    return list(records.values())


def expected_result(task_id, payload):
    """Returns the result that a worker reports for a payload.

    Args:
        task_id: Identifier of the task.
        payload: Payload of the request.

    Returns:
        Text derived from both, so that answers of other requests differ.
    """
    digest = hashlib.sha256(payload.encode()).hexdigest()[:16]
    return f"{task_id}={digest}"


def parse_behaviour(payload):
    """Returns the behaviour that a payload sets, or the default one."""
    try:
        return msgspec.json.decode(payload, type=Behaviour)
    except msgspec.DecodeError:
        return Behaviour()


class Task:
    """A task that was started on this worker.

    Attributes:
        lease_until_ms: End of the lease by the worker's clock, in
            milliseconds.
        ended: Event that is set when the task has ended.
    """

    def __init__(self, *, start, record):
        self.start = start
        self.record = record
        self.lease_until_ms = start.lease_until_ms
        self.state = messages.TaskState.RUNNING
        self.result = ""
        self.ended = asyncio.Event()
        self.behaviour = parse_behaviour(start.payload)

    def report(self):
        """Returns the report of the task's state."""
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
    """HTTP handlers of a worker.

    Attributes:
        epoch: Identifier of this incarnation of the worker.
        fence: Highest fencing token received.
        tasks: All tasks by identifier, ended ones for ``RETAIN_ENDED_S``
            or until their result is acknowledged.
    """

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
        """Returns the worker's clock in milliseconds since its start."""
        return int((time.monotonic() - self.booted_s) * MS_PER_S)

    def reply(self, tasks):
        """Returns a reply with the reports of tasks and the worker's clock."""
        return serving.json_response(
            messages.TargetReply(
                epoch=self.epoch,
                now_ms=self.now_ms(),
                tasks=[task.report() for task in tasks],
            )
        )

    def refuse(self, code):
        """Returns a refusal with the worker's clock."""
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
        """Returns the code with which a start is refused, or None."""
        if start.epoch != self.epoch:
            return messages.RefusalCode.WRONG_EPOCH
        if start.fence < self.fence:
            return messages.RefusalCode.FENCED
        now_ms = self.now_ms()
        if now_ms > min(start.start_by_ms, start.lease_until_ms):
            return messages.RefusalCode.EXPIRED
        known = self.tasks.get(start.task_id)
        if known is not None and known.state in RUNNING_OR_DONE:
            self.recorder.record_start(start.task_id, given_twice=True)
            return messages.RefusalCode.KNOWN
        return None

    def is_overfilled_by(self, start):
        """Whether a task exceeds the worker's free capacity."""
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
        """Starts a task and replies when it has ended."""
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
        """Ends a task whose run time has passed, if it still runs."""
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
        """Ends a task in a state and records it.

        A lapsed task is recorded as ended when its lease expired.
        """
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
        """Ends running tasks whose leases expired, every ``LEASE_CHECK_S``."""
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            now_ms = self.now_ms()
            for task in list(self.running.values()):
                if now_ms > task.lease_until_ms:
                    self.end(task, messages.TaskState.LAPSED)

    async def raise_fence(self, request):
        """Raises the fencing token and replies with all tasks."""
        body = await serving.read_json(request, messages.FenceRequest)
        if body.fence < self.fence:
            return self.refuse(messages.RefusalCode.FENCED)
        self.fence = body.fence
        return self.reply(self.tasks.values())

    async def renew(self, request):
        """Renews leases and forgets ended tasks that are acknowledged."""
        body = await serving.read_json(request, messages.RenewRequest)
        if body.fence < self.fence:
            return self.refuse(messages.RefusalCode.FENCED)
        now_ms = self.now_ms()
        known_tasks = []
        for task_id in body.tasks:
            task = self.tasks.get(task_id)
            if task is None:
                continue
            if now_ms > task.lease_until_ms:
                if task.state is messages.TaskState.RUNNING:
                    self.end(task, messages.TaskState.LAPSED)
            else:
                task.lease_until_ms = max(task.lease_until_ms, body.until_ms)
            known_tasks.append(task)
        for task_id in body.acknowledged:
            task = self.tasks.get(task_id)
            if task and task.state is not messages.TaskState.RUNNING:
                del self.tasks[task_id]
        return self.reply(known_tasks)

    async def stop(self, request):
        """Stops a task if it runs, and replies with its state."""
        task = self.tasks.get(request.match_info["task_id"])
        if task is None:
            return self.reply([])
        if task.state is messages.TaskState.RUNNING:
            self.end(task, messages.TaskState.STOPPED)
        return self.reply([task])

    async def set_faults(self, request):
        """Replaces the simulated faults."""
        self.faults = await serving.read_json(request, Faults)
        return web.Response()


def make_app(arguments):
    """Returns the web application of a worker."""
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
    """Adds the command-line arguments of a worker."""
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--cores", type=float, default=16.0)
    parser.add_argument("--memory-mb", type=int, default=32768)
    parser.add_argument("--accelerators", type=int, default=0)
    parser.add_argument(
        "--record", default="", help="file to which run records are appended"
    )


if __name__ == "__main__":
    serving.run(make_app, add_arguments)
