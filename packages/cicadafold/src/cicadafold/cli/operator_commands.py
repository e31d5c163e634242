"""Commands for operators: cell, drain, burn report, settings."""

import pathlib

from cicadafold_schema import messages
from cleo.commands import command
from cleo.helpers import argument
from cleo.helpers import option

from cicadafold.cli import base
from cicadafold.cli import client
from cicadafold.reports import burn_page
from cicadafold.settings import check
from cicadafold.settings import table

__all__ = [
    "CellCommand",
    "DrainCommand",
    "ReportBurnCommand",
    "SettingsCheckCommand",
    "SettingsListCommand",
]


@base.register_command
class CellCommand(base.CallCommand):
    """Shows the members of the cell, its racks and their owners."""

    name = "cell"
    description = "Shows the members of the cell, its racks and their owners."

    def perform(self):
        """Returns the cell as the entry host sees it."""
        return self.call_api("GET", "/v1/cell", messages.Cell)

    def text_lines(self, result):
        """Yields one line for each member and rack."""
        yield f"revision {result.revision}, log offset {result.log_offset}"
        for member in result.members:
            yield (
                f"member {member.name}: {member.state}, {member.address}, "
                f"{member.failure_domain}, {member.region}"
            )
        for rack in result.racks:
            owner = rack.owner or "nobody"
            yield (
                f"rack {rack.name}: owned by {owner} (term {rack.term}), "
                f"{rack.workers} workers, {rack.free_slots} free slots, "
                f"{rack.queued} queued"
            )


@base.register_command
class DrainCommand(base.CallCommand):
    """Drains an entry host and stops it."""

    name = "drain"
    description = "Drains the entry host at --address and stops it."

    def perform(self):
        """Starts the drain and returns without waiting for its end."""
        return self.call_api("POST", "/v1/drain", messages.DrainReply)

    def text_lines(self, result):
        """Yields the name of the member and its state."""
        yield f"{result.member}: {result.state}"


@base.register_command
class ReportBurnCommand(base.CallCommand):
    """Reports for each kind how fast it uses up its error budget."""

    name = "report burn"
    description = "Reports for each kind how fast it uses up its error budget."
    options = [
        *base.COMMON_OPTIONS,
        option(
            "html",
            None,
            "HTML file to write the report to as well.",
            flag=False,
        ),
    ]

    def perform(self):
        """Returns the report, and writes the HTML file if it is asked for."""
        report = self.call_api("GET", "/v1/reports/burn", messages.BurnReport)
        path = self.option("html")
        if path:
            page = burn_page.render(report)
            pathlib.Path(path).write_text(page, encoding="utf-8")
        return report

    def text_lines(self, result):
        """Yields a line for each kind, window and member that is missing."""
        for kind in result.kinds:
            yield (
                f"{kind.kind}: objective {kind.objective_share:.2%} within "
                f"{kind.objective_ms} ms"
            )
            for window in kind.windows:
                yield (
                    f"  {window.window_s:>6} s: burn {window.burn:8.2f}  "
                    f"good {window.good}  bad {window.bad}"
                )
        for name in result.unreachable:
            yield f"not included: {name} did not answer"


@base.register_command
class SettingsCheckCommand(command.Command):
    """Checks a settings file and lists all invalid settings with remedies."""

    name = "settings check"
    description = "Checks a settings file and lists all its invalid settings."
    arguments = [argument("file", "Settings file of an entry host, in TOML.")]

    def handle(self):
        """Checks the file and returns the exit code."""
        result = check.load(self.argument("file"))
        if result.is_ok():
            self.line("The settings are valid.")
            return int(client.ExitCode.DONE)
        for invalid in result.error:
            self.line_error(str(invalid))
        return int(client.ExitCode.USAGE)


@base.register_command
class SettingsListCommand(command.Command):
    """Prints all settings as a Markdown table."""

    name = "settings list"
    description = (
        "Prints a Markdown table of all settings with unit and default."
    )

    def handle(self):
        """Prints the table."""
        for line in table.markdown():
            self.line(line)
        return int(client.ExitCode.DONE)
