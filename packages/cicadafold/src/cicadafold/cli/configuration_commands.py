"""Commands that show and change the configuration, its kinds and teams."""

import tomllib
import uuid

from cicadafold_schema import messages
from cleo.helpers import argument
from cleo.helpers import option
import msgspec

from cicadafold.cli import base
from cicadafold.cli import client

__all__ = [
    "ConfigApplyCommand",
    "ConfigHistoryCommand",
    "ConfigShowCommand",
    "KindListCommand",
    "KindSetCommand",
    "TeamListCommand",
    "TeamSetCommand",
]

PATH = "/v1/configuration"


class ConfigurationCommand(base.CallCommand):
    """A command that shows or changes the configuration."""

    def current_configuration(self):
        """Returns the configuration in force."""
        return self.call_api("GET", PATH, messages.Configuration)

    def apply(self, configuration, base_revision, author):
        """Replaces the configuration.

        Args:
            configuration: The new configuration.
            base_revision: Revision that the new configuration is based on;
                the entry host refuses the change if it is not the current
                one.
            author: Author for the history; may be empty or None.

        Returns:
            The configuration in force after the change.

        Raises:
            CallFailed: The change was refused, or may not be in force.
        """
        change = messages.ConfigurationChange(
            change_id=uuid.uuid4().hex,
            base_revision=base_revision,
            author=author or "",
            configuration=configuration,
        )
        return self.call_api("POST", PATH, messages.Configuration, change)

    def text_lines(self, result):
        """Yields the lines that show a whole configuration."""
        yield f"revision {result.revision}"
        yield f"headroom_slots {result.headroom_slots}"
        yield f"cross_region_price_ms {result.cross_region_price_ms}"
        yield from kind_lines(result)
        yield from team_lines(result)


def kind_lines(configuration):
    """Yields one line for each kind of requests."""
    for kind in configuration.kinds:
        execution = "idempotent" if kind.idempotent else "at most once"
        durability = "durable" if kind.durable else "not recorded"
        yield (
            f"kind {kind.name}: {kind.lane.value} {kind.shape.value}, "
            f"{execution}, {durability}, {kind.tasks} x {kind.cores:g} cores "
            f"{kind.memory_mb} MB, deadline {kind.deadline_ms} ms"
        )


def team_lines(configuration):
    """Yields one line for each team."""
    for team in configuration.teams:
        quota = f"{team.quota_cores:g} cores" if team.quota_cores else "none"
        yield f"team {team.name}: weight {team.weight}, quota {quota}"


def read_file(path, message_type):
    """Reads a message of the schema from a file.

    Args:
        path: Path of the file: JSON if it ends in ``.json``, else TOML.
        message_type: Type of the message.

    Returns:
        The decoded message.

    Raises:
        CallFailed: The file cannot be read or does not match the schema.
    """
    try:
        with open(path, "rb") as source:
            content = source.read()
        if path.endswith(".json"):
            return msgspec.json.decode(content, type=message_type)
        return msgspec.convert(
            tomllib.loads(content.decode()), type=message_type
        )
    except (OSError, ValueError) as error:
        reply = client.make_error_reply(
            f"{path} is not a {message_type.__name__}: {error}.",
            "Correct the file or its path.",
        )
        reply.outcome = messages.Outcome.not_run
        raise client.CallFailed(
            reply=reply, exit_code=client.ExitCode.USAGE
        ) from error


@base.register_command
class ConfigShowCommand(ConfigurationCommand):
    """Shows the configuration in force."""

    name = "config show"
    description = "Shows the configuration in force."

    def perform(self):
        """Returns the configuration in force."""
        return self.current_configuration()


@base.register_command
class ConfigHistoryCommand(base.CallCommand):
    """Lists the changes of the configuration, newest last."""

    name = "config history"
    description = "Lists the changes of the configuration, newest last."

    def perform(self):
        """Returns the history of the configuration."""
        return self.call_api("GET", PATH + "/history", messages.History)

    def text_lines(self, result):
        """Yields one line for each change."""
        for entry in result.entries:
            author = entry.author or "unknown author"
            yield f"revision {entry.revision}: {entry.change_id} by {author}"


@base.register_command
class ConfigApplyCommand(ConfigurationCommand):
    """Replaces the whole configuration by that of a file."""

    name = "config apply"
    description = (
        "Replaces the configuration if its revision is still that of --base."
    )
    arguments = [
        argument("file", "TOML or JSON file of a whole configuration.")
    ]
    options = [
        *base.COMMON_OPTIONS,
        option(
            "base",
            None,
            "Revision that the file is based on; by default that in the file.",
            flag=False,
        ),
        option("author", None, "Your name, for the history.", flag=False),
    ]

    def perform(self):
        """Replaces the configuration and returns the one then in force."""
        wanted = read_file(self.argument("file"), messages.Configuration)
        given = self.option("base")
        revision = int(given) if given else wanted.revision
        return self.apply(wanted, revision, self.option("author"))


@base.register_command
class KindListCommand(ConfigurationCommand):
    """Lists the kinds of requests."""

    name = "kind list"
    description = "Lists the kinds of requests."

    def perform(self):
        """Returns the configuration in force."""
        return self.current_configuration()

    def text_lines(self, result):
        """Yields one line for each kind of requests."""
        yield from kind_lines(result)


@base.register_command
class KindSetCommand(ConfigurationCommand):
    """Adds or replaces one kind of requests."""

    name = "kind set"
    description = "Adds or replaces one kind of requests."
    arguments = [argument("file", "TOML or JSON file of one kind.")]

    def perform(self):
        """Sets the kind in the current configuration and applies that."""
        wanted = read_file(self.argument("file"), messages.Kind)
        current = self.current_configuration()
        kinds = [k for k in current.kinds if k.name != wanted.name]
        current.kinds = [*kinds, wanted]
        return self.apply(current, current.revision, "kind set")


@base.register_command
class TeamListCommand(ConfigurationCommand):
    """Lists the teams."""

    name = "team list"
    description = "Lists the teams."

    def perform(self):
        """Returns the configuration in force."""
        return self.current_configuration()

    def text_lines(self, result):
        """Yields one line for each team."""
        yield from team_lines(result)


@base.register_command
class TeamSetCommand(ConfigurationCommand):
    """Adds or replaces one team."""

    name = "team set"
    description = "Adds or replaces one team."
    arguments = [argument("team", "Name of the team.")]
    options = [
        *base.COMMON_OPTIONS,
        option(
            "weight",
            None,
            "Weight in fair sharing among teams in the patient lane.",
            flag=False,
        ),
        option(
            "quota-cores",
            None,
            "Quota in cores in the patient lane; 0 means no limit.",
            flag=False,
        ),
    ]

    def perform(self):
        """Sets the team in the current configuration and applies that."""
        wanted = messages.Team(
            name=self.argument("team"),
            weight=int(self.option("weight") or 1),
            quota_cores=float(self.option("quota-cores") or 0),
        )
        current = self.current_configuration()
        teams = [t for t in current.teams if t.name != wanted.name]
        current.teams = [*teams, wanted]
        return self.apply(current, current.revision, "team set")
