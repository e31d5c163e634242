"""HTTP client of a worker: run attempts, leases and the worker's inventory."""

import enum

import aiohttp
import msgspec

from cicadafold import decoding
from cicadafold import exception
from cicadafold.jobs import model
from cicadafold.platform import wire
from cicadafold.telemetry import logs

__all__ = ["CommandResult", "Inventory", "StartCommand", "WorkerClient"]

CONNECT_TIMEOUT_S = 0.5
# A worker lists at most this many of its oldest ends in an answer.
MAX_LISTED_ENDS = 500
MS_PER_S = 1000
STATUS_OK = 200
STATUS_CONFLICT = 409
STATUS_MISDIRECTED = 421
STATUS_UNHEALTHY = (429, 503)
HEADERS = {"Content-Type": "application/json"}
# Names the worker that the call is meant for; another one answers with 421.
EXPECT_HEADER = "Cicadafold-Expect-Instance"

LOG = logs.get_logger("worker")

encode = msgspec.json.encode
decode = decoding.json_decoder()


class CommandResult(enum.Enum):
    """Answer of a worker to a command.

    Attributes:
        ACCEPTED: The worker has executed the command.
        FENCED: A scheduler with a higher fencing token has called the
            worker.
        SUPERSEDED: The attempt number is not higher than that of a run
            attempt which was stopped on the worker.
        DEADLINE_PASSED: The deadline of the command has passed.
        NO_CAPACITY: The worker has too little free capacity.
        INVALID_TICKET: The ticket is missing or has expired.
        WRONG_WORKER: Another worker now answers at this address.
        UNHEALTHY: The worker executes no commands at the moment.
        MALFORMED: The worker could not decode the command.
    """

    ACCEPTED = "taken"
    FENCED = "fence"
    SUPERSEDED = "old"
    DEADLINE_PASSED = "late"
    NO_CAPACITY = "room"
    INVALID_TICKET = "ticket"
    WRONG_WORKER = "other life"
    UNHEALTHY = "unhealthy"
    MALFORMED = "malformed"


class StartCommand(msgspec.Struct, frozen=True):
    """Command to start a run attempt, without the fencing token.

    Attributes:
        name: Name of the task.
        attempt: Number of the run attempt.
        payload: Text that the caller submitted for the tasks of the job.
        deadline_ms: End of the lease, in milliseconds on the worker's clock.
        checkpoint: Checkpoint to resume from, or empty.
        ticket: Ticket of the advice service that allows the task on this
            worker, or empty.
    """

    name: model.TaskName
    attempt: int
    payload: str
    deadline_ms: int
    checkpoint: str
    ticket: str


class Inventory(msgspec.Struct, frozen=True):
    """Run attempts on a worker, running or ended but not acknowledged.

    Attributes:
        clock_ms: Reading of the worker's clock in milliseconds.
        born_ms: Unix time in milliseconds at which this incarnation of the
            worker started.
        running: Reports of the running attempts.
        ends: End reports that are not acknowledged yet, oldest first.
    """

    clock_ms: int
    born_ms: int
    running: list[model.RunReport]
    ends: list[model.EndReport]

    @property
    def complete(self):
        """Whether no ends are missing, so that unlisted runs do not exist."""
        return len(self.ends) < MAX_LISTED_ENDS


