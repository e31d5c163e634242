"""Cell of simulated processes, with the interface of ``FleetCell``."""

import asyncio
import signal
import types

from aiohttp import web

from cicadafold.daemon import cell_node
from cicadafold.platform import job_server
from cicadafold.settings import cell as cell_settings
from cicadafold_standins.fleet import cell
from cicadafold_standins.fleet import host_settings
from cicadafold_standins.simulation import network as network_module
from cicadafold_standins.simulation import virtual_time

__all__ = ["SimulatedCell"]

GRACE_S = 2.0
START_TIMEOUT_S = 20.0
LONGEST_LEASE_MS = 6000.0
STATUS_S = 120.0
MEMBER_TTL_MS = 1000
# Hosts with too few cores to run the scheduler well.
WEAK_HOSTS = ("n2",)
WEAK_CORES = 0.4
DEFAULT_CORES = 2.0
DEFAULT_LINK_MBPS = 1000.0
STORE_ADDRESS = "10.1.0.1:80"
ADVICE_ADDRESS = "10.1.0.2:80"
CALLER_HOST = "10.1.0.3"


class SimulatedProcess:
    """Simulated process of the cell, controlled by signals.

    Args:
        name: Name of the member.
        address: Host name in the simulated network.
        network: The simulated network.

    Attributes:
        host: Simulated host that runs it.
        node: ``CellNode`` of the process, None until it is created.
        returncode: Exit code, None until the process is killed.
    """

    def __init__(self, *, name, address, network):
        self.host = virtual_time.Host(name=name)
        self.address = address
        self.network = network
        self.node = None
        self.returncode = None

    async def run(self, settings):
        """Runs the ``CellNode`` of the process until the process is killed."""
        self.node = node = cell_node.CellNode(
            settings=settings,
            make_session=lambda limit: network_module.Session(
                self.network, self.address
            ),
        )
        request_handler = job_server.JobRequestHandler(
            service=node.job_service,
            configuration=node.configuration,
            closing=lambda: not node.ready(),
            metrics=node.metrics,
        )
        peers = web.Application()
        node.add_peer_routes(peers.router)
        listen = self.network.listen
        app = job_server.make_caller_app(request_handler)
        listen(settings.caller_address, app, self.host)
        listen(settings.peer_address, peers, self.host)
        self.network.listen_sockets(
            settings.peer_address, node.serve_socket, self.host
        )
        await node.supervisor().run()

    def send_signal(self, signal_number):
        """Freezes, thaws, drains or kills the process.

        Args:
            signal_number: SIGSTOP, SIGCONT, SIGTERM or SIGKILL.
        """
        if signal_number == signal.SIGSTOP:
            self.host.freeze()
        elif signal_number == signal.SIGCONT:
            self.host.thaw()
        elif signal_number == signal.SIGTERM:
            self.host.spawn(self.node.drain(self.close_callers))
        else:
            self.kill()

    async def close_callers(self):
        """Does nothing: calls in progress are left to end."""

    def kill(self):
        """Ends the process at once."""
        self.host.kill()
        self.network.close(self.host)
        self.returncode = -signal.SIGKILL


