"""A small cell: the deployed processes, and stand-ins around them."""

import asyncio
import json
import os
import pathlib
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib

import aiohttp
from aiohttp import web

from cicadafold_standins.fleet import store as fleet_store

from standins import judge
from standins import worker

ROOT = pathlib.Path(__file__).resolve().parents[2]
SERVICE = "tezgah"
HOST = "nony24.example"
PREFIX = "/q/"
PARTITIONS = 8
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
START_TIMEOUT_S = 30.0
LONGEST_CASE_S = 112.0
# Kinds of the workers, as on the sheet of the small deployment.
KINDS = ("a", "b")
RACK_SIZE = 8

SETTINGS = """
nodeName = "{name}"
role = "node"
machineClass = "edge"
serves = ["edge", "control_plane"]
ip = "127.0.0.1"
zone = "{zone}"
region = "{region}"
portRange = [{peer}, {last}]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base", "drain", "config", "recover", "sched", "platform"]
controlMode = "invocation"
[zones]
marmara-a = "marmara"
ege-a = "ege"
marmara-b = "marmara"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4200
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2500
graceS = 6
lossSlackMs = 200
configMs = 2500
rollbackSlackMs = 250
maxSkewMs = 5000
recoveryS = 12
holdMaxMs = 6000
stopMs = 400
gangWaitMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = {status_s}
farFactor = 3
checkpointS = 0.5
restoreMs = 250
[platform]
address = "{store}"
form = "log"
writesPerS = 800
readsPerS = 2000
parts = 8
appendMs = 4.0
partMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
ttlMinMs = 1000
"""
ZONES = (("marmara-a", "marmara"), ("ege-a", "ege"), ("marmara-b", "marmara"))


class Store(fleet_store.FleetStore):
    """The project's stand-in of the store; spreads partitions evenly."""

    def __init__(self):
        super().__init__(append_delay_s=0.004)
        self.too_large = 0

    async def append(self, request):
        """Refuses a call whose records are larger than the store allows."""
        body = await request.read()
        sizes = list(map(len, fleet_store.split(body)))
        if max(sizes, default=0) > RECORD_BYTES or sum(sizes) > CALL_BYTES:
            self.too_large += 1
            return web.Response(status=400)
        return await super().append(request)

    async def join(self, request):
        """Joins a group, whose partitions are spread over its members."""
        message = await request.json()
        now_s = time.monotonic()
        group = self.groups.setdefault(message["group"], {})
        for member, (_, until_s) in list(group.items()):
            if until_s < now_s:
                del group[member]
                self.generation += 1
        if message["member"] not in group:
            self.generation += 1
        since_s = group.get(message["member"], (now_s, 0))[0]
        until_s = now_s + message["ttlMs"] / 1000.0
        group[message["member"]] = (since_s, until_s)
        order = sorted(group, key=lambda member: group[member][0])
        place = order.index(message["member"])
        rows = [
            [topic, number, 0]
            for topic in message["topics"]
            for number in range(PARTITIONS)
            if number % len(order) == place
        ]
        return web.json_response(
            {"generation": self.generation, "parts": rows}
        )


class Node:
    """One deployed process.

    Attributes:
        name: Name of its machine.
        front: Address for clients.
        process: Operating system process.
        log_path: File with its output.
    """

    def __init__(self, *, name, front, process, log_path):
        self.name = name
        self.front = front
        self.process = process
        self.log_path = log_path

    def log_lines(self):
        """Returns the structured lines that the process has logged."""
        lines = []
        for line in self.log_path.read_text(errors="replace").splitlines():
            if line.startswith("{"):
                lines.append(json.loads(line))
        return lines


