"""One member's view of which members are alive.

A member counts as dead when it has given no sign of life for the suspicion
time, or when its address refused a connection. Both signs may be wrong:
that a rack has only one effective owner is ensured by the fence at the
targets, not by this view.

References:
    R. van Renesse, Y. Minsky, M. Hayden: A gossip-style failure detection
    service, Middleware 1998.
"""

import time

from cicadafold.membership import messages

__all__ = ["MembershipView", "SUSPICION_S"]

# Seconds without a sign of life after which a member counts as dead.
SUSPICION_S = 3.0
# Seconds for which a changed digest is passed on to other members.
DIGEST_FRESH_S = 2.5
RESETS_UNTIL_REFUSED = 2

HeartbeatFlags = messages.HeartbeatFlags


class PeerRecord:
    """What this process knows about one incarnation of a member.

    Attributes:
        incarnation: Incarnation of the member.
        counter: Highest heartbeat counter received; 0 if none was.
        last_alive_s: Monotonic time of the last sign of life, in seconds.
        refused_at_s: Monotonic time in seconds at which the member's
            address refused a connection; None if it counts as reachable.
        consecutive_resets: Connections reset since the last answer.
        draining: Whether the member has announced its planned stop.
    """

    def __init__(self, *, incarnation, now_s):
        self.incarnation = incarnation
        self.counter = 0
        self.last_alive_s = now_s
        self.refused_at_s = None
        self.consecutive_resets = 0
        self.draining = False


class MembershipView:
    """Liveness of the members that the control state lists.

    Attributes:
        state: Function that returns the current control state.
        counter: Heartbeat counter of this member.
        draining: Whether this member drains.
        peers: Records of other members, by name.
        digests: Newest digest of each rack, by name of the rack.
        digest_changed_s: Monotonic time in seconds at which the digest of
            a rack was received, by name of the rack.
        members_to_probe: Names of members that may be unreachable, because
            a link to them broke or another member reported it.
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
        result = self.peers.get(member.name)
        if result is None or result.incarnation != member.incarnation:
            result = PeerRecord(
                incarnation=member.incarnation, now_s=time.monotonic()
            )
            self.peers[member.name] = result
        return result

    def is_self(self, member):
        """Whether an entry is this incarnation of this process."""
        return (
            member.name == self.name and member.incarnation == self.incarnation
        )

    def is_alive(self, member):
        """Whether a member of the control state counts as alive."""
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
        """Marks a member as dead after its address refused a connection."""
        self.peer_record(member).refused_at_s = time.monotonic()

    def record_reset(self, member):
        """Counts a reset connection; marks the member as dead if it repeats.

        If a process behind a network address translation has ended, new
        connections to it are reset instead of refused. A single reset may
        have another cause.
        """
        record = self.peer_record(member)
        record.consecutive_resets += 1
        if record.consecutive_resets >= RESETS_UNTIL_REFUSED:
            self.record_refusal(member)

    def record_answer(self, member):
        """Marks a member as alive after it has answered an exchange."""
        record = self.peer_record(member)
        record.consecutive_resets = 0
        record.refused_at_s = None
        record.last_alive_s = time.monotonic()

    def record_log_append(self, name, incarnation):
        """Records a sign of life: a record that a member has appended.

        Args:
            name: Name of the member that appended to the control log.
            incarnation: Incarnation of the member that the record names.
        """
        member = self.state().members.get(name)
        if member is not None and member.incarnation == incarnation:
            self.peer_record(member).last_alive_s = time.monotonic()

    def silence_s(self, member):
        """Returns the seconds since the last sign of life of a member."""
        return time.monotonic() - self.peer_record(member).last_alive_s

    def advance_heartbeat(self):
        """Advances this member's own heartbeat counter."""
        self.counter += 1

    def heartbeats(self):
        """Returns the known heartbeats of all members, this member's first."""
        result = []
        for member in self.state().members.values():
            if self.is_self(member):
                flags = (
                    HeartbeatFlags.DRAINING
                    if self.draining
                    else HeartbeatFlags.NONE
                )
                result.insert(0, build_heartbeat(member, self.counter, flags))
                continue
            record = self.peer_record(member)
            if record.counter:
                flags = flags_for(record)
                result.append(build_heartbeat(member, record.counter, flags))
        return result

    def newer_heartbeats(self, gossip):
        """Returns the heartbeats that are newer than those in a message."""
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
        """Returns the digests that changed within ``DIGEST_FRESH_S``."""
        now_s = time.monotonic()
        return [
            digest
            for rack, digest in self.digests.items()
            if now_s - self.digest_changed_s[rack] < DIGEST_FRESH_S
        ]

    def merge(self, gossip):
        """Merges the heartbeats and digests of a message into this view."""
        members = {m.joined_at: m for m in self.state().members.values()}
        for heartbeat in gossip.heartbeats:
            member = members.get(heartbeat.joined_at)
            if member is not None and not self.is_self(member):
                self.merge_heartbeat(member, heartbeat)
        for digest in gossip.digests:
            self.merge_digest(digest)

    def merge_heartbeat(self, member, heartbeat):
        """Updates the record of a member if a heartbeat is newer.

        A report that the member is unreachable does not mark it as dead;
        it only causes this process to probe the member itself.
        """
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
        """Marks a member as reachable again once the refusal is old enough.

        Heartbeats that were sent before the refusal are still relayed for
        a while. Only one that arrives later than the suspicion time after
        the refusal shows that the member is alive.
        """
        if record.refused_at_s is None:
            return
        if record.last_alive_s - record.refused_at_s > SUSPICION_S:
            record.refused_at_s = None

    def merge_digest(self, digest):
        """Stores the digest of a rack if it is newer than the known one."""
        known = self.digests.get(digest.rack)
        version = (digest.term, digest.serial)
        if known is None or version > (known.term, known.serial):
            self.digests[digest.rack] = digest
            self.digest_changed_s[digest.rack] = time.monotonic()


def build_heartbeat(member, counter, flags):
    """Returns the heartbeat to send for a member.

    Args:
        member: Entry of the member in the control state.
        counter: Heartbeat counter of the member.
        flags: Combination of ``HeartbeatFlags``.
    """
    return messages.Heartbeat(
        joined_at=member.joined_at, counter=counter, flags=int(flags)
    )


def flags_for(record):
    """Returns the heartbeat flags for the record of a member."""
    flags = HeartbeatFlags.NONE
    if record.draining:
        flags |= HeartbeatFlags.DRAINING
    if record.refused_at_s is not None:
        flags |= HeartbeatFlags.UNREACHABLE
    return flags
