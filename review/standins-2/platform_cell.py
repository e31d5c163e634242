"""Starts a small cell with the deploy file's command, and calls it.

The processes are those of the product; the store, the workers and the clients
are stand-ins in the process of the script. All addresses are loopback ones.
"""

import asyncio
import json
import os
import pathlib
import secrets
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

import aiohttp
from aiohttp import web
import platform_store
import platform_workers

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "shop.example"
PREFIX = "/jobs/"
ANSWERED = "answered"
SETTINGS = """
nodeName = "{name}"
role = "node"
machineClass = "edge"
serves = ["edge", "control_plane"]
ip = "127.0.0.1"
zone = "a"
region = "r"
portRange = [{first}, {last}]
seeds = []
bootstrap = true
heartbeatMs = 1500
controlMode = "invocation"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
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
recoveryS = 12
holdMaxMs = 6000
stopMs = 900
gangWaitMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
farFactor = {far_factor}
checkpointS = 1
restoreMs = 250
requireFencing = true
leaseMs = 3000
[platform]
address = "{store}"
form = "log"
writesPerS = 600
readsPerS = 2000
parts = 8
ttlMinMs = 1000
recordBytes = 262144
callBytes = 2097152
"""


class Ports:
    """Free loopback ports below those that connections are given."""

    def __init__(self):
        self.used = set()

    def take(self, count=1):
        """Returns the first of ``count`` free ports in a row."""
        while True:
            first = 10_000 + secrets.randbelow(20_000)
            ports = range(first, first + count)
            if not self.used & set(ports) and all(map(is_free, ports)):
                self.used.update(ports)
                return first


def is_free(port):
    """Whether a loopback port can be bound."""
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


class Node:
    """A process of the cell."""

    def __init__(self, name, front, ready, process, log):
        self.name = name
        self.front = front
        self.ready = ready
        self.process = process
        self.log = log


