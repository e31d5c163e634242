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
FRESH_S = 2.5
MAX_RESETS = 2

Flags = messages.Flags


class PeerRecord:
    """What is known of one incarnation of a member."""

    def __init__(self, *, incarnation, now_s):
        self.incarnation = incarnation
        self.counter = 0
        self.advanced_s = now_s
        self.refused_s = None
        self.resets = 0
        self.draining = False


class MembershipView:
    """Liveness of the members that the folded state lists.

    Attributes:
        doubted: Members that another one has found gone; they are probed.
    """

    def __init__(self, *, name, incarnation, state):
        self.name = name
        self.incarnation = incarnation
        self.state = state
        self.counter = 0
        self.draining = False
        self.peers = {}
        self.digests = {}
        self.digest_changed_s = {}
        self.doubted = set()

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
        if record.refused_s is not None:
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
        self.record(member).refused_s = time.monotonic()

    def note_reset(self, member):
        """Notes that a new connection to a member was reset.

        A process that is gone behind an address translation shows itself
        like this; a single reset may be an accident.
        """
        record = self.record(member)
        record.resets += 1
        if record.resets >= MAX_RESETS:
            self.note_refused(member)

    def note_answer(self, member):
        """Notes that a member has answered."""
        record = self.record(member)
        record.resets = 0
        record.refused_s = None
        record.advanced_s = time.monotonic()

    def note_record(self, name, incarnation):
        """Notes that a member has just put a record on the log."""
        member = self.state().members.get(name)
        if member is not None and member.incarnation == incarnation:
            self.record(member).advanced_s = time.monotonic()

    def silence_s(self, member):
        """Returns the seconds since a member was last known to live."""
        return time.monotonic() - self.record(member).advanced_s

    def beat(self):
        """Advances this member's own heartbeat counter."""
        self.counter += 1

    def pulses(self):
        """Returns the heartbeat counters to tell others, our own first."""
        found = []
        for member in self.state().members.values():
            if self.is_self(member):
                flags = Flags.DRAINING if self.draining else Flags.NONE
                found.insert(0, pulse_of(member, self.counter, flags))
                continue
            record = self.record(member)
            if record.counter:
                flags = flags_of(record)
                found.append(pulse_of(member, record.counter, flags))
        return found

    def pulses_beyond(self, gossip):
        """Returns the heartbeat counters that a sender has not seen."""
        seen = {pulse.joined_at: pulse.counter for pulse in gossip.pulses}
        return [
            pulse
            for pulse in self.pulses()
            if pulse.counter > seen.get(pulse.joined_at, 0)
        ]

    def fresh_digests(self):
        """Returns the figures that changed a short while ago."""
        now_s = time.monotonic()
        return [
            digest
            for rack, digest in self.digests.items()
            if now_s - self.digest_changed_s[rack] < FRESH_S
        ]

    def merge(self, gossip):
        """Takes in what another member told."""
        members = {m.joined_at: m for m in self.state().members.values()}
        for pulse in gossip.pulses:
            member = members.get(pulse.joined_at)
            if member is not None and not self.is_self(member):
                self.merge_pulse(member, pulse)
        for digest in gossip.digests:
            self.merge_digest(digest)

    def merge_pulse(self, member, pulse):
        """Takes in a heartbeat counter if it is a newer one."""
        record = self.record(member)
        if pulse.flags & Flags.GONE and record.refused_s is None:
            self.doubted.add(member.name)
        if pulse.counter > record.counter:
            record.counter = pulse.counter
            record.advanced_s = time.monotonic()
            record.draining |= bool(pulse.flags & Flags.DRAINING)
            self.forgive(record)

    def forgive(self, record):
        """Counts a member as alive again that had refused a connection.

        Counters from before the refusal still go round for a while, so
        that only a later one shows that the member lives.
        """
        if record.refused_s is None:
            return
        if record.advanced_s - record.refused_s > SUSPICION_S:
            record.refused_s = None

    def merge_digest(self, digest):
        """Takes in the figures of a rack if they are newer."""
        known = self.digests.get(digest.rack)
        order = (digest.term, digest.serial)
        if known is None or order > (known.term, known.serial):
            self.digests[digest.rack] = digest
            self.digest_changed_s[digest.rack] = time.monotonic()


def pulse_of(member, counter, flags):
    """Returns the pulse of a member."""
    return messages.Pulse(
        joined_at=member.joined_at, counter=counter, flags=int(flags)
    )


def flags_of(record):
    """Returns the flags of what is known of a member."""
    flags = Flags.NONE
    if record.draining:
        flags |= Flags.DRAINING
    if record.refused_s is not None:
        flags |= Flags.GONE
    return flags
