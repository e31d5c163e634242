"""A small cell of real processes on stand-ins for the users' platform."""

import asyncio
import json
import os
import pathlib
import signal
import sys
import tempfile

import aiohttp
from aiohttp import web

from cicadafold_standins.fleet import advice
from cicadafold_standins.fleet import host_main
from cicadafold_standins.fleet import host_settings
from cicadafold_standins.fleet import links
from cicadafold_standins.fleet import run_log
from cicadafold_standins.fleet import store
from cicadafold_standins.fleet import worker
from cicadafold_standins import processes

__all__ = ["FleetCell", "MemberProcess"]

POOL = "pool-a"
# Pool of the workers that serve a queue of their own.
SMALL_POOL = "pool-b"
SMALL_QUEUE_PATH = "/b/"
# Names of the ends of links; the others are workers and hosts.
STORE = "store"
ADVICE = "advice"
QUEUE_HOST = "jobs.example"
QUEUE_PATH = "/q/"
STOP_TIMEOUT_S = 10.0
START_TIMEOUT_S = 20.0
LONGEST_FAULTED_S = 25.0
REGISTRATION_INTERVAL_S = 0.5

KEY_HEADER = "Cicadafold-Key"


class MemberProcess:
    """One process of the cell.

    Attributes:
        name: Name of the member.
        folder: Path of its settings and log files.
        caller_address: Address on which it serves callers.
        peer_address: Address on which it serves its peers.
        ready_address: Address on which it serves readiness checks.
        metrics_address: Address on which it serves its metrics.
        process: Its operating system process.
        log_path: Path of the file that receives its output.
    """

    def __init__(
        self,
        *,
        name,
        folder,
        caller_address,
        peer_address,
        ready_address,
        metrics_address,
        process,
        log_path,
    ):
        self.name = name
        self.folder = folder
        self.caller_address = caller_address
        self.peer_address = peer_address
        self.ready_address = ready_address
        self.metrics_address = metrics_address
        self.process = process
        self.log_path = log_path

    def read_log_lines(self):
        """Returns the log lines written so far."""
        found = []
        for line in self.log_path.read_text().splitlines():
            if line.startswith("{"):
                found.append(json.loads(line))
        return found


