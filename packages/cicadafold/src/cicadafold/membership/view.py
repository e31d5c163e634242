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
DIGEST_FRESH_S = 2.5
RESETS_UNTIL_REFUSED = 2

HeartbeatFlags = messages.HeartbeatFlags


class PeerRecord:
    """What is known of one incarnation of a member."""

    def __init__(self, *, incarnation, now_s):
        self.incarnation = incarnation
        self.counter = 0
        self.last_alive_s = now_s
        self.refused_at_s = None
        self.consecutive_resets = 0
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
        self.members_to_probe = set()

    def peer_record(self, member):
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
        record = self.peer_record(member)
        if record.refused_at_s is not None:
            return False
        return time.monotonic() - record.last_alive_s < SUSPICION_S

    def is_draining(self, member):
        """Whether a member has announced its planned stop."""
        if self.is_self(member):
            return self.draining
        return self.peer_record(member).draining

    def alive_members(self):
        """Returns the members that count as alive, this one included."""
        return [m for m in self.state().members.values() if self.is_alive(m)]

    def owner_is_alive(self, owner):
        """Whether the incarnation that owns a rack counts as alive."""
        member = self.state().members.get(owner.member)
        if member is None or member.incarnation != owner.incarnation:
            return False
        return self.is_alive(member)

    def record_refusal(self, member):
        """Notes that a member's address refused a connection."""
        self.peer_record(member).refused_at_s = time.monotonic()

    def record_reset(self, member):
        """Notes that a new connection to a member was reset.

        A process that is gone behind an address translation shows itself
        like this; a single reset may be an accident.
        """
        record = self.peer_record(member)
        record.consecutive_resets += 1
        if record.consecutive_resets >= RESETS_UNTIL_REFUSED:
            self.record_refusal(member)

    def record_answer(self, member):
        """Notes that a member has answered."""
        record = self.peer_record(member)
        record.consecutive_resets = 0
        record.refused_at_s = None
        record.last_alive_s = time.monotonic()

    def record_log_append(self, name, incarnation):
        """Notes that a member has just put a record on the log."""
        member = self.state().members.get(name)
        if member is not None and member.incarnation == incarnation:
            self.peer_record(member).last_alive_s = time.monotonic()

    def silence_s(self, member):
        """Returns the seconds since a member was last known to live."""
        return time.monotonic() - self.peer_record(member).last_alive_s

    def advance_heartbeat(self):
        """Advances this member's own heartbeat counter."""
        self.counter += 1

    def heartbeats(self):
        """Returns the heartbeat counters to tell others, our own first."""
        found = []
        for member in self.state().members.values():
            if self.is_self(member):
                flags = (
                    HeartbeatFlags.DRAINING
                    if self.draining
                    else HeartbeatFlags.NONE
                )
                found.insert(0, build_heartbeat(member, self.counter, flags))
                continue
            record = self.peer_record(member)
            if record.counter:
                flags = flags_for(record)
                found.append(build_heartbeat(member, record.counter, flags))
        return found

    def newer_heartbeats(self, gossip):
        """Returns the heartbeat counters that a sender has not seen."""
        seen = {
            heartbeat.joined_at: heartbeat.counter
            for heartbeat in gossip.heartbeats
        }
        return [
            heartbeat
            for heartbeat in self.heartbeats()
            if heartbeat.counter > seen.get(heartbeat.joined_at, 0)
        ]

    def recent_digests(self):
        """Returns the figures that changed a short while ago."""
        now_s = time.monotonic()
        return [
            digest
            for rack, digest in self.digests.items()
            if now_s - self.digest_changed_s[rack] < DIGEST_FRESH_S
        ]

    def merge(self, gossip):
        """Takes in what another member told."""
        members = {m.joined_at: m for m in self.state().members.values()}
        for heartbeat in gossip.heartbeats:
            member = members.get(heartbeat.joined_at)
            if member is not None and not self.is_self(member):
                self.merge_heartbeat(member, heartbeat)
        for digest in gossip.digests:
            self.merge_digest(digest)

    def merge_heartbeat(self, member, heartbeat):
        """Takes in a heartbeat counter if it is a newer one."""
        record = self.peer_record(member)
        if (
            heartbeat.flags & HeartbeatFlags.UNREACHABLE
            and record.refused_at_s is None
        ):
            self.members_to_probe.add(member.name)
        if heartbeat.counter > record.counter:
            record.counter = heartbeat.counter
            record.last_alive_s = time.monotonic()
            record.draining |= bool(heartbeat.flags & HeartbeatFlags.DRAINING)
            self.clear_refusal(record)

    def clear_refusal(self, record):
        """Counts a member as alive again that had refused a connection.

        Counters from before the refusal still go round for a while, so
        that only a later one shows that the member lives.
        """
        if record.refused_at_s is None:
            return
        if record.last_alive_s - record.refused_at_s > SUSPICION_S:
            record.refused_at_s = None

    def merge_digest(self, digest):
        """Takes in the figures of a rack if they are newer."""
        known = self.digests.get(digest.rack)
        order = (digest.term, digest.serial)
        if known is None or order > (known.term, known.serial):
            self.digests[digest.rack] = digest
            self.digest_changed_s[digest.rack] = time.monotonic()


def build_heartbeat(member, counter, flags):
    """Returns the pulse of a member."""
    return messages.Heartbeat(
        joined_at=member.joined_at, counter=counter, flags=int(flags)
    )


def flags_for(record):
    """Returns the flags of what is known of a member."""
    flags = HeartbeatFlags.NONE
    if record.draining:
        flags |= HeartbeatFlags.DRAINING
    if record.refused_at_s is not None:
        flags |= HeartbeatFlags.UNREACHABLE
    return flags
