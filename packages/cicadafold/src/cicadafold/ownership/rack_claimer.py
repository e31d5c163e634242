"""Claims racks that have no live owner, and hands racks over.

The order of claims on the control log decides which one holds. A claim
alone does not permit starting tasks: the owner must also have raised its
term as the fence at each worker.
"""

import asyncio
import collections

from cicadafold.controllog import records
from cicadafold.ownership import assignment
from cicadafold.ownership import rack as rack_owner
from cicadafold.telemetry import logs

__all__ = ["RackClaimer"]

CHECK_PERIOD_S = 0.2
FIRST_CLAIM_DELAY_S = 0.8
MIN_OWNED_S = 3.0
FOREIGN_REGION_DELAY_S = 10.0

LOG = logs.get_logger("ownership")


class RackClaimer:
    """Runs the owners of this process's racks, as the control state says.

    Args:
        node: ``Node``, which holds the components of this process.

    Attributes:
        owners: ``RackOwner`` of each rack that this process owns, by rack.
        retiring: The last ``RackOwner`` that was retired, by rack. It may
            still have requests to answer.
        owner_tasks: Tasks that run the owners, by rack.
        ready_since_s: Loop time in seconds since which the control log is
            applied up to its end, or None.
        unowned_since_s: Loop time in seconds at which a rack was first
            found without a live owner, by rack.
        owned_since_s: Loop time in seconds at which this process last
            started to own a rack, by rack.
        draining: Whether all racks are to be handed over.
    """

    def __init__(self, *, node):
        self.node = node
        self.owners = {}
        self.retiring = {}
        self.owner_tasks = {}
        self.ready_since_s = None
        self.unowned_since_s = {}
        self.owned_since_s = {}
        self.draining = False

    async def run(self):
        """Starts, claims and hands over racks until it is cancelled.

        The first claims are made ``FIRST_CLAIM_DELAY_S`` after the control log
        was first applied up to its end.
        """
        loop = asyncio.get_running_loop()
        while True:
            if self.node.tail.ready:
                self.ready_since_s = self.ready_since_s or loop.time()
                self.sync_owners()
                if loop.time() - self.ready_since_s >= FIRST_CLAIM_DELAY_S:
                    await self.claim_unowned_racks()
                    await self.hand_over()
            await self.wait_for_change()

    async def wait_for_change(self):
        """Waits up to ``CHECK_PERIOD_S`` for a change of the control state."""
        try:
            async with asyncio.timeout(CHECK_PERIOD_S):
                await self.node.tail.changed.wait()
        except TimeoutError:
            pass

    def is_own(self, owner):
        """Whether an entry of the control state names this process as owner.

        Args:
            owner: ``Ownership`` of a rack, or None.
        """
        return (
            owner is not None
            and owner.member == self.node.name
            and owner.incarnation == self.node.incarnation
        )

    def sync_owners(self):
        """Starts and retires rack owners as the control state says.

        Also passes the current list of workers to each owner.
        """
        state = self.node.tail.state
        for rack, owner in state.owners.items():
            running = self.owners.get(rack)
            current = running is not None and running.term == owner.term
            if running is not None and not current:
                self.retire_owner(running)
            if self.is_own(owner) and not current:
                self.start_owner(rack, owner.term)
        hosts = self.node.hosts
        for rack, running in self.owners.items():
            running.update_hosts(hosts.hosts_in_rack(rack))

    def start_owner(self, rack, term):
        """Starts the owner of a rack for a term of this process."""
        hosts = self.node.hosts.hosts_in_rack(rack)
        LOG.info("This process owns rack %s from term %d on.", rack, term)
        owner = rack_owner.RackOwner(
            name=rack, term=term, hosts=hosts, node=self.node
        )
        self.owners[rack] = owner
        self.owned_since_s[rack] = asyncio.get_running_loop().time()
        self.owner_tasks[rack] = asyncio.create_task(owner.run())

    def retire_owner(self, running):
        """Retires the owner of a rack.

        Args:
            running: The ``RackOwner``.
        """
        if self.owners.get(running.name) is running:
            LOG.info("This process no longer owns rack %s.", running.name)
            del self.owners[running.name]
            self.retiring[running.name] = running
            self.owner_tasks.pop(running.name).cancel()
        running.retire()

    def eligible_members(self):
        """Returns the members that may own racks: alive and not draining."""
        view = self.node.view
        return [m for m in view.alive_members() if not view.is_draining(m)]

    def owned_counts(self):
        """Returns a counter of the racks that each member owns, by name."""
        state = self.node.tail.state
        return collections.Counter(o.member for o in state.owners.values())

    async def claim_unowned_racks(self):
        """Claims racks without a live owner that this process should own."""
        state = self.node.tail.state
        members = self.eligible_members()
        claims = []
        for rack in self.node.hosts.racks.values():
            owner = state.owners.get(rack.name)
            if owner is not None and self.node.view.owner_is_alive(owner):
                self.unowned_since_s.pop(rack.name, None)
                continue
            if self.is_preferred_owner(rack, members):
                claims.append(self.claim(rack, self.node.own_member()))
        await asyncio.gather(*claims)

    def is_preferred_owner(self, rack, members):
        """Whether this process should claim a rack without a live owner.

        If the rack's region has no eligible member, the members of other
        regions wait ``FOREIGN_REGION_DELAY_S``. After that the preferred
        member of each region claims the rack, and the first claim holds.

        Args:
            rack: The rack.
            members: Members that may own racks.
        """
        now_s = asyncio.get_running_loop().time()
        since_s = self.unowned_since_s.setdefault(rack.name, now_s)
        regions = {member.region for member in members}
        region = rack.region
        if region not in regions:
            if now_s - since_s < FOREIGN_REGION_DELAY_S:
                return False
            region = self.node.region
        chosen = assignment.preferred_owner(
            rack=rack.name,
            failure_domain=rack.failure_domain,
            region=region,
            members=members,
            owned=self.owned_counts(),
        )
        return chosen is not None and self.node.view.is_self(chosen)

    async def claim(self, rack, member):
        """Appends a claim of a rack for a member to the control log.

        This process does not claim a rack for itself if it reaches none of its
        workers.

        Args:
            rack: The rack.
            member: Member that is to own the rack, this one or a successor.
        """
        owner = self.node.tail.state.owners.get(rack.name)
        previous = owner.term if owner else 0
        record = records.Claim(
            rack=rack.name,
            member=member.name,
            incarnation=member.incarnation,
            previous=previous,
            writer="" if member.name == self.node.name else self.node.name,
        )
        if member.name == self.node.name:
            if not await self.node.reaches_any_worker(rack.name):
                return
        if await self.node.append_and_apply(record):
            self.sync_owners()

    async def hand_over(self):
        """Claims own racks for the members that should own them instead."""
        members = self.eligible_members()
        claims = []
        for name in list(self.owners):
            successor = self.successor(name, members)
            if successor is not None:
                rack = self.node.hosts.racks[name]
                claims.append(self.claim(rack, successor))
        await asyncio.gather(*claims)

    def successor(self, name, members):
        """Returns the member that should own a rack instead, or None.

        A rack is handed over if this process is draining. Otherwise it is
        handed over if it has been owned for ``MIN_OWNED_S``, is in another
        failure domain than this process, and an eligible member is in its
        failure domain, or in its region while this process is not.

        Args:
            name: Name of a rack that this process owns.
            members: Members that may own racks.
        """
        rack = self.node.hosts.racks.get(name)
        if rack is None:
            return None
        own = self.node.own_member()
        others = [m for m in members if not self.node.view.is_self(m)]
        if not self.draining:
            now_s = asyncio.get_running_loop().time()
            if now_s - self.owned_since_s[name] < MIN_OWNED_S:
                return None
            if own.failure_domain == rack.failure_domain:
                return None
            others = [
                member
                for member in others
                if member.failure_domain == rack.failure_domain
                or (own.region != rack.region == member.region)
            ]
        chosen = assignment.preferred_owner(
            rack=name,
            failure_domain=rack.failure_domain,
            region=rack.region,
            members=others,
            owned=self.owned_counts(),
        )
        if chosen is None and self.draining and others:
            return others[0]
        return chosen