class FleetCell:
    """A cell whose members are real processes.

    The stand-ins run in the current process.

    Args:
        workers: Number of workers.
        work_ms: Duration of every task.
        with_advice: Whether the queue requires placement advice.
        teams: Teams as the platform publishes them, or None for a cell
            without teams.
        revoke_ms: Milliseconds within which every process must refuse a
            withdrawn key, also if it is cut off; None for no such bound.
        with_links: Whether the hosts connect through links that can be
            faulted.
        limits: Limits of every host by name, as in its settings file; None
            for the defaults.
        max_body_bytes: Largest body of a call in the configuration.
        small_workers: Number of the last workers that form a pool of their
            own with a queue for every other job; 0 for one pool.

    Attributes:
        links: ``Links`` of the hosts, or None.
        key: Key of all calls that name no other; empty for none.
        key_of: Function that returns the key of a call about a job that names
            none, given the job's identifier; by default it returns ``key``.
        small_workers: Number of workers in the small pool.
        members: Running processes of the cell by name.
        run_log: Record of the run attempts of all workers.
        member_module: Module that the processes of the cell run.
    """

    member_module = "cicadafold.daemon.cell_main"

    def __init__(
        self,
        *,
        workers=3,
        work_ms=100.0,
        with_advice=False,
        teams=None,
        revoke_ms=None,
        with_links=False,
        limits=None,
        max_body_bytes=65536,
        small_workers=0,
    ):
        self.small_workers = small_workers
        self.limits = limits
        self.max_body_bytes = max_body_bytes
        self.links = links.Links() if with_links else None
        self.with_advice = with_advice
        self.teams = teams
        self.revoke_ms = revoke_ms
        self.key = ""
        self.key_of = lambda job_id: self.key
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
        for each in self.workers[workers - small_workers :]:
            each.pool = SMALL_POOL
        self.run_log = run_log.RunLog()
        for each in self.workers:
            each.run_log = self.run_log
        self.ports = processes.PortBlock()
        self.members = {}
        self.runners = []
        self.tasks = []
        self.session = None
        self.store_address = ""
        self.advice_address = ""
        self.folder = tempfile.TemporaryDirectory(prefix="cicadafold-")

    async def __aenter__(self):
        self.session = aiohttp.ClientSession()
        self.store_address = await self.serve(self.store.app(), STORE)
        self.advice_address = await self.serve(self.advice.app(), ADVICE)
        for each in self.workers:
            each.address = await self.serve(
                each.app(), each.name, life=each.life
            )
            self.tasks.append(asyncio.create_task(each.run()))
        self.tasks.append(asyncio.create_task(self.register_workers()))
        self.publish_configuration(1)
        return self

    async def __aexit__(self, *_):
        for name in list(self.members):
            await self.stop(name, signal.SIGKILL)
        for task in self.tasks:
            task.cancel()
        await self.session.close()
        if self.links is not None:
            self.links.close_all()
        for runner in self.runners:
            await runner.cleanup()
        self.ports.close()
        self.folder.cleanup()

    async def serve(self, app, name="", **options):
        """Serves an application and returns the address that hosts are told.

        Args:
            app: The application.
            name: Name of the end of its links, empty for none.
            options: Options of ``Links.listen``.
        """
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self.runners.append(runner)
        port = site._server.sockets[0].getsockname()[1]
        address = f"127.0.0.1:{port}"
        if self.links is None or not name:
            return address
        return await self.links.listen(name, address, **options)

    async def register_workers(self):
        """Periodically renews the registry entries of reachable workers."""
        while True:
            for each in self.workers:
                if not each.silent and not each.down:
                    each.register()
            await asyncio.sleep(REGISTRATION_INTERVAL_S)

    def publish_configuration(
        self, version, *, more_queues=(), teams=None, **changes
    ):
        """Publishes a configuration.

        Args:
            version: Version of the configuration.
            more_queues: Names of queues beside the one that the load uses;
                each has a path of its own.
            teams: Teams from now on, as the platform publishes them; None
                leaves them as they are.
            changes: Fields of that queue's route that differ from the
                default.
        """
        route = {
            "name": "q",
            "host": QUEUE_HOST,
            "pathPrefix": QUEUE_PATH,
            "kind": "unsafe",
            "service": POOL,
            "priority": 0,
            "maxAttempts": 2,
            "stretch": 2.0,
            "targetLatencyMs": 500,
        }
        if self.with_advice:
            route["advice"] = {"decideMs": 5, "eachMs": 0.1, "validMs": 2000}
        others = [
            route | {"name": name, "pathPrefix": f"/{name}/"}
            for name in more_queues
        ]
        pools = [POOL]
        if self.small_workers:
            small = {"name": "b", "pathPrefix": SMALL_QUEUE_PATH}
            others.append(route | small | {"service": SMALL_POOL})
            pools.append(SMALL_POOL)
        document = {
            "version": version,
            "routes": [route | changes, *others],
            "services": [
                {"name": name, "admissionCheck": False} for name in pools
            ],
            "limits": {"maxBodyBytes": self.max_body_bytes},
        }
        if teams is not None:
            self.teams = teams
        if self.teams is not None:
            document["tenants"] = self.teams
        self.store.put("keyed.op", "config", json.dumps(document).encode())

    async def start(self, name, *, store_address=None):
        """Starts a process of the cell and waits until it is ready.

        Args:
            name: Name of the member.
            store_address: Address at which it reaches the store, if not at
                that of the others.
        """
        folder = pathlib.Path(self.folder.name) / name
        folder.mkdir(exist_ok=True)
        peer, last, front, ready = self.member_ports(name)
        path = folder / "boot.toml"
        path.write_text(
            host_settings.settings_text(
                name=name,
                ports=(peer, last, front, ready),
                store_address=store_address or self.store_address,
                advice_address=self.advice_address if self.with_advice else "",
                revoke_ms=self.revoke_ms,
                limits=self.limits,
            )
        )
        module, more = await self.entry_point(name, peer, folder)
        log_path = folder / f"log-{len(self.members)}-{peer}.txt"
        with log_path.open("wb") as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                stdout=output,
                stderr=output,
                env=os.environ | {"CICADAFOLD_NODE_FILE": str(path)} | more,
            )
        member = MemberProcess(
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
        return member

    async def entry_point(self, name, peer, folder):
        """Returns the module that a process runs and its variables.

        Args:
            name: Name of the member.
            peer: Port that it tells its peers.
            folder: Path of its settings.
        """
        if self.links is None:
            return self.member_module, self.member_environment(folder)
        address = f"127.0.0.1:{self.ports.port()}"
        await self.links.listen(name, address, port=peer)
        return "cicadafold_standins.fleet.host_main", {
            host_main.LISTEN_VARIABLE: address,
            host_main.SOURCE_VARIABLE: self.links.source_of(name),
        }

    def member_ports(self, name):
        """Returns the four ports of a process that is about to start."""
        return [self.ports.port() for _ in range(4)]

    def member_environment(self, folder):
        """Returns further environment variables, given a member's folder."""
        return {}

    async def wait_until_ready(self, member, address):
        """Waits until the readiness endpoint of a process answers 200.

        Raises:
            RuntimeError: The process has exited.
            TimeoutError: It was not ready within START_TIMEOUT_S, and
                LONGEST_FAULTED_S with links.
        """
        # A process is ready only once it reaches the store, and faults of
        # its links may follow one another for some time.
        faulted_s = LONGEST_FAULTED_S if self.links is not None else 0.0
        async with asyncio.timeout(START_TIMEOUT_S + faulted_s):
            while True:
                try:
                    url = f"http://{address}/api/readiness"
                    async with self.session.get(url) as answer:
                        if answer.status == 200:
                            return
                except aiohttp.ClientError:
                    pass
                if member.process.returncode is not None:
                    raise RuntimeError(member.log_path.read_text())
                await asyncio.sleep(0.05)

    async def stop(self, name, signal_number=signal.SIGTERM):
        """Sends a signal to a process of the cell and waits for its exit."""
        member = self.members.pop(name)
        if member.process.returncode is None:
            member.process.send_signal(signal_number)
        async with asyncio.timeout(STOP_TIMEOUT_S):
            await member.process.wait()
        if self.links is not None:
            self.links.close(name)
        return member

    async def call(
        self,
        member,
        method,
        job_id="",
        body=None,
        *,
        path=None,
        key=None,
    ):
        """Sends a caller's request and returns its status and JSON body.

        Args:
            member: Process that is called.
            method: HTTP method.
            job_id: Identifier of the job, or empty for the queue itself.
            body: Bytes, an object that is encoded as JSON, or None.
            path: Path prefix of the queue; None for that of the job.
            key: Key of the call; None for that of ``self.key_of``.
        """
        headers = {"Host": QUEUE_HOST, "Content-Type": "application/json"}
        key = self.key_of(job_id) if key is None else key
        if key:
            headers[KEY_HEADER] = key
        path = self.path_of(job_id) if path is None else path
        url = f"http://{member.caller_address}{path}{job_id}"
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        async with self.session.request(
            method,
            url,
            data=None if body is None else data,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=5),
        ) as answer:
            return answer.status, await answer.json()

    def path_of(self, job_id):
        """Returns the path prefix of the queue of a job."""
        if self.small_workers and job_id and int(job_id, 16) % 2:
            return SMALL_QUEUE_PATH
        return QUEUE_PATH

    async def wait_for_state(
        self, member, job_id, expected, *, timeout_s=15.0
    ):
        """Waits until a process reports a job in an expected state.

        Returns:
            The reported states, without immediate repetitions.
        """
        seen = []
        async with asyncio.timeout(timeout_s):
            while True:
                status, body = await self.call(member, "GET", job_id)
                state = body.get("state", status)
                if not seen or seen[-1] != state:
                    seen.append(state)
                if state == expected:
                    return seen
                await asyncio.sleep(0.05)

    def scheduler(self):
        """Returns the process with the newest term, None if there is none."""
        newest = None
        for member in self.members.values():
            for line in member.read_log_lines():
                if line["message"].startswith("term: The term is recovered"):
                    term = line["term"]
                    if newest is None or term > newest[0]:
                        newest = (term, member)
        return None if newest is None else newest[1]