class Cell:
    """Processes, workers, store and clients of one case.

    Args:
        folder: Folder of the case, which receives ``record.txt``.
        nodes: Number of deployed processes.
        workers: Number of workers.
        quiet: Whether single starts and ends are left out of the record.
        kinds: Kinds of some workers by their number; the others are of the
            kinds ``KINDS`` in turn.
        cpu: Cores of each worker, in thousandths.
        status_s: Seconds for which the state of an ended job is kept.
    """

    def __init__(
        self,
        *,
        folder,
        nodes=8,
        workers=24,
        quiet=False,
        kinds=None,
        cpu=16000,
        status_s=120,
    ):
        self.cpu = cpu
        self.status_s = status_s
        self.started_s = time.monotonic()
        self.record_file = (folder / "record.txt").open("w")
        self.node_count = nodes
        self.worker_count = workers
        self.kinds = kinds or {}
        self.judge = judge.Judge(record=self.record, quiet=quiet)
        self.gangs = worker.Gangs()
        self.store = Store()
        self.ports = Ports()
        self.workers = []
        self.nodes = {}
        self.ended = []
        self.runners = []
        self.tasks = []
        self.session = None
        self.folder = tempfile.TemporaryDirectory(prefix="review-")

    def record(self, event, **fields):
        """Writes a line to ``record.txt``."""
        at_s = time.monotonic() - self.started_s
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.record_file.write(f"{at_s:9.3f} {event} {text}\n")
        self.record_file.flush()

    async def __aenter__(self):
        self.session = aiohttp.ClientSession()
        self.store_address = await self.serve(self.store.app())
        for number in range(self.worker_count):
            each = worker.Worker(
                name=f"w-{number:02}",
                store=self.store,
                service=SERVICE,
                labels=[
                    self.kinds.get(number, KINDS[number % len(KINDS)]),
                    f"r1-{number // RACK_SIZE + 1}",
                ],
                record=self.record,
                judge=self.judge,
                gangs=self.gangs,
            )
            each.cpu = self.cpu
            each.address = await self.serve(each.app())
            self.workers.append(each)
            self.tasks.append(asyncio.create_task(each.work()))
            self.tasks.append(asyncio.create_task(each.heartbeat()))
        self.publish_configuration(1)
        names = [f"edge-{number}" for number in range(self.node_count)]
        try:
            await asyncio.gather(*map(self.start_node, names))
        except BaseException:
            await self.__aexit__()
            raise
        self.record("cell is ready", nodes=len(self.nodes))
        return self

    async def __aexit__(self, *_):
        for node in [*self.nodes.values(), *self.ended]:
            if node.process.returncode is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                await node.process.wait()
        for task in self.tasks:
            task.cancel()
        await self.session.close()
        for runner in self.runners:
            await runner.cleanup()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for path in pathlib.Path(self.folder.name).glob("*.log"):
                (pathlib.Path(keep) / path.name).write_bytes(path.read_bytes())
        self.folder.cleanup()
        self.ports.lock.close()
        self.record("cell has ended")
        self.record_file.close()

    async def serve(self, app):
        """Serves an application on a free port and returns its address."""
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0, backlog=512)
        await site.start()
        self.runners.append(runner)
        return f"127.0.0.1:{runner.addresses[0][1]}"

    def publish_configuration(self, version, **changes):
        """Writes ``op/config``."""
        route = {
            "name": "q",
            "host": HOST,
            "pathPrefix": PREFIX,
            "kind": "unsafe",
            "service": SERVICE,
            "priority": 1,
            "maxAttempts": 2,
            "stretch": 2.2,
            "targetLatencyMs": 1200,
        }
        document = {
            "version": version,
            "routes": [route | changes],
            "services": [{"name": SERVICE, "admissionCheck": False}],
            "limits": {"maxBodyBytes": 262144},
        }
        self.store.put("keyed.op", "config", json.dumps(document).encode())

    async def start_node(self, name, store_address=None):
        """Starts a process with the deploy file's command; waits for it."""
        ports = self.ports.take(5)
        number = int(name.rpartition("-")[2])
        zone, region = ZONES[number % len(ZONES)]
        base = pathlib.Path(self.folder.name)
        path = base / f"{name}-{ports[0]}.toml"
        path.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                region=region,
                peer=ports[0],
                last=ports[1],
                front=ports[2],
                ready=ports[3],
                control=ports[4],
                status_s=self.status_s,
                store=store_address or self.store_address,
            )
        )
        log_path = base / f"{name}-{ports[0]}.log"
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["CICADAFOLD_NODE_FILE"] = str(path)
        with log_path.open("wb") as output:
            process = await asyncio.create_subprocess_exec(
                *shlex.split(deploy["roles"]["node"]["run"]),
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )
        node = Node(
            name=name,
            front=f"127.0.0.1:{ports[2]}",
            process=process,
            log_path=log_path,
        )
        self.nodes[name] = node
        url = f"http://127.0.0.1:{ports[3]}/api/readiness"
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                try:
                    async with self.session.get(url) as answer:
                        if answer.status == 200:
                            return node
                except aiohttp.ClientError:
                    pass
                if process.returncode is not None:
                    raise RuntimeError(log_path.read_text())
                await asyncio.sleep(0.05)

    def scheduler(self):
        """Returns the running process that has recovered the newest term."""
        newest = (0, None)
        for node in self.nodes.values():
            for line in node.log_lines():
                if line["message"].startswith("term: The term is recovered"):
                    newest = max(
                        newest, (line["term"], node), key=lambda item: item[0]
                    )
        return newest[1]

    async def signal_node(self, node, number):
        """Sends a signal to a process; waits for its end after a kill."""
        self.record("signal", node=node.name, signal=number.name)
        node.process.send_signal(number)
        if number == signal.SIGKILL:
            await node.process.wait()
            self.ended.append(self.nodes.pop(node.name))

    async def call(self, method, job="", body=None, *, node=None, timeout=3.0):
        """Makes a call of a client.

        Returns:
            Status, or 0 without an answer, and the decoded body.
        """
        node = node or next(iter(self.nodes.values()))
        try:
            async with self.session.request(
                method,
                f"http://{node.front}{PREFIX}{job}",
                data=None if body is None else json.dumps(body).encode(),
                headers={
                    "Host": HOST,
                    "Content-Type": "application/json",
                    "Cicadafold-Timeout-Ms": str(int(timeout * 1000)),
                },
                timeout=aiohttp.ClientTimeout(total=timeout),
            ) as answer:
                status, found = answer.status, await answer.json()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            status, found = 0, {"error": repr(error)}
        self.record(
            "call",
            method=method,
            job=job,
            node=node.name,
            status=status,
            answer=json.dumps(found)[:160],
        )
        return status, found

    async def submit(self, job, body, *, tries=5):
        """Submits a job, at another node after each failure.

        Returns:
            Whether it was accepted.
        """
        for number, step in enumerate(body["steps"]):
            if step.get("gang"):
                self.gangs.sizes[f"{job}.0.{number}"] = step["count"]
        nodes = list(self.nodes.values())
        for attempt in range(tries):
            node = nodes[attempt % len(nodes)]
            status, _ = await self.call("POST", job, body, node=node)
            if status == 200:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, job):
        """Returns the state of a job, or None without an answer 200."""
        for node in list(self.nodes.values()):
            status, found = await self.call("GET", job, node=node)
            if status == 200:
                return found["state"]
            if status == 410:
                return "410"
        return None

    async def wait_for_end(self, job, timeout_s, pause_s=1.0):
        """Asks for a job until it has ended; returns its last state."""
        end_s = time.monotonic() + timeout_s
        while True:
            state = await self.state(job)
            if state in ("completed", "failed", "cancelled", "410"):
                return state
            if time.monotonic() > end_s:
                return state
            await asyncio.sleep(pause_s)


