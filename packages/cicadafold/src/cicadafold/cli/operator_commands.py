"""Commands of operators: cell, drain, burn report, settings check."""

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
    """Shows members, racks and their owners."""

    name = "cell"
    description = "Shows members, racks and their owners."

    def perform(self):
        """Asks for the cell."""
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
    """Drains an entry host and stops it gracefully."""

    name = "drain"
    description = "Drains the entry host that --address names."

    def perform(self):
        """Begins the drain."""
        return self.call_api("POST", "/v1/drain", messages.DrainReply)

    def text_lines(self, result):
        """Yields the state of the drained member."""
        yield f"{result.member}: {result.state}"


@base.register_command
class ReportBurnCommand(base.CallCommand):
    """Reports service-level burn per kind over several windows."""

    name = "report burn"
    description = "Reports service-level burn per kind."
    options = [
        *base.COMMON_OPTIONS,
        option("html", None, "Also write a page to this file.", flag=False),
    ]

    def perform(self):
        """Asks for the report and writes the page."""
        report = self.call_api("GET", "/v1/reports/burn", messages.BurnReport)
        path = self.option("html")
        if path:
            page = burn_page.render(report)
            pathlib.Path(path).write_text(page, encoding="utf-8")
        return report

    def text_lines(self, result):
        """Yields one line for each kind and window."""
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
    """Checks a settings file and lists every fault with its remedy."""

    name = "settings check"
    description = "Checks a settings file whole."
    arguments = [argument("file", "TOML file of an entry host.")]

    def handle(self):
        """Checks the file and returns the exit code."""
        result = check.load(self.argument("file"))
        if result.is_ok():
            self.line("The settings are valid.")
            return int(client.ExitCode.DONE)
        for fault in result.error:
            self.line_error(str(fault))
        return int(client.ExitCode.USAGE)


@base.register_command
class SettingsListCommand(command.Command):
    """Lists all settings as a table in Markdown."""

    name = "settings list"
    description = "Lists all settings with unit and default."

    def handle(self):
        """Prints the table."""
        for line in table.markdown():
            self.line(line)
        return int(client.ExitCode.DONE)
