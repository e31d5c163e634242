"""Runs a whole cell as real processes on the loopback interface.

The cell consists of entry hosts, workers, stand-ins for the platform's log
service and host list, and one proxy. All traffic between failure domains
passes through the proxy, which adds delays, limits the bandwidth between
regions, and resets or blackholes links to simulate network faults.
"""

import asyncio
import pathlib
import signal
import sys
import tempfile
import time

import aiohttp
from cicadafold.platform import messages as platform
from cicadafold_schema import messages
import msgspec

from cicadafold_standins import cells
from cicadafold_standins import processes
from cicadafold_standins import proxy

__all__ = ["Cell", "Layout"]

READY_TIMEOUT_S = 60.0
POLL_S = 0.05
DAEMON_MODULE = "cicadafold.daemon.main"


class Layout(msgspec.Struct, kw_only=True):
    """Number and location of the processes of a cell.

    Attributes:
        entries: Number of entry hosts by failure domain.
        racks: Failure domain and number of workers by rack.
        regions: Region by failure domain.
        proxied: Whether traffic between failure domains passes through
            the proxy; without it, connections are direct and undelayed.
        retention_s: Time for which the log service keeps entries, in
            seconds.
    """

    entries: dict[str, int] = msgspec.field(
        default_factory=lambda: {"d1": 3, "d2": 2, "d3": 2}
    )
    racks: dict[str, tuple[str, int]] = msgspec.field(
        default_factory=lambda: {
            "rack-1": ("d1", 8),
            "rack-2": ("d2", 8),
            "rack-3": ("d3", 8),
        }
    )
    regions: dict[str, str] = msgspec.field(
        default_factory=lambda: {"d1": "r1", "d2": "r1", "d3": "r2"}
    )
    proxied: bool = True
    retention_s: float = 3600.0


