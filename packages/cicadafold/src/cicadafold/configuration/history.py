"""Newest configuration of a process, and what changed before it."""

import collections
import zlib

import msgspec

from cicadafold.configuration import changes as changes_module
from cicadafold import exception
from cicadafold.jobs import model

__all__ = ["History"]

# Parts of the checksum that tell a cell without teams from one with an empty
# list of them, and from a peer of a release that does not know teams and
# drops them when it reads a version.
WITHOUT_TEAMS = 1
WITH_TEAMS = 2
# Number of earlier revisions from which the changes can be told.
MAX_STEPS = 64

encode = msgspec.json.Encoder().encode


class History:
    """The configuration in force and the queues that recent changes touched.

    A revision is the offset of the configuration's record in the store. The
    checksum is the sum of those of all rules, teams and keys, so it costs in
    proportion to what has changed; teams and keys change as a whole.

    Attributes:
        configuration: Newest ``Configuration``, or None.
        revision: Its revision, -1 if there is none.
        checksum: Checksum of the rules of all queues, the teams and keys.
        teams_checksum: Part of it for the teams and keys.
        teams_revision: Revision that has last changed the teams.
        keys_revision: Revision that has last changed the keys.
        steps: Pairs of a revision and the names of the queues that it has
            added, changed or removed, oldest first.
        since: Oldest revision from which the changes can be told.
    """

    def __init__(self):
        self.configuration = None
        self.revision = -1
        self.checksum = WITHOUT_TEAMS
        self.teams_checksum = WITHOUT_TEAMS
        self.teams_revision = -1
        self.keys_revision = -1
        self.steps = collections.deque()
        self.since = -1

    @property
    def version(self):
        """Version of the configuration, -1 if there is none."""
        if self.configuration is None:
            return -1
        return self.configuration.version

    def replace(self, configuration, revision, *, checksums=None):
        """Replaces the configuration by one that was read as a whole.

        Args:
            configuration: The ``Configuration``; its unchanged rules are
                replaced by the present objects.
            revision: Its revision.
            checksums: Checksum of its rules, teams and keys, and the part of
                it for the teams and keys; None if they are not known yet.

        Returns:
            Names of the queues that were added, changed or removed.
        """
        present = self.queues()
        touched = set(present.keys() - configuration.queues.keys())
        queues = {}
        for name, rule in configuration.queues.items():
            old = present.get(name)
            if old == rule:
                rule = old
            else:
                touched.add(name)
            queues[name] = rule
        configuration = self.with_present_teams(configuration)
        if checksums is None:
            teams_checksum = self.teams_checksum_of(configuration)
            rules = {name: queues[name] for name in touched & queues.keys()}
            checksum = self.checksum_with(rules, touched - queues.keys())
            checksum += teams_checksum - self.teams_checksum
            checksums = checksum, teams_checksum
        self.advance(
            msgspec.structs.replace(configuration, queues=queues),
            revision,
            touched,
            checksums,
        )
        return touched

    def apply(self, changes):
        """Applies changes that a peer has told.

        Args:
            changes: ``Changes`` from the present revision, or from -1 for
                the whole configuration.

        Returns:
            Names of the queues that were added, changed or removed.

        Raises:
            ChangesDoNotFit: They belong to another configuration.
        """
        whole = changes.base == changes_module.WHOLE
        if whole:
            queues = changes.rules
            teams, keys = changes.teams, changes.keys or {}
            checksum = sum(map(rule_checksum, queues.values()))
        else:
            queues = {**self.queues(), **changes.rules}
            for name in changes.removed:
                queues.pop(name, None)
            teams, keys = self.teams_with(changes)
            checksum = self.checksum_with(changes.rules, changes.removed)
            checksum -= self.teams_checksum
        configuration = self.with_present_teams(
            model.Configuration(
                changes.version,
                queues,
                changes.pools,
                changes.max_body_bytes,
                teams,
                keys,
            )
        )
        teams_checksum = self.teams_checksum_of(configuration)
        checksum += teams_checksum
        fits = whole or changes.base == self.revision
        result = len(queues), checksum
        if not fits or result != (changes.count, changes.checksum):
            raise exception.ChangesDoNotFit(
                base=changes.base, revision=self.revision
            )
        checksums = checksum, teams_checksum
        if whole:
            return self.replace(
                configuration, changes.revision, checksums=checksums
            )
        touched = {*changes.rules, *changes.removed}
        self.advance(configuration, changes.revision, touched, checksums)
        return touched

    def changes_since(self, base):
        """Returns the ``Changes`` from a revision to the present one.

        They are the whole configuration if the revision is too old, or not
        known here, or if the cell has had teams since then and has none now:
        changes cannot tell that.
        """
        queues = self.queues()
        teams, keys = self.configuration.teams, self.configuration.keys
        teams_changed = base < self.teams_revision
        known = self.since <= base <= self.revision
        if known and not (teams_changed and teams is None):
            touched = set()
            for revision, names in self.steps:
                if revision > base:
                    touched |= names
        else:
            base = changes_module.WHOLE
            touched = queues.keys()
        whole = base == changes_module.WHOLE
        return changes_module.Changes(
            base=base,
            revision=self.revision,
            version=self.version,
            pools=self.configuration.pools,
            max_body_bytes=self.configuration.max_body_bytes,
            rules={name: queues[name] for name in touched if name in queues},
            removed=[name for name in touched if name not in queues],
            count=len(queues),
            checksum=self.checksum,
            teams=teams if whole or teams_changed else None,
            keys=keys if whole or base < self.keys_revision else None,
        )

    def queues(self):
        """Returns the rules of all queues by name."""
        return {} if self.configuration is None else self.configuration.queues

    def teams_with(self, changes):
        """Returns teams and keys once changes are applied to the present."""
        present = self.configuration
        teams, keys = changes.teams, changes.keys
        if teams is None:
            teams = None if present is None else present.teams
        if keys is None:
            keys = {} if present is None else present.keys
        return teams, keys

    def with_present_teams(self, configuration):
        """Replaces equal teams and keys by the present objects.

        Later comparisons are then by identity: comparing 100,000 keys takes
        milliseconds.
        """
        present = self.configuration
        if present is None:
            return configuration
        teams, keys = configuration.teams, configuration.keys
        if teams is not present.teams and teams == present.teams:
            teams = present.teams
        if keys is not present.keys and keys == present.keys:
            keys = present.keys
        return msgspec.structs.replace(configuration, teams=teams, keys=keys)

    def teams_checksum_of(self, configuration):
        """Returns the checksum of the teams and keys of a configuration.

        Args:
            configuration: Result of ``with_present_teams``.
        """
        teams_changed, keys_changed = self.team_changes(configuration)
        if not teams_changed and not keys_changed:
            return self.teams_checksum
        return teams_checksum(configuration.teams, configuration.keys)

    def team_changes(self, configuration):
        """Returns whether teams, and whether keys, are not the present ones.

        Args:
            configuration: Result of ``with_present_teams``.
        """
        present = self.configuration
        if present is None:
            return True, True
        return (
            configuration.teams is not present.teams,
            configuration.keys is not present.keys,
        )

    def checksum_with(self, rules, removed):
        """Returns the checksum once rules are replaced and queues removed.

        The teams and keys are the present ones.
        """
        present = self.queues()
        checksum = self.checksum
        for name in (*rules, *removed):
            if name in present:
                checksum -= rule_checksum(present[name])
        return checksum + sum(map(rule_checksum, rules.values()))

    def advance(self, configuration, revision, touched, checksums):
        """Makes a configuration the newest one.

        Args:
            configuration: The ``Configuration``, with the present objects of
                teams and keys that have not changed.
            revision: Its revision.
            touched: Names of the queues that were added, changed or removed.
            checksums: Checksum of its rules, teams and keys, and the part of
                it for the teams and keys.
        """
        self.checksum, self.teams_checksum = checksums
        teams_changed, keys_changed = self.team_changes(configuration)
        if teams_changed:
            self.teams_revision = revision
        if keys_changed:
            self.keys_revision = revision
        present = self.configuration
        if present is None:
            self.since = revision
        else:
            self.steps.append((revision, touched))
        while len(self.steps) > MAX_STEPS:
            self.since, _ = self.steps.popleft()
        self.configuration = configuration
        self.revision = revision


def rule_checksum(rule):
    """Returns the checksum of the rule of a queue."""
    return zlib.crc32(encode(rule))


def teams_checksum(teams, keys):
    """Returns the checksum of teams and keys, whatever their order is.

    It is computed without a loop in Python over the keys: 100,000 of them
    are valid.

    Args:
        teams: Rules of the teams by name, None if the cell has none.
        keys: Team by digest of the keys.
    """
    if teams is None:
        return WITHOUT_TEAMS
    name_checksums = {
        name: zlib.crc32(name.encode()) for name in {*keys.values()}
    }
    starts = map(name_checksums.__getitem__, keys.values())
    key_checksums = map(zlib.crc32, map(str.encode, keys), starts)
    rule_checksums = map(rule_checksum, teams.values())
    return WITH_TEAMS + sum(rule_checksums) + sum(key_checksums)
