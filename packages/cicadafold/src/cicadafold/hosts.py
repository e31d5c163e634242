"""Workers by rack, from the platform's lagging list."""

import asyncio

import msgspec

from cicadafold import exception
from cicadafold.placement import capacity
from cicadafold.platform import messages as platform
from cicadafold.telemetry import logs

__all__ = ["HostTable", "RackEntry", "merge_hosts"]

PERIOD_S = 1.0
SLOW_PERIOD_S = 3.0

LOG = logs.get_logger("hosts")


class RackEntry:
    """A rack and the workers that the list shows in it."""

    def __init__(self, *, name, failure_domain, region, hosts):
        self.name = name
        self.failure_domain = failure_domain
        self.region = region
        self.hosts = hosts
        self.capacities = [capacity.Capacity.of_host(h) for h in hosts]

    def could_fit(self, kind, *, headroom):
        """Whether the empty rack could hold a request of a kind."""
        size = capacity.size_of_kind(kind)
        count = 0
        for empty in self.capacities:
            count += tasks_that_fit(empty, size, headroom, kind.tasks)
            if count >= kind.tasks:
                return True
        return False


def tasks_that_fit(empty, size, headroom, most):
    """Counts the tasks that an empty worker could hold."""
    count = 0
    while count < most and empty.fits(size, headroom=headroom):
        empty.reserve(size)
        count += 1
    empty.reset()
    return count


class HostTable:
    """Follows the platform's list, and the workers that the log records.

    A worker that the log records and the list does not show counts as
    leaving: it gets no work, and its tasks are looked after.

    Attributes:
        racks: Racks by name.
        version: Rises whenever the workers have changed.
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
        """Reads the list each period; owners of racks more often."""
        while True:
            await self.refresh()
            quick = self.is_owner() or not self.racks
            await asyncio.sleep(PERIOD_S if quick else SLOW_PERIOD_S)

    async def refresh(self):
        """Reads the list once; an outage keeps the last one."""
        try:
            self.listed = await self.source.list_hosts()
        except exception.TargetUnreachable as error:
            LOG.warning("The host list is unavailable. %s", error.message)
        self.rebuild()

    def rebuild(self):
        """Joins the platform's list and the recorded workers."""
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
        """Returns the workers of a rack."""
        rack = self.racks.get(name)
        return rack.hosts if rack else []


def merge_hosts(listed, recorded):
    """Returns the listed workers, and the recorded ones as leaving.

    Args:
        listed: Workers of the platform's list.
        recorded: Recorded workers by rack.
    """
    names = {host.name for host in listed}
    missing = [
        msgspec.structs.replace(host, state=platform.HostState.LEAVING)
        for hosts in recorded.values()
        for host in hosts
        if host.name not in names
    ]
    return [*listed, *missing]