class WorkerClient:
    """Sends the commands of one term of the scheduler to one worker.

    Args:
        session: HTTP client session, shared by the clients of all workers.
        address: IP number and port of the worker.
        worker: Name of the worker, sent with each call.
        fence: Fencing token, which is the term of the scheduler.
        metrics: Metrics that count the calls and their failures.
    """

    def __init__(self, *, session, address, worker, fence, metrics):
        self.session = session
        self.base = f"http://{address}/api/"
        self.worker = worker
        self.fence = fence
        self.metrics = metrics
        self.headers = HEADERS | {EXPECT_HEADER: worker}

    async def start(self, command, *, timeout_s):
        """Starts a run attempt.

        Args:
            command: The ``StartCommand``.
            timeout_s: Seconds to wait for the answer.

        Returns:
            The ``CommandResult``.

        Raises:
            TargetUnreachable: The worker did not answer; ``sent`` says
                whether it may still execute the command.
        """
        message = {
            "task": wire.format_task_name(command.name),
            "attempt": command.attempt,
            "spec": command.payload,
            "deadlineMs": command.deadline_ms,
            "fence": self.fence,
        }
        if command.checkpoint:
            message["checkpoint"] = command.checkpoint
        if command.ticket:
            message["ticket"] = command.ticket
        status, body = await self.call("run-start", message, timeout_s)
        return command_result(status, body)

    async def stop(self, name, attempt, *, timeout_s):
        """Stops a run attempt and returns the ``CommandResult``.

        If the start command arrives at the worker only after this call, the
        worker rejects it.

        Args:
            name: Name of the task.
            attempt: Number of the run attempt.
            timeout_s: Seconds to wait for the answer.

        Raises:
            TargetUnreachable: The worker did not answer.
        """
        message = {
            "task": wire.format_task_name(name),
            "attempt": attempt,
            "fence": self.fence,
        }
        status, body = await self.call("run-stop", message, timeout_s)
        return command_result(status, body)

    async def pace(self, name, attempt, percent, *, timeout_s):
        """Sets the speed of a run attempt and returns the ``CommandResult``.

        Args:
            name: Name of the task.
            attempt: Number of the run attempt.
            percent: Share of its full speed, from 0 to 100.
            timeout_s: Seconds to wait for the answer.

        Raises:
            TargetUnreachable: The worker did not answer.
        """
        message = {
            "task": wire.format_task_name(name),
            "attempt": attempt,
            "percent": percent,
            "fence": self.fence,
        }
        status, body = await self.call("pace", message, timeout_s)
        return command_result(status, body)

    async def renew(self, *, acknowledged, deadline_ms, wait_ms, timeout_s):
        """Renews the lease of all run attempts and returns the inventory.

        Args:
            acknowledged: The worker may delete the end reports up to this
                number.
            deadline_ms: New end of the lease in milliseconds on the
                worker's clock; None leaves the lease unchanged.
            wait_ms: Milliseconds for which the worker waits for an end of a
                run attempt before it answers.
            timeout_s: Seconds to wait for the answer.

        Returns:
            The ``Inventory``, or a ``CommandResult`` if the worker refused
            the call.

        Raises:
            TargetUnreachable: The worker did not answer, or its answer
                cannot be decoded.
        """
        message = {"fence": self.fence, "ackedThrough": acknowledged}
        if deadline_ms is not None:
            message["deadlineMs"] = deadline_ms
        if wait_ms:
            message["waitMs"] = wait_ms
        status, body = await self.call("hold", message, timeout_s)
        if status == STATUS_OK:
            return decode_inventory(body)
        return command_result(status, body)

    async def call(self, name, message, timeout_s):
        """Makes a call and returns the HTTP status and body of the answer.

        An unexpected error counts as a call without an answer, so that it
        concerns this worker only.

        Raises:
            TargetUnreachable: The worker did not answer.
        """
        timeout = aiohttp.ClientTimeout(
            total=timeout_s, connect=min(timeout_s, CONNECT_TIMEOUT_S)
        )
        self.metrics.count("worker_calls", call=name)
        try:
            async with self.session.post(
                self.base + name,
                data=encode(message),
                headers=self.headers,
                timeout=timeout,
            ) as answer:
                return answer.status, await answer.read()
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise self.unreachable_error(name, error, sent=False) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise self.unreachable_error(name, error, sent=True) from error
        except Exception as error:
            LOG.exception(
                "A call of a worker failed unexpectedly.",
                fields={"worker": self.worker, "call": name},
            )
            raise self.unreachable_error(name, error, sent=True) from error

    def unreachable_error(self, name, error, *, sent):
        """Counts a call without an answer and returns its exception."""
        self.metrics.count("worker_failures", call=name)
        return exception.TargetUnreachable(
            message=f"Worker {self.worker} did not answer {name}: {error!r}.",
            sent=sent,
            closed=not isinstance(error, TimeoutError),
        )


def command_result(status, body):
    """Returns the ``CommandResult`` for the status and body of an answer."""
    if status == STATUS_OK:
        return CommandResult.ACCEPTED
    if status == STATUS_MISDIRECTED:
        return CommandResult.WRONG_WORKER
    if status in STATUS_UNHEALTHY:
        return CommandResult.UNHEALTHY
    if status == STATUS_CONFLICT:
        try:
            return CommandResult(decode(body)["reason"])
        except decoding.UNDECODABLE:
            return CommandResult.NO_CAPACITY
    return CommandResult.MALFORMED


def decode_inventory(body):
    """Decodes the answer to ``hold``, the platform's name for a renewal.

    Raises:
        TargetUnreachable: The body is not a valid inventory.
    """
    try:
        found = decode(body)
        running = found.get("running") or ()
        ends = found.get("finished") or ()
        if len(running) + len(ends) > wire.MAX_ROWS:
            raise ValueError(f"over {wire.MAX_ROWS} rows")
        return Inventory(
            wire.parse_number(found["clockMs"]),
            wire.parse_number(found.get("born", 0)),
            [wire.parse_run_report(row) for row in running],
            [wire.parse_end_report(row) for row in ends],
        )
    except decoding.UNDECODABLE as error:
        raise exception.TargetUnreachable(
            message=f"A worker's inventory cannot be decoded: {error!r}.",
            sent=True,
        ) from error
