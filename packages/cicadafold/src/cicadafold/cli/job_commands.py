"""Commands for jobs: submit, state, cancel, pending, explain."""

import os
import pathlib
import secrets

from cleo.commands import command
from cleo.helpers import argument
from cleo.helpers import option
import msgspec

from cicadafold.cli import base
from cicadafold.cli import client
from cicadafold import exception
from cicadafold.jobs import job_file
from cicadafold.platform import job_client

__all__ = [
    "JobCancelCommand",
    "JobExplainCommand",
    "JobPendingCommand",
    "JobStateCommand",
    "JobSubmitCommand",
]

ID_BYTES = 8
# There is no option for the key itself: other users of the host can read the
# arguments of a process.
KEY_VARIABLE = "CICADAFOLD_KEY"
OPTIONS = [
    option(
        "address", None, "IP address and port of an entry host.", flag=False
    ),
    option("queue-host", None, "Host name of the queue.", flag=False),
    option("queue-path", None, "Prefix of the queue's URL paths.", flag=False),
    option(
        "key-file",
        None,
        f"File with the key of your team; {KEY_VARIABLE} by default.",
        flag=False,
    ),
]
EXIT_CODES = {
    exception.LogUnavailable: client.ExitCode.NOT_RUN,
    exception.InvalidCall: client.ExitCode.USAGE,
    exception.LinkNotOpen: client.ExitCode.UNREACHABLE,
    exception.OutcomeUnknown: client.ExitCode.UNKNOWN,
}
# Log fields that are printed at the start of a line, or that are equal in all
# lines of a job; the other fields follow as name=value.
COMMON_FIELDS = ("asctime", "levelname", "member", "message", "request_id")


class JobCommand(command.Command):
    """A command that makes one call to a queue."""

    options = OPTIONS

    def queue_client(self):
        """Returns the client of the queue that the options name.

        Raises:
            InvalidCall: The key cannot be read, or is not valid.
        """
        return job_client.JobClient(
            address=self.option("address") or "127.0.0.1:8161",
            authority=self.option("queue-host") or "",
            prefix=self.option("queue-path") or "/",
            key=read_key(self.option("key-file")),
        )

    def handle(self):
        """Runs the command and returns its exit code."""
        try:
            return int(self.call_queue())
        except exception.CicadafoldError as error:
            self.line_error(error.message)
            self.line_error(f"Remedy: {error.remedy}")
            return int(EXIT_CODES.get(type(error), client.ExitCode.FAILED))

    def call_queue(self):
        """Makes the call, prints its result and returns the exit code."""
        raise NotImplementedError


def read_key(path):
    """Returns the key of a file, or of the environment; empty for none.

    Args:
        path: Path of the file, or None.

    Raises:
        InvalidCall: The file cannot be read.
    """
    if not path:
        return os.environ.get(KEY_VARIABLE, "").strip()
    try:
        return pathlib.Path(path).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "it is not text"
        raise exception.InvalidCall(
            message=f"The key file {path} cannot be read: {reason}.",
            remedy="Check the option --key-file.",
        ) from error


@base.register_command
class JobSubmitCommand(JobCommand):
    """Submits a job file and prints the job's identifier."""

    name = "job submit"
    description = "Submits a job file and prints the job's identifier."
    arguments = [argument("file", "Job file in TOML.")]
    options = [
        *OPTIONS,
        option(
            "id",
            None,
            "Job identifier, 16 hexadecimal digits; random by default.",
            flag=False,
        ),
    ]

    def call_queue(self):
        """Submits the job and prints its identifier."""
        job = self.option("id") or secrets.token_hex(ID_BYTES)
        self.queue_client().submit(job, job_file.load(self.argument("file")))
        self.line(job)
        return client.ExitCode.DONE


@base.register_command
class JobStateCommand(JobCommand):
    """Prints the state of a job."""

    name = "job state"
    description = "Prints the state of a job."
    arguments = [argument("id", "Identifier of the job.")]

    def call_queue(self):
        """Prints the state, or that the job is not known."""
        state = self.queue_client().state(self.argument("id"))
        self.line(state or "no such job")
        return client.ExitCode.DONE if state else client.ExitCode.FAILED


@base.register_command
class JobCancelCommand(JobCommand):
    """Cancels a job."""

    name = "job cancel"
    description = "Cancels a job."
    arguments = [argument("id", "Identifier of the job.")]

    def call_queue(self):
        """Cancels the job and prints whether it was known."""
        known = self.queue_client().cancel(self.argument("id"))
        self.line("cancelled" if known else "no such job")
        return client.ExitCode.DONE if known else client.ExitCode.FAILED


@base.register_command
class JobPendingCommand(JobCommand):
    """Prints how many jobs of a queue have not started."""

    name = "job pending"
    description = "Prints how many jobs of a queue have not started."

    def call_queue(self):
        """Prints the number of jobs that have not started."""
        self.line(str(self.queue_client().pending()))
        return client.ExitCode.DONE


@base.register_command
class JobExplainCommand(command.Command):
    """Prints the log lines about a job from the log files of the hosts."""

    name = "job explain"
    description = (
        "Prints the lines about a job from log files, in order of time."
    )
    arguments = [
        argument("id", "Identifier of the job."),
        argument("logs", "Log files of the entry hosts.", multiple=True),
    ]

    def handle(self):
        """Prints the lines; the command fails if there are none."""
        found = []
        for path in self.argument("logs"):
            found.extend(log_lines_of_job(self.argument("id"), path))
        for line in sorted(found, key=lambda line: line["asctime"]):
            details = " ".join(
                f"{name}={value}"
                for name, value in line.items()
                if name not in COMMON_FIELDS
            )
            when, member = line["asctime"], line.get("member", "")
            self.line(f"{when} {member} {line['message']} {details}".rstrip())
        exit_code = client.ExitCode.DONE if found else client.ExitCode.FAILED
        return int(exit_code)


def log_lines_of_job(job, path):
    """Yields the log lines about a job.

    Lines that are not JSON, or that have no time, are skipped.

    Args:
        job: Identifier of the job.
        path: Path of a log file.

    Yields:
        The fields of a log line, as a dictionary.
    """
    with pathlib.Path(path).open(encoding="utf-8", errors="replace") as lines:
        for text in lines:
            if job not in text:
                continue
            try:
                line = msgspec.json.decode(text[text.index("{") :])
            except (ValueError, msgspec.MsgspecError):
                continue
            if line.get("request_id") == job and "asctime" in line:
                yield line