class SimulatedCell(cell.FleetCell):
    """Stand-ins and simulated processes on one event loop in virtual time.

    Args:
        rng: Random number generator of the network.
        workers: Number of workers.
        work_ms: Duration of every task.
        with_advice: Whether the queue requires placement advice.
        weak_hosts: Names of the processes on hosts with few cores.
        topology: ``Topology`` of the links with a limited bandwidth, or None
            if there are none.
        teams: As for ``FleetCell``.
        revoke_ms: As for ``FleetCell``.
        status_s: Seconds for which callers may ask for an ended job.
        small_workers: As for ``FleetCell``.

    Attributes:
        network: Simulated network between processes, stand-ins and callers.
        processes: All processes that were started, also those that ended.
    """

    def __init__(
        self,
        *,
        rng,
        workers,
        work_ms,
        with_advice=False,
        weak_hosts=WEAK_HOSTS,
        topology=None,
        teams=None,
        revoke_ms=None,
        status_s=STATUS_S,
        small_workers=0,
    ):
        super().__init__(
            workers=workers,
            work_ms=work_ms,
            with_advice=with_advice,
            teams=teams,
            revoke_ms=revoke_ms,
            small_workers=small_workers,
        )
        self.status_s = status_s
        self.rng = rng
        self.weak_hosts = weak_hosts
        self.topology = topology
        self.network = network_module.Network(rng=rng, topology=topology)
        self.processes = []

    async def __aenter__(self):
        self.session = network_module.Session(self.network, CALLER_HOST)
        self.store_address = STORE_ADDRESS
        self.advice_address = ADVICE_ADDRESS
        self.network.listen(STORE_ADDRESS, self.store.app())
        self.network.listen(ADVICE_ADDRESS, self.advice.app())
        for number, each in enumerate(self.workers):
            each.address = f"10.2.0.{number + 1}:80"
            self.network.listen(each.address, each.app())
            self.network.incarnations[each.address] = lambda at=each: (
                at.born_ms
            )
            self.tasks.append(asyncio.create_task(each.run()))
        self.tasks.append(asyncio.create_task(self.register_workers()))
        self.publish_configuration(1)
        return self

    async def __aexit__(self, *_):
        for process in self.processes:
            process.kill()
        for task in self.tasks:
            task.cancel()
        self.folder.cleanup()

    async def start(self, name):
        """Starts a simulated process and waits until it is ready."""
        host = f"10.0.0.{name.strip('n')}"
        process = SimulatedProcess(
            name=name, address=host, network=self.network
        )
        port = 1000 + 10 * len(self.processes)
        region, link_mbps = "r", DEFAULT_LINK_MBPS
        if self.topology is not None:
            region = self.topology.region(host)
            link_mbps = self.topology.host_mbps.get(host, link_mbps)
        self.processes.append(process)
        settings = cell_settings.CellSettings(
            member=name,
            domain="a",
            region=region,
            caller_address=f"{host}:{port}",
            ready_address=f"{host}:{port + 1}",
            peer_address=f"{host}:{port + 2}",
            metrics_address=f"{host}:{port + 3}",
            store_address=self.store_address,
            advice_address=self.advice_address if self.with_advice else "",
            longest_lease_ms=LONGEST_LEASE_MS,
            status_s=self.status_s,
            member_ttl_ms=MEMBER_TTL_MS,
            grace_s=GRACE_S,
            cores=WEAK_CORES if name in self.weak_hosts else DEFAULT_CORES,
            link_mbps=link_mbps,
            **self.bounds(),
        )
        process.host.spawn(process.run(settings))
        self.members[name] = types.SimpleNamespace(
            name=name, caller_address=settings.caller_address, process=process
        )
        async with asyncio.timeout(START_TIMEOUT_S):
            while process.node is None or not process.node.ready():
                await asyncio.sleep(0.05)
        return self.members[name]

    def serving(self):
        """Returns the name of the member that runs the scheduler, or None."""
        for name, member in self.members.items():
            term = member.process.node.term
            if term is not None and term.ready:
                return name
        return None

    def bounds(self):
        """Returns the settings of the bounds that concern keys."""
        if self.revoke_ms is None:
            return {}
        return {
            "revoke_strict": True,
            "revoke_ms": self.revoke_ms,
            "configuration_bound_ms": host_settings.CONFIGURATION_BOUND_MS,
        }

    async def stop(self, name, signal_number=signal.SIGTERM):
        """Ends a simulated process.

        After SIGTERM it gets GRACE_S to drain before it is killed.
        """
        member = self.members.pop(name)
        if signal_number == signal.SIGTERM:
            member.process.send_signal(signal_number)
            await asyncio.sleep(GRACE_S)
        member.process.kill()
        return member
