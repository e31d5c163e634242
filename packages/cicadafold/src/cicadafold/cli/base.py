"""Base class of the commands that call an entry host, and their registry."""

from cleo.commands import command
from cleo.helpers import option
import msgspec

from cicadafold.cli import client

__all__ = ["COMMANDS", "CallCommand", "register_command"]

COMMANDS = []

COMMON_OPTIONS = [
    option("address", None, "Base URL of an entry host.", flag=False),
    option("token", None, "Token that authorizes the call.", flag=False),
    option(
        "output",
        None,
        "Output format: text or json.",
        flag=False,
        default="text",
    ),
]


def register_command(cls):
    """Class decorator that adds a command to the command line."""
    COMMANDS.append(cls)
    return cls


class CallCommand(command.Command):
    """A command that calls an entry host and prints the result.

    The option ``--output`` chooses between text and JSON.
    """

    options = COMMON_OPTIONS

    def call_api(self, method, path, message_type, message=None):
        """Makes a call with the address and token of the options.

        Args:
            method: HTTP method.
            path: URL path of the call.
            message_type: Type of the reply.
            message: Message to send as the body, or None.

        Returns:
            The decoded reply.

        Raises:
            CallFailed: The call was refused or not answered.
        """
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
        """Makes the calls of the command and returns the result to print."""
        raise NotImplementedError

    def exit_code(self, result):
        """Returns the exit code for a result; by default success."""
        return client.ExitCode.DONE

    def show(self, result):
        """Prints a result as text or JSON."""
        if self.option("output") == "json":
            self.line(msgspec.json.encode(result).decode())
        else:
            for line in self.text_lines(result):
                self.line(line)

    def text_lines(self, result):
        """Yields the lines that show a result as text."""
        raise NotImplementedError

    def show_failure(self, error):
        """Prints the error of a failed call.

        As text it goes to standard error, as JSON to standard output.
        """
        if self.option("output") == "json":
            self.line(msgspec.json.encode(error.reply).decode())
            return
        details = error.reply.error
        self.line_error(f"{details.code.value}: {details.message}")
        self.line_error(f"Outcome: {error.reply.outcome.value}.")
        self.line_error(f"Remedy: {details.remedy}")
        if details.retry_after_ms is not msgspec.UNSET:
            self.line_error(f"Retry after {details.retry_after_ms} ms.")
