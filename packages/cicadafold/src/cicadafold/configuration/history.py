"""Newest configuration of a process, and what changed before it."""

import collections
import zlib

import msgspec

from cicadafold.configuration import changes as changes_module
from cicadafold import exception
from cicadafold.jobs import model

__all__ = ["History"]

# Number of earlier revisions from which the changes can be told.
MAX_STEPS = 64

encode = msgspec.json.Encoder().encode


class History:
    """The configuration in force and the queues that recent changes touched.

    A revision is the offset of the configuration's record in the store. The
    checksum is the sum of those of all rules, so it costs in proportion to
    what has changed.

    Attributes:
        configuration: Newest ``Configuration``, or None.
        revision: Its revision, -1 if there is none.
        checksum: Checksum of the rules of all queues.
        steps: Pairs of a revision and the names of the queues that it has
            added, changed or removed, oldest first.
        since: Oldest revision from which the changes can be told.
    """

    def __init__(self):
        self.configuration = None
        self.revision = -1
        self.checksum = 0
        self.steps = collections.deque()
        self.since = -1

    @property
    def version(self):
        """Version of the configuration, -1 if there is none."""
        if self.configuration is None:
            return -1
        return self.configuration.version

    def replace(self, configuration, revision, *, checksum=None):
        """Replaces the configuration by one that was read as a whole.

        Args:
            configuration: The ``Configuration``; its unchanged rules are
                replaced by the present objects.
            revision: Its revision.
            checksum: Checksum of its rules, None if it is not known yet.

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
        if checksum is None:
            rules = {name: queues[name] for name in touched & queues.keys()}
            checksum = self.checksum_with(rules, touched - queues.keys())
        self.advance(
            msgspec.structs.replace(configuration, queues=queues),
            revision,
            touched,
            checksum,
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
            checksum = sum(map(rule_checksum, queues.values()))
        else:
            queues = {**self.queues(), **changes.rules}
            for name in changes.removed:
                queues.pop(name, None)
            checksum = self.checksum_with(changes.rules, changes.removed)
        fits = whole or changes.base == self.revision
        result = len(queues), checksum
        if not fits or result != (changes.count, changes.checksum):
            raise exception.ChangesDoNotFit(
                base=changes.base, revision=self.revision
            )
        configuration = model.Configuration(
            changes.version, queues, changes.pools, changes.max_body_bytes
        )
        if whole:
            return self.replace(
                configuration, changes.revision, checksum=checksum
            )
        touched = {*changes.rules, *changes.removed}
        self.advance(configuration, changes.revision, touched, checksum)
        return touched

    def changes_since(self, base):
        """Returns the ``Changes`` from a revision to the present one.

        They are the whole configuration if the revision is too old, or not
        known here.
        """
        queues = self.queues()
        if self.since <= base <= self.revision:
            touched = set()
            for revision, names in self.steps:
                if revision > base:
                    touched |= names
        else:
            base = changes_module.WHOLE
            touched = queues.keys()
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
        )

    def queues(self):
        """Returns the rules of all queues by name."""
        return {} if self.configuration is None else self.configuration.queues

    def checksum_with(self, rules, removed):
        """Returns the checksum once rules are replaced and queues removed."""
        present = self.queues()
        checksum = self.checksum
        for name in (*rules, *removed):
            if name in present:
                checksum -= rule_checksum(present[name])
        return checksum + sum(map(rule_checksum, rules.values()))

    def advance(self, configuration, revision, touched, checksum):
        """Makes a configuration the newest one.

        Args:
            configuration: The ``Configuration``.
            revision: Its revision.
            touched: Names of the queues that were added, changed or removed.
            checksum: Checksum of its rules.
        """
        self.checksum = checksum
        if self.configuration is None:
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
