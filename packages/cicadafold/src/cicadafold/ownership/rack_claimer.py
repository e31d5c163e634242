"""Claims racks that need an owner, and hands racks over.

Claims are settled by their order on the log. A claim alone does not give
the right to start tasks: that comes from the fence at each worker.
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
    """Keeps the racks of this process in step with the folded state.

    Attributes:
        owners: Running rack owners by rack.
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
        """Looks after the racks for as long as the process lives."""
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
        """Waits for a change of the state or for the period to pass."""
        try:
            async with asyncio.timeout(CHECK_PERIOD_S):
                await self.node.tail.changed.wait()
        except TimeoutError:
            pass

    def is_own(self, owner):
        """Whether the folded state says that this process owns a rack."""
        return (
            owner is not None
            and owner.member == self.node.name
            and owner.incarnation == self.node.incarnation
        )

    def sync_owners(self):
        """Starts and retires rack owners as the state says."""
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
        """Starts to own a rack."""
        hosts = self.node.hosts.hosts_in_rack(rack)
        LOG.info("This member owns %s from term %d.", rack, term)
        owner = rack_owner.RackOwner(
            name=rack, term=term, hosts=hosts, node=self.node
        )
        self.owners[rack] = owner
        self.owned_since_s[rack] = asyncio.get_running_loop().time()
        self.owner_tasks[rack] = asyncio.create_task(owner.run())

    def retire_owner(self, running):
        """Stops owning a rack."""
        if self.owners.get(running.name) is running:
            LOG.info("This member no longer owns %s.", running.name)
            del self.owners[running.name]
            self.retiring[running.name] = running
            self.owner_tasks.pop(running.name).cancel()
        running.retire()

    def eligible_members(self):
        """Returns the members that may own racks."""
        view = self.node.view
        return [m for m in view.alive_members() if not view.is_draining(m)]

    def owned_counts(self):
        """Returns how many racks each member owns."""
        state = self.node.tail.state
        return collections.Counter(o.member for o in state.owners.values())

    async def claim_unowned_racks(self):
        """Claims the racks whose owner is gone and which fall to us."""
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
        """Whether this member should claim a rack without an owner."""
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
        """Appends a claim of a rack for a member."""
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
        """Gives racks to members that should rather own them."""
        members = self.eligible_members()
        handed = []
        for name in list(self.owners):
            successor = self.successor(name, members)
            if successor is not None:
                rack = self.node.hosts.racks[name]
                handed.append(self.claim(rack, successor))
        await asyncio.gather(*handed)

    def successor(self, name, members):
        """Returns who should take a rack over, or None to keep it.

        A rack moves if this process drains, if its region is another one,
        or if a member of its failure domain could own it instead.
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
