"""A small cell on the platform's stand-ins, with real processes."""

import asyncio
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile

import aiohttp
from aiohttp import web

from cicadafold_standins.fleet import advice
from cicadafold_standins.fleet import run_log
from cicadafold_standins.fleet import store
from cicadafold_standins.fleet import worker

__all__ = ["FleetCell", "NodeProcess"]

POOL = "pool-a"
HOST = "jobs.example"
PREFIX = "/q/"
STOP_TIMEOUT_S = 10.0
START_TIMEOUT_S = 20.0
BEAT_S = 0.5

SETTINGS = """
nodeName = "{name}"
zone = "a"
region = "r"
ip = "127.0.0.1"
portRange = [{peer}, {last}]
{advice}
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[bounds]
holdMaxMs = 6000
status_s = 120
graceS = 2
[platform]
address = "{store}"
ttlMinMs = 1000
"""


class NodeProcess:
    """One process of the cell.

    Attributes:
        front: Address for callers.
        log: Path of what it writes.
    """

    def __init__(self, *, name, folder, front, process, log):
        self.name = name
        self.folder = folder
        self.front = front
        self.process = process
        self.log = log

    def lines(self):
        """Returns the log lines written so far."""
        found = []
        for line in self.log.read_text().splitlines():
            if line.startswith("{"):
                found.append(json.loads(line))
        return found


class FleetCell:
    """Stand-ins in this process, and nodes as processes of their own.

    Args:
        workers: Number of workers.
        work_ms: Duration of every task.
        with_advice: Whether queues need advice.
    """

    def __init__(self, *, workers=3, work_ms=100.0, with_advice=False):
        self.with_advice = with_advice
        self.store = store.FleetStore()
        self.advice = advice.FleetAdvice()
        self.workers = [
            worker.FleetWorker(
                name=f"i-{number}",
                store=self.store,
                pool=POOL,
                work_ms=work_ms,
            )
            for number in range(workers)
        ]
        self.log = run_log.RunLog()
        for each in self.workers:
            each.log = self.log
        self.nodes = {}
        self.runners = []
        self.tasks = []
        self.session = None
        self.store_address = ""
        self.advice_address = ""
        self.folder = tempfile.TemporaryDirectory(prefix="cicadafold-")

    async def __aenter__(self):
        self.session = aiohttp.ClientSession()
        self.store_address = await self.serve(self.store.app())
        self.advice_address = await self.serve(self.advice.app())
        for each in self.workers:
            each.address = await self.serve(each.app())
            self.tasks.append(asyncio.create_task(each.run()))
        self.tasks.append(asyncio.create_task(self.beat()))
        self.configure(1)
        return self

    async def __aexit__(self, *_):
        for name in list(self.nodes):
            await self.stop(name, signal.SIGKILL)
        for task in self.tasks:
            task.cancel()
        await self.session.close()
        for runner in self.runners:
            await runner.cleanup()
        self.folder.cleanup()

    async def serve(self, app):
        """Serves an application on a free port and returns its address."""
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self.runners.append(runner)
        port = site._server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    async def beat(self):
        """Lets the workers register again and again."""
        while True:
            for each in self.workers:
                if not each.silent:
                    each.register()
            await asyncio.sleep(BEAT_S)

    def configure(self, version, **changes):
        """Publishes a configuration with one queue."""
        route = {
            "name": "q",
            "host": HOST,
            "pathPrefix": PREFIX,
            "kind": "unsafe",
            "service": POOL,
            "priority": 0,
            "maxAttempts": 2,
            "stretch": 2.0,
            "targetLatencyMs": 500,
        }
        if self.with_advice:
            route["advice"] = {"decideMs": 5, "eachMs": 0.1, "validMs": 2000}
        document = {
            "version": version,
            "routes": [route | changes],
            "services": [{"name": POOL, "admissionCheck": False}],
            "limits": {"maxBodyBytes": 65536},
        }
        self.store.put("keyed.op", "config", json.dumps(document).encode())

    async def start(self, name):
        """Starts a node and waits until it is ready."""
        folder = pathlib.Path(self.folder.name) / name
        folder.mkdir(exist_ok=True)
        peer, last, front, ready = free_ports(4)
        advice_line = f'advice = "{self.advice_address}"'
        path = folder / "boot.toml"
        path.write_text(
            SETTINGS.format(
                name=name,
                peer=min(peer, last),
                last=max(peer, last),
                advice=advice_line if self.with_advice else "",
                front=front,
                ready=ready,
                store=self.store_address,
            )
        )
        log = folder / f"log-{len(self.nodes)}-{peer}.txt"
        with log.open("wb") as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "cicadafold.daemon.cell_main",
                stdout=output,
                stderr=output,
                env=os.environ | {"CICADAFOLD_NODE_FILE": str(path)},
            )
        node = NodeProcess(
            name=name,
            folder=folder,
            front=f"127.0.0.1:{front}",
            process=process,
            log=log,
        )
        self.nodes[name] = node
        await self.until_ready(node, f"127.0.0.1:{ready}")
        return node

    async def until_ready(self, node, address):
        """Waits until a node says that it is ready."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                try:
                    url = f"http://{address}/api/readiness"
                    async with self.session.get(url) as answer:
                        if answer.status == 200:
                            return
                except aiohttp.ClientError:
                    pass
                if node.process.returncode is not None:
                    raise RuntimeError(node.log.read_text())
                await asyncio.sleep(0.05)

    async def stop(self, name, number=signal.SIGTERM):
        """Sends a signal to a node that this cell started, and waits."""
        node = self.nodes.pop(name)
        if node.process.returncode is None:
            node.process.send_signal(number)
        async with asyncio.timeout(STOP_TIMEOUT_S):
            await node.process.wait()
        return node

    async def call(self, node, method, job="", body=None):
        """Makes a caller's call and returns status and body."""
        url = f"http://{node.front}{PREFIX}{job}"
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        async with self.session.request(
            method,
            url,
            data=None if body is None else data,
            headers={"Host": HOST, "Content-Type": "application/json"},
            timeout=aiohttp.ClientTimeout(total=5),
        ) as answer:
            return answer.status, await answer.json()

    async def until_state(self, node, job, wanted, *, timeout_s=15.0):
        """Waits until a job is shown in a state, and returns all seen."""
        seen = []
        async with asyncio.timeout(timeout_s):
            while True:
                status, body = await self.call(node, "GET", job)
                state = body.get("state", status)
                if not seen or seen[-1] != state:
                    seen.append(state)
                if state == wanted:
                    return seen
                await asyncio.sleep(0.05)

    def scheduler(self):
        """Returns the node whose term began last."""
        newest = None
        for node in self.nodes.values():
            for line in node.lines():
                if line["message"].startswith("term: The term gives"):
                    term = line["term"]
                    if newest is None or term > newest[0]:
                        newest = (term, node)
        return None if newest is None else newest[1]


def free_ports(count):
    """Returns ports that are free now; the first two are adjacent."""
    sockets = []
    while True:
        first = socket.socket()
        first.bind(("127.0.0.1", 0))
        port = first.getsockname()[1]
        second = socket.socket()
        try:
            second.bind(("127.0.0.1", port + 1))
        except OSError:
            first.close()
            second.close()
            continue
        sockets.extend((first, second))
        break
    for _ in range(count - 2):
        each = socket.socket()
        each.bind(("127.0.0.1", 0))
        sockets.append(each)
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports
