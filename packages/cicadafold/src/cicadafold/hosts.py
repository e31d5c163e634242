"""Workers by rack, from the platform's list of workers."""

import asyncio

import msgspec

from cicadafold import exception
from cicadafold.placement import capacity
from cicadafold.platform import messages as platform
from cicadafold.telemetry import logs

__all__ = ["HostTable", "RackEntry", "merge_hosts"]

REFRESH_PERIOD_S = 1.0
SLOW_REFRESH_PERIOD_S = 3.0

LOG = logs.get_logger("hosts")


class RackEntry:
    """A rack and its workers.

    Attributes:
        name: Name of the rack.
        failure_domain: Failure domain of the rack.
        region: Region of the rack.
        hosts: ``HostEntry`` of each worker in the rack.
        capacities: Capacity of each worker when it runs no tasks, in the
            order of ``hosts``.
    """

    def __init__(self, *, name, failure_domain, region, hosts):
        self.name = name
        self.failure_domain = failure_domain
        self.region = region
        self.hosts = hosts
        self.capacities = [capacity.Capacity.of_host(h) for h in hosts]

    def could_fit(self, kind, *, headroom):
        """Whether the rack could run a request of a kind if it were idle.

        Args:
            kind: Kind of the request.
            headroom: Slots of each worker that stay free, each with its
                share of the cores and memory.
        """
        resources = capacity.resources_of_kind(kind)
        count = 0
        for empty in self.capacities:
            count += count_fitting_tasks(
                empty, resources, headroom, kind.tasks
            )
            if count >= kind.tasks:
                return True
        return False


def count_fitting_tasks(empty, resources, headroom, limit):
    """Returns how many tasks an idle worker could run at once.

    Args:
        empty: Capacity of the idle worker; unchanged on return.
        resources: Resources of one task.
        headroom: Slots of the worker that stay free, each with its share of
            the cores and memory.
        limit: Number of tasks at which the count stops.
    """
    count = 0
    while count < limit and empty.fits(resources, headroom=headroom):
        empty.reserve(resources)
        count += 1
    empty.reset()
    return count


class HostTable:
    """The workers in the platform's list and in the control log.

    The list lags behind the real state. A worker that the control log
    contains and the list does not is marked as leaving: it gets no new
    tasks, but its running tasks are still managed.

    Args:
        source: Adapter that reads the platform's list.
        recorded: Function that returns the workers in the control log by
            rack.
        is_owner: Function that returns whether this process owns a rack.

    Attributes:
        racks: ``RackEntry`` objects by name.
        version: Number that increases with each change of the workers.
        listed: Workers that the platform's list had when it was last read.
        merged: Result of the last ``merge_hosts``.
    """

    def __init__(self, *, source, recorded, is_owner=lambda: True):
        self.source = source
        self.is_owner = is_owner
        self.recorded = recorded
        self.racks = {}
        self.version = 0
        self.listed = []
        self.merged = None

    async def run(self):
        """Reads the list periodically until the task is cancelled.

        The period is shorter while this process owns a rack or knows none.
        """
        while True:
            await self.refresh()
            quick = self.is_owner() or not self.racks
            await asyncio.sleep(
                REFRESH_PERIOD_S if quick else SLOW_REFRESH_PERIOD_S
            )

    async def refresh(self):
        """Reads the list once; if that fails, the last list stays valid."""
        try:
            self.listed = await self.source.list_hosts()
        except exception.TargetUnreachable as error:
            LOG.warning(
                "Cannot read the host list, keeping the last one. %s",
                error.message,
            )
        self.rebuild()

    def rebuild(self):
        """Merges the last list and the recorded workers into ``racks``."""
        hosts = merge_hosts(self.listed, self.recorded())
        if hosts == self.merged:
            return
        self.merged = hosts
        self.version += 1
        by_rack = {}
        for host in hosts:
            by_rack.setdefault(host.rack, []).append(host)
        self.racks = {
            name: RackEntry(
                name=name,
                failure_domain=found[0].failure_domain,
                region=found[0].region,
                hosts=found,
            )
            for name, found in by_rack.items()
        }

    def hosts_in_rack(self, name):
        """Returns the workers of a rack; empty for an unknown rack."""
        rack = self.racks.get(name)
        return rack.hosts if rack else []


def merge_hosts(listed, recorded):
    """Returns the listed workers, then the other recorded ones as leaving.

    Args:
        listed: Workers in the platform's list.
        recorded: Workers in the control log by rack.
    """
    names = {host.name for host in listed}
    missing = [
        msgspec.structs.replace(host, state=platform.HostState.LEAVING)
        for hosts in recorded.values()
        for host in hosts
        if host.name not in names
    ]
    return [*listed, *missing]