class Ports:
    """A block of ports below the ephemeral range, locked by its first one."""

    SIZE = 300

    def __init__(self):
        self.lock = socket.socket()
        for first in range(10_000, 31_000, self.SIZE):
            try:
                self.lock.bind(("127.0.0.1", first))
            except OSError:
                continue
            self.free = iter(range(first + 1, first + self.SIZE))
            return
        raise RuntimeError("no free block of ports")

    def take(self, count):
        """Returns ports that nobody listens at."""
        found = []
        while len(found) < count:
            port = next(self.free)
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    continue
            found.append(port)
        return found


def main(case, folder, longest_s=LONGEST_CASE_S, **options):
    """Runs a case and exits with 1 if its rule was broken, else with 0.

    Args:
        case: Coroutine function that is given the cell and whether to make
            the disruption; returns a list of what broke the rule.
        folder: Folder of the case.
        longest_s: Seconds after which the case is given up.
        **options: Options of the cell.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        async with asyncio.timeout(longest_s):
            async with Cell(folder=folder, **options) as cell:
                broken = await case(cell, trouble)
                for line in broken:
                    cell.record("RULE BROKEN", what=line)
                return broken

    try:
        broken = asyncio.run(run())
    except Exception as error:
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    for line in broken[:20]:
        print(f"rule broken: {line}")
    print(f"{len(broken)} findings, trouble={int(trouble)}")
    sys.exit(1 if broken else 0)