class Cell:
    """A cell of real processes; an async context manager that runs them.

    Args:
        plan: Kinds, teams, delays and worker sizes of the cell.
        layout: Number and location of the processes.
        folder: Folder for settings, logs and records; a new temporary
            folder by default.
        daemon: Module that an entry host runs.

    Attributes:
        entries: Entry hosts by name.
        workers: Worker processes by name.
        stand_ins: Processes of the log service, the host list and the
            proxy.
        balancers: Address of the balancer for callers, by region.
        address_maps: For each failure domain, the proxy's address for
            each address in another domain.
        hosts: The workers as the platform's host list describes them.
    """

    def __init__(
        self, *, plan, layout=None, folder=None, daemon=DAEMON_MODULE
    ):
        self.plan = plan
        self.daemon = daemon
        self.layout = layout or Layout()
        self.folder = pathlib.Path(folder or tempfile.mkdtemp(prefix="cf-"))
        self.folder.mkdir(parents=True, exist_ok=True)
        self.entries = {}
        self.workers = {}
        self.stand_ins = []
        self.balancers = {}
        self.routes = []
        self.links = {}
        self.pools = {}
        self.address_maps = {}
        self.hosts = []
        self.session = None
        self.serial = 0
        self.ports = processes.PortBlock()
        self.log_address = ""
        self.host_list_address = ""
        self.proxy_control_address = ""

    # Layout.

    def free_address(self):
        """Returns a loopback address with a free port."""
        return self.ports.address()

    def stand_in_command(self, module, *arguments):
        """Returns the command line of a stand-in."""
        return [sys.executable, "-m", f"cicadafold_standins.{module}"] + [
            str(argument) for argument in arguments
        ]

    def assign_addresses(self):
        """Assigns an address to every process and routes to the proxy."""
        domains = list(self.layout.regions)
        first = domains[0]
        self.log_address = self.free_address()
        self.host_list_address = self.free_address()
        self.proxy_control_address = self.free_address()
        for rack, (domain, count) in self.layout.racks.items():
            for index in range(count):
                self.add_worker(rack, domain, index)
        for domain, count in self.layout.entries.items():
            for _ in range(count):
                self.add_entry_host(domain)
        locations = [
            (self.log_address, first),
            (self.host_list_address, first),
        ]
        locations += [(h.address, h.failure_domain) for h in self.hosts]
        locations += [(e.address, e.domain) for e in self.entries.values()]
        for source in domains:
            self.address_maps[source] = {}
            for address, domain in locations:
                self.add_route(source, domain, address)
        for region in sorted(set(self.layout.regions.values())):
            self.add_balancer(region)

    def add_worker(self, rack, domain, index):
        """Adds a worker to the layout."""
        name = f"{rack}-w{index + 1}"
        host = platform.HostEntry(
            name=name,
            address=self.free_address(),
            rack=rack,
            failure_domain=domain,
            region=self.layout.regions[domain],
            cores=self.plan.cores,
            memory_mb=self.plan.memory_mb,
        )
        self.hosts.append(host)
        arguments = self.stand_in_command(
            "worker",
            "--listen",
            host.address,
            "--cores",
            host.cores,
            "--memory-mb",
            host.memory_mb,
        )
        self.workers[name] = processes.WorkerProcess(
            host=host,
            folder=self.folder,
            name=name,
            arguments=arguments,
            log_path=self.folder / f"{name}.log",
        )

    def add_entry_host(self, domain):
        """Adds an entry host to the layout and returns it."""
        self.serial += 1
        name = f"entry-{self.serial}"
        entry = processes.EntryHost(
            domain=domain,
            region=self.layout.regions[domain],
            address=self.free_address(),
            name=name,
            arguments=[
                sys.executable,
                "-m",
                self.daemon,
                "--settings",
                str(self.folder / f"{name}.toml"),
            ],
            log_path=self.folder / f"{name}.log",
        )
        self.entries[name] = entry
        return entry

    def add_route(self, source, domain, address):
        """Routes an address through the proxy for processes of another domain.

        Args:
            source: Failure domain of the processes that connect.
            domain: Failure domain of the address.
            address: Address to connect to.
        """
        if source == domain or not self.layout.proxied:
            return
        link = self.link_between(source, domain)
        listen = self.free_address()
        self.routes.append(
            proxy.Route(listen=listen, destinations=[address], link=link)
        )
        self.address_maps[source][address] = listen

    def link_between(self, source, domain):
        """Returns the name of the link between two domains; adds it if new."""
        name = f"{source}>{domain}"
        if name not in self.links:
            regions = self.layout.regions
            pair = (regions[source], regions[domain])
            between_regions = pair[0] != pair[1]
            delay_ms = self.plan.domain_delay_ms
            if between_regions:
                delay_ms = self.plan.region_delay_ms
            up, down = f"{pair[0]}>{pair[1]}", f"{pair[1]}>{pair[0]}"
            self.add_pool(up, between_regions)
            self.add_pool(down, between_regions)
            self.links[name] = proxy.LinkSettings(
                name=name, up=up, down=down, delay_ms=delay_ms
            )
        return name

    def add_pool(self, name, between_regions):
        """Adds the bandwidth limit of one direction; 0 means no limit."""
        rate = cells.REGION_LINK_BITS_PER_S if between_regions else 0
        self.pools[name] = proxy.PoolSettings(
            name=name, bandwidth_bits_per_s=rate
        )

    def add_balancer(self, region):
        """Adds the balancer for callers of a region's entry hosts."""
        name = f"callers>{region}"
        self.add_pool("callers", False)
        self.links[name] = proxy.LinkSettings(
            name=name,
            up="callers",
            down="callers",
            delay_ms=self.plan.caller_delay_ms if self.layout.proxied else 0,
        )
        listen = self.free_address()
        entry_addresses = [
            e.address for e in self.entries.values() if e.region == region
        ]
        self.routes.append(
            proxy.Route(
                listen=listen,
                destinations=entry_addresses,
                link=name,
                balance=True,
            )
        )
        self.balancers[region] = listen

    # Start and stop.

    async def __aenter__(self):
        try:
            await self.start()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(self, *error):
        await self.stop()

    async def start(self):
        """Starts all processes and applies the first configuration."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=10),
        )
        self.assign_addresses()
        self.write_files()
        self.stand_ins = [
            self.stand_in_process(
                "log_service",
                self.log_address,
                "--retention-s",
                self.layout.retention_s,
            ),
            self.stand_in_process(
                "host_list",
                self.host_list_address,
                "--file",
                self.folder / "hosts.json",
            ),
            self.proxy_process(),
        ]
        started = [*self.stand_ins, *self.workers.values()]
        started += self.entries.values()
        await asyncio.gather(*(process.start() for process in started))
        await self.wait_ready(list(self.entries.values()))
        await self.apply_first_configuration()
        await self.wait_racks_owned()

    async def apply_first_configuration(self):
        """Applies the first configuration.

        The members of the naive scheduler do not replicate it, so that it
        is applied to each of them.
        """
        entries = list(self.entries.values())
        if self.daemon == DAEMON_MODULE:
            entries = entries[:1]
        for entry in entries:
            await self.apply(
                self.plan.configuration(), change_id="first", entry=entry
            )

    def stand_in_process(self, module, address, *arguments):
        """Returns the process of a stand-in that listens on an address."""
        return processes.Process(
            name=module,
            arguments=self.stand_in_command(
                module, "--listen", address, *arguments
            ),
            log_path=self.folder / f"{module}.log",
        )

    def proxy_process(self):
        """Returns the process of the proxy."""
        return processes.Process(
            name="proxy",
            arguments=self.stand_in_command(
                "proxy", "--settings", self.folder / "proxy.json"
            ),
            log_path=self.folder / "proxy.log",
        )

    def write_files(self):
        """Writes the settings of proxy and entry hosts, and the host list."""
        settings = proxy.ProxySettings(
            control=self.proxy_control_address,
            pools=list(self.pools.values()),
            links=list(self.links.values()),
            routes=self.routes,
        )
        hosts = platform.HostList(hosts=self.hosts)
        encode = msgspec.json.encode
        (self.folder / "proxy.json").write_bytes(encode(settings))
        (self.folder / "hosts.json").write_bytes(encode(hosts))
        for entry in self.entries.values():
            self.write_settings(entry)

    def write_settings(self, entry):
        """Writes the settings file of an entry host."""
        routes = self.address_maps[entry.domain]
        lines = [
            "[member]",
            f'name = "{entry.name}"',
            f'listen = "{entry.address}"',
            f'failure_domain = "{entry.domain}"',
            f'region = "{entry.region}"',
            "[platform]",
            f'log = "{self.log_address}"',
            f'hosts = "{self.host_list_address}"',
            f"log_retention_s = {self.layout.retention_s}",
            "[platform.routes]",
            *(f'"{k}" = "{v}"' for k, v in routes.items()),
        ]
        path = self.folder / f"{entry.name}.toml"
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")

    async def stop(self):
        """Kills all processes that were started and frees the ports."""
        processes = [*self.entries.values(), *self.workers.values()]
        processes += self.stand_ins
        for process in processes:
            if process.is_running():
                process.signal(signal.SIGCONT)
                process.process.kill()
        for process in processes:
            if process.process is not None:
                await process.process.wait()
        await self.session.close()
        self.ports.close()

    # Conditions.

    async def wait_for(self, condition, *, what, timeout_s=READY_TIMEOUT_S):
        """Polls a condition until it holds.

        Args:
            condition: Coroutine function that returns whether it holds.
            what: The condition in words, for the error message.
            timeout_s: Time limit in seconds.

        Raises:
            TimeoutError: The condition did not hold within the limit.
        """
        end_s = time.monotonic() + timeout_s
        while not await condition():
            if time.monotonic() > end_s:
                raise TimeoutError(
                    f"timed out waiting until {what}; logs: {self.folder}"
                )
            await asyncio.sleep(POLL_S)

    async def get(self, address, path):
        """Returns the body of a GET reply with status 200, or None."""
        try:
            url = f"http://{address}{path}"
            async with self.session.get(url) as reply:
                return await reply.read() if reply.status == 200 else None
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    async def post(self, address, path, message):
        """Posts a message as JSON and returns the reply's status and body."""
        url = f"http://{address}{path}"
        body = msgspec.json.encode(message)
        async with self.session.post(url, data=body) as reply:
            return reply.status, await reply.read()

    async def wait_ready(self, entries):
        """Waits until the health pages of entry hosts report ready."""

        async def all_ready():
            pages = [self.get(e.address, "/healthz") for e in entries]
            return all(await asyncio.gather(*pages))

        await self.wait_for(all_ready, what="entry hosts are ready")

    async def fetch_cell(self, entry):
        """Returns the cell's state as an entry host reports it, or None."""
        body = await self.get(entry.address, "/v1/cell")
        if body is None:
            return None
        return msgspec.json.decode(body, type=messages.Cell)

    async def wait_racks_owned(self):
        """Waits until every rack has an owner and a free slot."""

        async def all_owned():
            for entry in self.running_entry_hosts():
                state = await self.fetch_cell(entry)
                if state is None or not state.racks:
                    return False
                if not all(r.owner and r.free_slots for r in state.racks):
                    return False
            return True

        await self.wait_for(all_owned, what="all racks are owned")

    def running_entry_hosts(self):
        """Returns the entry hosts whose processes run."""
        return [e for e in self.entries.values() if e.is_running()]

    async def owner_of(self, rack):
        """Returns the entry host that owns a rack, or None if unknown."""
        for entry in self.running_entry_hosts():
            state = await self.fetch_cell(entry)
            if state is None:
                continue
            for row in state.racks:
                if row.name == rack and row.owner in self.entries:
                    return self.entries[row.owner]
        return None

    # Actions.

    async def apply(self, configuration, *, change_id, base=0, entry=None):
        """Submits a configuration change and returns status and body.

        Args:
            configuration: Configuration to apply.
            change_id: Identifier of the change.
            base: Revision that the change is based on.
            entry: Entry host to call; the first running one by default.
        """
        entry = entry or self.running_entry_hosts()[0]
        change = messages.ConfigurationChange(
            change_id=change_id,
            base_revision=base,
            author="test",
            configuration=configuration,
        )
        return await self.post(entry.address, "/v1/configuration", change)

    async def set_log_faults(self, **faults):
        """Sets the faults of the log service; those not given are cleared."""
        await self.post(self.log_address, "/faults", faults)

    async def set_link_mode(self, prefix, mode):
        """Sets the mode of the links whose names start with a prefix."""
        request = proxy.FaultRequest(prefix=prefix, mode=mode)
        await self.post(self.proxy_control_address, "/faults", request)

    async def publish_hosts(self, *, lag_s=0.5, hosts=None):
        """Publishes a host list, by default with all workers.

        Args:
            lag_s: Time until readers see the list, in seconds.
            hosts: Workers to list instead.
        """
        hosts = platform.HostList(hosts=hosts or self.hosts)
        path = f"/hosts?lag_s={lag_s}"
        await self.post(self.host_list_address, path, hosts)

    async def mark_leaving(self, name, *, lag_s=0.5):
        """Marks a worker as leaving in the platform's host list."""
        for host in self.hosts:
            if host.name == name:
                host.state = platform.HostState.LEAVING
        await self.publish_hosts(lag_s=lag_s)

    async def restart_entry_host(self, name):
        """Starts an entry host's process again."""
        await self.entries[name].start()

    def worker_records(self):
        """Returns the run records that the workers wrote, by worker name."""
        return {name: w.records() for name, w in self.workers.items()}

    async def counters(self):
        """Returns the counters of the proxy and of the log service."""
        bytes_body = await self.get(self.proxy_control_address, "/counters")
        log_body = await self.get(self.log_address, "/counters")
        return (
            msgspec.json.decode(bytes_body),
            msgspec.json.decode(log_body),
        )
