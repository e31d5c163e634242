"""Commands for single requests: submit, status, wait, cancel, explain."""

import datetime
import uuid

from cicadafold_schema import messages
from cleo.helpers import argument
from cleo.helpers import option

from cicadafold.cli import base
from cicadafold.cli import client

__all__ = [
    "CancelCommand",
    "ExplainCommand",
    "StatusCommand",
    "SubmitCommand",
    "WaitCommand",
]

MS_PER_S = 1000


class AnswerCommand(base.CallCommand):
    """A command whose result is an ``Answer`` to a request."""

    def exit_code(self, result):
        """Returns the exit code for the outcome of the request."""
        return client.EXIT_BY_OUTCOME.get(result.outcome, client.ExitCode.DONE)

    def text_lines(self, result):
        """Yields the outcome, and the worker and result if there are any."""
        yield f"{result.request_id}: {result.outcome.value}"
        if result.worker:
            yield f"worker: {result.worker}"
        if result.result:
            yield f"result: {result.result}"


@base.register_command
class SubmitCommand(AnswerCommand):
    """Submits a request and waits for its answer."""

    name = "submit"
    description = "Submits a request and waits for its answer."
    arguments = [argument("kind", "Kind of the request.")]
    options = [
        *base.COMMON_OPTIONS,
        option(
            "team",
            None,
            "Team on whose behalf the request is made.",
            flag=False,
        ),
        option(
            "payload", None, "Text that is passed to the target.", flag=False
        ),
        option("id", None, "Request id; random by default.", flag=False),
        option(
            "attempt",
            None,
            "Number of this submission; 2 or more repeats one.",
            flag=False,
        ),
        option(
            "deadline-ms",
            None,
            "Time limit for the answer in ms; by default that of the kind.",
            flag=False,
        ),
        option("no-wait", None, "Return as soon as the request is accepted."),
    ]

    def perform(self):
        """Submits the request and returns its answer."""
        submit_request = messages.SubmitRequest(
            request_id=self.option("id") or uuid.uuid4().hex,
            kind=self.argument("kind"),
            team=self.option("team") or "",
            payload=self.option("payload") or "",
            attempt=int(self.option("attempt") or 1),
            deadline_ms=int(self.option("deadline-ms") or 0),
            wait=not self.option("no-wait"),
        )
        return self.call_api(
            "POST", "/v1/requests", messages.Answer, submit_request
        )


class RequestCommand(AnswerCommand):
    """A command that makes one call about one request.

    Attributes:
        method: HTTP method of the call.
        suffix: End of the URL path, after the request id.
    """

    arguments = [argument("request_id", "Request id.")]
    method = "GET"
    suffix = ""

    def perform(self):
        """Makes the call and returns its answer."""
        path = f"/v1/requests/{self.argument('request_id')}{self.suffix}"
        return self.call_api(self.method, path, messages.Answer)


@base.register_command
class StatusCommand(RequestCommand):
    """Shows the state of a recorded request."""

    name = "status"
    description = "Shows the state of a recorded request."


@base.register_command
class WaitCommand(RequestCommand):
    """Waits for the final answer of a recorded request."""

    name = "wait"
    description = "Waits for the final answer of a recorded request."
    method = "POST"
    suffix = "/wait"


@base.register_command
class CancelCommand(RequestCommand):
    """Cancels a request and stops its running tasks."""

    name = "cancel"
    description = "Cancels a request and stops its running tasks."
    method = "POST"
    suffix = "/cancel"


@base.register_command
class ExplainCommand(base.CallCommand):
    """Prints the events of a request: why it waits or where it was placed."""

    name = "explain"
    description = "Prints why a request waits, or where and why it was placed."
    arguments = [argument("request_id", "Request id.")]

    def perform(self):
        """Returns the events of the request."""
        path = f"/v1/requests/{self.argument('request_id')}/explain"
        return self.call_api("GET", path, messages.Explanation)

    def text_lines(self, result):
        """Yields one line for each event, with its time in UTC."""
        for event in result.events:
            at = datetime.datetime.fromtimestamp(
                event.at_ms / MS_PER_S, tz=datetime.UTC
            )
            yield f"{at:%H:%M:%S.%f} {event.member}: {event.text}"
