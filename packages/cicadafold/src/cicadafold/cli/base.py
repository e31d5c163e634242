"""Base of all commands: common options, output, exit codes."""

from cleo.commands import command
from cleo.helpers import option
import msgspec

from cicadafold.cli import client

__all__ = ["COMMANDS", "CallCommand", "register_command"]

COMMANDS = []

COMMON_OPTIONS = [
    option("address", None, "Base address of an entry host.", flag=False),
    option("token", None, "Token of your role.", flag=False),
    option("output", None, "text or json.", flag=False, default="text"),
]


def register_command(cls):
    """Registers a command with the application."""
    COMMANDS.append(cls)
    return cls


class CallCommand(command.Command):
    """A command that makes calls and prints text or JSON."""

    options = COMMON_OPTIONS

    def call_api(self, method, path, message_type, message=None):
        """Makes a call with the command's common options."""
        return client.call_api(
            method,
            path,
            message_type,
            address=self.option("address") or "",
            token=self.option("token") or "",
            message=message,
        )

    def handle(self):
        """Runs the command and returns its exit code."""
        try:
            result = self.perform()
        except client.CallFailed as error:
            self.show_failure(error)
            return int(error.exit_code)
        self.show(result)
        return int(self.exit_code(result))

    def perform(self):
        """Makes the command's calls and returns what to show."""
        raise NotImplementedError

    def exit_code(self, result):
        """Returns the exit code of a result."""
        return client.ExitCode.DONE

    def show(self, result):
        """Prints a result in the chosen form."""
        if self.option("output") == "json":
            self.line(msgspec.json.encode(result).decode())
        else:
            for line in self.text_lines(result):
                self.line(line)

    def text_lines(self, result):
        """Yields the lines of a result as text."""
        raise NotImplementedError

    def show_failure(self, error):
        """Prints a failed call with its remedy."""
        if self.option("output") == "json":
            self.line(msgspec.json.encode(error.reply).decode())
            return
        shown = error.reply.error
        self.line_error(f"{shown.code.value}: {shown.message}")
        self.line_error(f"Outcome: {error.reply.outcome.value}.")
        self.line_error(f"Remedy: {shown.remedy}")
        if shown.retry_after_ms is not msgspec.UNSET:
            self.line_error(f"Retry after {shown.retry_after_ms} ms.")
