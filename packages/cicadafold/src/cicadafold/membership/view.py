"""A member's view of which members live.

A member counts as dead when its heartbeat counter has not risen for the
suspicion time, or when its address refused a connection. Both are hints:
what keeps two owners of a rack apart is the fence at the targets.

References:
    R. van Renesse, Y. Minsky, M. Hayden: A gossip-style failure detection
    service, Middleware 1998.
"""

import time

from cicadafold.membership import messages

__all__ = ["MembershipView", "SUSPICION_S"]

SUSPICION_S = 3.0


class PeerRecord:
    """What is known of one incarnation of a member."""

    def __init__(self, *, incarnation, now_s):
        self.incarnation = incarnation
        self.counter = 0
        self.advanced_s = now_s
        self.refused = False
        self.draining = False


class MembershipView:
    """Liveness of the members that the folded state lists."""

    def __init__(self, *, name, incarnation, state):
        self.name = name
        self.incarnation = incarnation
        self.state = state
        self.counter = 0
        self.draining = False
        self.peers = {}
        self.digests = {}

    def record(self, member):
        """Returns the record of a member's current incarnation."""
        found = self.peers.get(member.name)
        if found is None or found.incarnation != member.incarnation:
            found = PeerRecord(
                incarnation=member.incarnation, now_s=time.monotonic()
            )
            self.peers[member.name] = found
        return found

    def is_self(self, member):
        """Whether an entry describes this process."""
        return (
            member.name == self.name and member.incarnation == self.incarnation
        )

    def is_alive(self, member):
        """Whether a member of the folded state counts as alive."""
        if member is None or member.left:
            return False
        if self.is_self(member):
            return True
        record = self.record(member)
        if record.refused:
            return False
        return time.monotonic() - record.advanced_s < SUSPICION_S

    def is_draining(self, member):
        """Whether a member has announced its planned stop."""
        if self.is_self(member):
            return self.draining
        return self.record(member).draining

    def alive_members(self):
        """Returns the members that count as alive, this one included."""
        return [m for m in self.state().members.values() if self.is_alive(m)]

    def owner_is_alive(self, owner):
        """Whether the incarnation that owns a rack counts as alive."""
        member = self.state().members.get(owner.member)
        if member is None or member.incarnation != owner.incarnation:
            return False
        return self.is_alive(member)

    def note_refused(self, member):
        """Notes that a member's address refused a connection."""
        self.record(member).refused = True

    def beat(self):
        """Advances this member's own heartbeat counter."""
        self.counter += 1

    def pulses(self):
        """Returns the heartbeat counters to tell others."""
        own = messages.Pulse(
            member=self.name,
            incarnation=self.incarnation,
            counter=self.counter,
            draining=self.draining,
        )
        others = [
            messages.Pulse(
                member=name,
                incarnation=record.incarnation,
                counter=record.counter,
                draining=record.draining,
            )
            for name, record in self.peers.items()
            if name != self.name and record.counter
        ]
        return [own, *others]

    def merge(self, gossip):
        """Takes in what another member told."""
        for pulse in gossip.pulses:
            self.merge_pulse(pulse)
        for digest in gossip.digests:
            self.merge_digest(digest)

    def merge_pulse(self, pulse):
        """Takes in a heartbeat counter if it is a newer one."""
        member = self.state().members.get(pulse.member)
        if member is None or member.incarnation != pulse.incarnation:
            return
        if self.is_self(member):
            return
        record = self.record(member)
        if pulse.counter > record.counter:
            record.counter = pulse.counter
            record.advanced_s = time.monotonic()
            record.refused = False
            record.draining = record.draining or pulse.draining

    def merge_digest(self, digest):
        """Takes in the figures of a rack if they are newer."""
        known = self.digests.get(digest.rack)
        order = (digest.term, digest.serial)
        if known is None or order > (known.term, known.serial):
            self.digests[digest.rack] = digest
