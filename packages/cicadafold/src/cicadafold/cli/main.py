"""Entry point of the command line ``cicadafold``."""

import sys

from cleo import application

from cicadafold.cli import base
from cicadafold.cli import configuration_commands
from cicadafold.cli import job_commands
from cicadafold.cli import operator_commands
from cicadafold.cli import request_commands

__all__ = ["COMMAND_MODULES", "main", "make_application"]

COMMAND_MODULES = (
    configuration_commands,
    job_commands,
    operator_commands,
    request_commands,
)


def make_application():
    """Returns the application with all registered commands."""
    app = application.Application("cicadafold", "0.1.0")
    for cls in base.COMMANDS:
        app.add(cls())
    return app


def main():
    """Runs the command line and exits with the exit code of the command."""
    sys.exit(make_application().run())


if __name__ == "__main__":
    main()
