"""A cell of simulated processes, used as the one of real processes is."""

import asyncio
import signal
import types

from aiohttp import web

from cicadafold.daemon import cell_node
from cicadafold.platform import job_server
from cicadafold.settings import cell as cell_settings
from cicadafold_standins.fleet import cell
from cicadafold_standins.simulation import network as network_module
from cicadafold_standins.simulation import virtual_time

__all__ = ["SimulatedCell"]

GRACE_S = 2.0
START_LIMIT_S = 20.0
LONGEST_LEASE_MS = 6000.0
STATUS_S = 120.0
MEMBER_TTL_MS = 1000
# One host is too weak to carry a scheduler well.
CORES = {"n2": 0.4}
STRONG_CORES = 2.0
STORE = "10.1.0.1:80"
ADVICE = "10.1.0.2:80"
CALLERS = "10.1.0.3"


class SimulatedProcess:
    """One process of the cell, which takes signals.

    Attributes:
        host: Where its parts run.
        node: Its parts.
        returncode: None while it lives.
    """

    def __init__(self, *, name, address, network):
        self.host = virtual_time.Host(name=name)
        self.address = address
        self.network = network
        self.node = None
        self.returncode = None

    async def run(self, settings):
        """Serves until it is killed."""
        self.node = node = cell_node.CellNode(
            settings=settings,
            make_session=lambda limit: network_module.Session(
                self.network, self.address
            ),
        )
        calls = job_server.JobRequestHandler(
            service=node.job_service,
            routes=node.routes,
            closing=lambda: not node.ready(),
            metrics=node.metrics,
        )
        peers = web.Application()
        node.peer_directory.add_routes(peers.router)
        listen = self.network.listen
        app = job_server.make_caller_app(calls)
        listen(settings.caller_address, app, self.host)
        listen(settings.peer_address, peers, self.host)
        self.network.listen_sockets(
            settings.peer_address, node.serve_socket, self.host
        )
        await node.supervisor().run()

    def send_signal(self, number):
        """Freezes, thaws or kills the process, or asks it to stop."""
        if number == signal.SIGSTOP:
            self.host.freeze()
        elif number == signal.SIGCONT:
            self.host.thaw()
        elif number == signal.SIGTERM:
            self.host.spawn(self.node.drain(self.close_callers))
        else:
            self.kill()

    async def close_callers(self):
        """Leaves calls in hand to their end."""

    def kill(self):
        """Ends the process at once."""
        self.host.kill()
        self.network.close(self.host)
        self.returncode = -signal.SIGKILL


class SimulatedCell(cell.FleetCell):
    """Stand-ins and nodes in one process, in virtual time.

    Args:
        luck: Source of random choices.
        workers: Number of workers.
        work_ms: Duration of every task.
        with_advice: Whether queues need advice.

    Attributes:
        network: Network between all parts.
        processes: Every process that was ever started.
    """

    def __init__(self, *, luck, workers, work_ms, with_advice=False):
        super().__init__(
            workers=workers, work_ms=work_ms, with_advice=with_advice
        )
        self.luck = luck
        self.network = network_module.Network(luck=luck)
        self.processes = []

    async def __aenter__(self):
        self.session = network_module.Session(self.network, CALLERS)
        self.store_address = STORE
        self.advice_address = ADVICE
        self.network.listen(STORE, self.store.app())
        self.network.listen(ADVICE, self.advice.app())
        for number, each in enumerate(self.workers):
            each.address = f"10.2.0.{number + 1}:80"
            self.network.listen(each.address, each.app())
            self.network.lives[each.address] = lambda at=each: at.born_ms
            self.tasks.append(asyncio.create_task(each.run()))
        self.tasks.append(asyncio.create_task(self.beat()))
        self.configure(1)
        return self

    async def __aexit__(self, *_):
        for process in self.processes:
            process.kill()
        for task in self.tasks:
            task.cancel()
        self.folder.cleanup()

    async def start(self, name):
        """Starts a node and waits until it is ready."""
        host = f"10.0.0.{name.strip('n')}"
        process = SimulatedProcess(
            name=name, address=host, network=self.network
        )
        port = 1000 + 10 * len(self.processes)
        self.processes.append(process)
        settings = cell_settings.CellSettings(
            member=name,
            domain="a",
            region="r",
            caller_address=f"{host}:{port}",
            ready_address=f"{host}:{port + 1}",
            peer_address=f"{host}:{port + 2}",
            metrics_address=f"{host}:{port + 3}",
            store_address=self.store_address,
            advice_address=self.advice_address if self.with_advice else "",
            longest_lease_ms=LONGEST_LEASE_MS,
            status_s=STATUS_S,
            member_ttl_ms=MEMBER_TTL_MS,
            grace_s=GRACE_S,
            cores=CORES.get(name, STRONG_CORES),
            link_mbps=1000.0,
        )
        process.host.spawn(process.run(settings))
        self.nodes[name] = types.SimpleNamespace(
            name=name, front=settings.caller_address, process=process
        )
        async with asyncio.timeout(START_LIMIT_S):
            while process.node is None or not process.node.ready():
                await asyncio.sleep(0.05)
        return self.nodes[name]

    async def stop(self, name, number=signal.SIGTERM):
        """Ends a node, after its time to drain if it is asked to stop."""
        found = self.nodes.pop(name)
        if number == signal.SIGTERM:
            found.process.send_signal(number)
            await asyncio.sleep(GRACE_S)
        found.process.kill()
        return found
