"""What teams use of the cell, and what their caps leave them."""

from cicadafold.teams import usage

__all__ = ["TeamAccounting"]


class TeamAccounting:
    """Applies the caps of teams to the steps that are placed.

    Attributes:
        rules: Newest ``TeamRule`` by name of the team.
        usage: ``TeamUsage`` over all workers.
    """

    def __init__(self):
        self.rules = {}
        self.usage = usage.TeamUsage()

    def on_configuration(self, configuration):
        """Takes over the teams of a new configuration."""
        self.rules = configuration.teams or {}

    def begin_pass(self, now_ms):
        """Prepares a pass over the waiting steps.

        Args:
            now_ms: Monotonic time in milliseconds.
        """

    def limit(self, step, tasks):
        """Returns those of a step's waiting tasks that its team may start.

        Args:
            step: Step.
            tasks: Its waiting tasks.
        """
        return tasks