class Cell:
    """The cell with its stand-ins.

    Attributes:
        world: ``World`` with the jobs and the checks.
        nodes: Running processes by name.
        workers: Stand-in workers by name.
    """

    def __init__(self, folder, *, nodes=5, workers=12, far_factor=3, **kinds):
        self.folder = pathlib.Path(folder)
        self.file = (self.folder / "record.txt").open("w")
        self.began = time.monotonic()
        self.world = platform_workers.World(self.record)
        self.store = platform_store.Store()
        self.ports = Ports()
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.node_count = nodes
        self.worker_count = workers
        self.far_factor = far_factor
        self.kinds = kinds
        self.nodes = {}
        self.workers = {}
        self.runners = []
        self.tasks = []
        self.routes = []

    def record(self, text):
        """Writes a line to ``record.txt``."""
        at_s = time.monotonic() - self.began
        self.file.write(f"{at_s:8.3f} {text}\n")
        self.file.flush()

    async def __aenter__(self):
        try:
            return await self.open()
        except BaseException:
            await self.__aexit__()
            raise

    async def open(self):
        """Starts all that belongs to the cell."""
        self.session = aiohttp.ClientSession()
        self.store_address = await self.serve(self.store.app())
        self.tasks.append(asyncio.create_task(self.store.expire()))
        self.routes = [self.route()]
        self.publish(1)
        for number in range(self.worker_count):
            await self.add_worker(f"w{number:02d}", number)
        names = [f"edge-{number}" for number in range(self.node_count)]
        started = await asyncio.gather(
            *map(self.start_node, names), return_exceptions=True
        )
        for result in started:
            if isinstance(result, BaseException):
                raise result
        return self

    async def __aexit__(self, *_):
        for task in self.tasks:
            task.cancel()
        for node in list(self.nodes.values()):
            await self.end_node(node.name, signal.SIGKILL)
        for worker in self.workers.values():
            if worker.up:
                await worker.crash()
        for runner in self.runners:
            await runner.cleanup()
        await self.session.close()
        self.file.close()
        shutil.rmtree(self.temporary, ignore_errors=True)

    async def serve(self, app):
        """Serves an application and returns its address."""
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.0)
        await runner.setup()
        port = self.ports.take()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        self.runners.append(runner)
        return f"127.0.0.1:{port}"

    async def add_worker(self, name, number, **changes):
        """Starts a worker of the usual kind."""
        kind = {"labels": ("a", f"r1-{number // 8 + 1}")} | self.kinds
        worker = platform_workers.Worker(
            self.world, self.store, name, **(kind | changes)
        )
        worker.port = self.ports.take()
        await worker.start()
        self.workers[name] = worker
        return worker

    def route(self, **changes):
        """Returns the route of the usual queue."""
        return {
            "name": "q",
            "host": HOST,
            "pathPrefix": PREFIX,
            "kind": "unsafe",
            "service": "svc",
            "priority": 1,
            "maxAttempts": 3,
            "stretch": 3.0,
            "targetLatencyMs": 1000,
        } | changes

    def publish(self, version, **fields):
        """Publishes a configuration."""
        services = sorted({route["service"] for route in self.routes})
        document = {
            "version": version,
            "routes": self.routes,
            "services": [
                {"name": name, "admissionCheck": False} for name in services
            ],
            "limits": {"maxBodyBytes": 262144},
        } | fields
        self.store.put("keyed.op", "config", json.dumps(document).encode())
        self.record(f"configuration {version} is published")

    async def start_node(self, name):
        """Starts a process with the deploy file's command."""
        first = self.ports.take(4)
        front, ready, control = (self.ports.take() for _ in range(3))
        path = self.temporary / f"{name}.toml"
        path.write_text(
            SETTINGS.format(
                name=name,
                first=first,
                last=first + 3,
                front=front,
                ready=ready,
                control=control,
                store=self.store_address,
                far_factor=self.far_factor,
            )
        )
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["node"]["run"].split()
        log = self.temporary / f"{name}-{first}.log"
        with log.open("wb") as output:
            process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                stdout=output,
                stderr=output,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": str(self.temporary),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "CICADAFOLD_NODE_FILE": str(path),
                },
            )
        node = Node(name, front, ready, process, log)
        self.nodes[name] = node
        async with asyncio.timeout(30):
            while not await self.is_ready(node):
                if process.returncode is not None:
                    raise RuntimeError(f"{name} has ended: {log.read_text()}")
                await asyncio.sleep(0.1)
        self.record(f"{name} is ready")
        return node

    async def is_ready(self, node):
        """Whether a process reports itself ready."""
        url = f"http://127.0.0.1:{node.ready}/api/readiness"
        try:
            async with self.session.get(
                url, timeout=aiohttp.ClientTimeout(total=1)
            ) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def end_node(self, name, number):
        """Ends a process with a signal."""
        node = self.nodes.pop(name)
        if node.process.returncode is None:
            node.process.send_signal(number)
        await node.process.wait()
        self.record(f"{name} has ended")

    async def call(self, method, job="", body=None, *, node=None, tries=5):
        """Sends a client's request, again after no answer or a refusal.

        Returns:
            The status and the decoded body of the last answer; None and an
            empty body if no try was answered.
        """
        status, found = None, {}
        for _ in range(tries):
            if not self.nodes or node not in (None, *self.nodes):
                await asyncio.sleep(0.5)
                continue
            name = node or secrets.choice(sorted(self.nodes))
            status, found = await self.call_once(
                self.nodes[name], method, job, body
            )
            if status is not None and status < 429:
                break
            await asyncio.sleep(0.5)
        return status, found

    async def call_once(self, node, method, job, body=None):
        """Sends one request to a node."""
        url = f"http://127.0.0.1:{node.front}{PREFIX}{job}"
        headers = {"Host": HOST, "Content-Type": "application/json"}
        headers["Cicadafold-Timeout-Ms"] = "3000"
        data = None if body is None else json.dumps(body).encode()
        status, found = None, {}
        try:
            async with self.session.request(
                method,
                url,
                data=data,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=3),
            ) as answer:
                status, found = answer.status, await answer.json()
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            found = {"error": repr(error)}
        if method != "GET" or status != 200:
            self.record(
                f"{method} {job} at {node.name}: {status} {found or ''}"
            )
        return status, found

    async def submit(self, steps, *, node=None, attempts=3, **fields):
        """Submits a job and returns its ID; the job is accepted.

        Steps may hold ``workMs`` and ``fails``, which only the workers know.
        """
        job = secrets.token_hex(8)
        spec = f"{job} text"
        self.world.jobs[job] = {
            "spec": spec,
            "steps": steps,
            "service": "svc",
            "maxAttempts": attempts,
            "saved": {},
            **fields,
        }
        sent = [
            {k: v for k, v in step.items() if k not in ("workMs", "fails")}
            for step in steps
        ]
        plan = ("repeats", "firstRunMs", "intervalMs")
        body = {"spec": spec, "steps": sent}
        body |= {k: v for k, v in fields.items() if k in plan}
        status, _ = await self.call("POST", job, body, node=node)
        self.world.jobs[job]["status"] = status
        self.world.jobs[job]["body"] = body
        return job

    async def state(self, job):
        """Returns the state of a job, or the status of another answer."""
        status, found = await self.call("GET", job)
        return found.get("state", status)

    def scheduler(self):
        """Returns the name of the process with the newest claim."""
        claim = self.store.newest_json("keyed.control", "scheduler")
        return None if claim is None else claim["member"].split("/")[0]

    def keep_logs(self):
        """Copies the logs of the processes to the folder of the case."""
        for log in self.temporary.glob("*.log"):
            shutil.copy(log, self.folder / log.name)


def verdict(main):
    """Runs a script's coroutine function and exits with its result.

    It gets whether the disruption happens, and returns whether the rule was
    broken.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # An interrupt cancels the function, which then ends the processes.
    signal.signal(
        signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT)
    )
    try:
        broken = asyncio.run(main(trouble))
    except (Exception, KeyboardInterrupt) as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    sys.exit(1 if broken else 0)
