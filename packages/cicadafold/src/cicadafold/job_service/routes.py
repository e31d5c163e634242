"""Routes of the callers' requests to queues, by the newest configuration."""

import collections


__all__ = ["Routes"]


class Routes:
    """Finds queues by the URLs of requests.

    Examples:
        >>> from cicadafold.jobs import model
        >>> routes = Routes()
        >>> rule = model.QueueRule("q", "jobs.example", "/q/", "pool")
        >>> routes.update({"q"}, {"q": rule})
        >>> routes.find_queue("jobs.example:80", "/q/17").name
        'q'

    Attributes:
        rules: Rules of all queues by name.
        by_url: Rules by host name of the URL and path prefix.
        prefix_lengths: Number of the rules with each length of the prefix,
            by host name.
    """

    def __init__(self):
        self.rules = {}
        self.by_url = {}
        self.prefix_lengths = collections.defaultdict(collections.Counter)

    def update(self, touched, rules):
        """Takes over changed rules.

        Args:
            touched: Names of the queues that were added, changed or removed.
            rules: Rules of all queues by name.
        """
        for name in touched:
            if name in self.rules:
                self.remove(self.rules[name])
        self.rules = rules
        for name in touched:
            if name in rules:
                self.add(rules[name])

    def add(self, rule):
        """Adds the rule of a queue."""
        authority = rule.authority.lower()
        self.by_url[authority, rule.prefix] = rule
        self.prefix_lengths[authority][len(rule.prefix)] += 1

    def remove(self, rule):
        """Removes the rule of a queue."""
        authority = rule.authority.lower()
        if self.by_url.get((authority, rule.prefix)) == rule:
            del self.by_url[authority, rule.prefix]
        lengths = self.prefix_lengths[authority]
        lengths[len(rule.prefix)] -= 1
        if not lengths[len(rule.prefix)]:
            del lengths[len(rule.prefix)]
        if not lengths:
            del self.prefix_lengths[authority]

    def find_queue(self, authority, path):
        """Returns the rule of the queue that serves a URL.

        Args:
            authority: Host name of the URL, with or without a port.
            path: Path of the URL.

        Returns:
            The rule with the longest path prefix, or None.
        """
        name = authority.partition(":")[0].lower()
        for length in sorted(self.prefix_lengths.get(name, ()), reverse=True):
            rule = self.by_url.get((name, path[:length]))
            if rule is not None:
                return rule
        return None
