"""Client of the workers: starts, stops, leases and the lists of runs."""

import enum
import json

import aiohttp
import msgspec

from cicadafold import exception
from cicadafold.jobs import model
from cicadafold.platform import wire

__all__ = ["Inventory", "StartCommand", "CommandResult", "WorkerClient"]

CONNECT_TIMEOUT_S = 0.5
MILLISECONDS = 1000
STATUS_OK = 200
STATUS_CONFLICT = 409
STATUS_MISDIRECTED = 421
STATUS_UNHEALTHY = (429, 503)
HEADERS = {"Content-Type": "application/json"}
EXPECT_HEADER = "Cicadafold-Expect-Instance"

encode = msgspec.json.encode


class CommandResult(enum.Enum):
    """Answer to an order.

    Attributes:
        TAKEN: The order was carried out.
        FENCED: A scheduler with a higher fence has called.
        SUPERSEDED: The attempt is not higher than one stopped there.
        TOO_LATE: Its deadline has passed.
        NO_ROOM: The worker has no room.
        NO_TICKET: The ticket is missing or has expired.
        OTHER_LIFE: The worker has been replaced.
        UNHEALTHY: The worker does nothing at the moment.
        MALFORMED: The worker could not read the order.
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
    """What a start says besides the fence.

    Attributes:
        name: Task.
        attempt: Number of the run.
        payload: Text that the caller gave for the tasks.
        deadline_ms: End of the lease on the worker's clock.
        checkpoint: Saved progress to resume from, or empty.
        ticket: Permission of the queue's policy, or empty.
    """

    name: model.TaskName
    attempt: int
    payload: str
    deadline_ms: int
    checkpoint: str
    ticket: str


class Inventory(msgspec.Struct, frozen=True):
    """What a worker runs, and which ends are not acknowledged.

    Attributes:
        clock_ms: The worker's clock.
        born_ms: Unix time in milliseconds of the start of its life.
        rows: Running tasks.
        ends: Unacknowledged ends, oldest first.
    """

    clock_ms: int
    born_ms: int
    rows: list[model.RunReport]
    ends: list[model.EndReport]


class WorkerClient:
    """Calls to one worker under one fence.

    Args:
        session: Client session shared by all workers.
        address: IP number and port of the worker.
        worker: Name of the worker, sent with each order.
        fence: Term of the scheduler.
        metrics: Where calls are counted.
    """

    def __init__(self, *, session, address, worker, fence, metrics):
        self.session = session
        self.base = f"http://{address}/api/"
        self.worker = worker
        self.fence = fence
        self.metrics = metrics
        self.headers = HEADERS | {EXPECT_HEADER: worker}

    async def start(self, order, *, timeout_s):
        """Starts a run.

        Raises:
            TargetUnreachable: No answer; ``sent`` tells whether the order
                may still be carried out.
        """
        message = {
            "task": wire.format_task_name(order.name),
            "attempt": order.attempt,
            "spec": order.payload,
            "deadlineMs": order.deadline_ms,
            "fence": self.fence,
        }
        if order.checkpoint:
            message["checkpoint"] = order.checkpoint
        if order.ticket:
            message["ticket"] = order.ticket
        status, body = await self.call("run-start", message, timeout_s)
        return command_result(status, body)

    async def stop(self, name, attempt, *, timeout_s):
        """Stops a run; one that is not there yet will be rejected."""
        message = {
            "task": wire.format_task_name(name),
            "attempt": attempt,
            "fence": self.fence,
        }
        status, body = await self.call("run-stop", message, timeout_s)
        return command_result(status, body)

    async def pace(self, name, attempt, percent, *, timeout_s):
        """Lets a run work at a share of its speed, 0 to 100."""
        message = {
            "task": wire.format_task_name(name),
            "attempt": attempt,
            "percent": percent,
            "fence": self.fence,
        }
        status, body = await self.call("pace", message, timeout_s)
        return command_result(status, body)

    async def renew(self, *, acknowledged, deadline_ms, wait_ms, timeout_s):
        """Renews the lease of all runs and returns the inventory.

        Args:
            acknowledged: Ends up to this number may be forgotten.
            deadline_ms: New end of the lease, None to leave it.
            wait_ms: How long the worker waits for an end.
            timeout_s: Seconds to wait for the answer.

        Returns:
            The inventory, or the ``CommandResult`` of a refusal.
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
        """Makes a call and returns status and body."""
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
            raise self.unreachable(name, error, sent=False) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise self.unreachable(name, error, sent=True) from error

    def unreachable(self, name, error, *, sent):
        """Returns the error of a call without an answer."""
        self.metrics.count("worker_failures", call=name)
        return exception.TargetUnreachable(
            message=f"Worker {self.worker} did not answer {name}: {error!r}.",
            sent=sent,
        )


def command_result(status, body):
    """Returns the meaning of an answer to an order."""
    if status == STATUS_OK:
        return CommandResult.ACCEPTED
    if status == STATUS_MISDIRECTED:
        return CommandResult.WRONG_WORKER
    if status in STATUS_UNHEALTHY:
        return CommandResult.UNHEALTHY
    if status == STATUS_CONFLICT:
        try:
            return CommandResult(json.loads(body)["reason"])
        except (ValueError, KeyError, TypeError):
            return CommandResult.NO_CAPACITY
    return CommandResult.MALFORMED


def decode_inventory(body):
    """Decodes the lists of a worker.

    Raises:
        TargetUnreachable: The body is no such list.
    """
    try:
        found = msgspec.json.decode(body)
        return Inventory(
            int(found["clockMs"]),
            int(found.get("born", 0)),
            [wire.parse_task_row(row) for row in found.get("running") or ()],
            [wire.parse_end(row) for row in found.get("finished") or ()],
        )
    except (ValueError, KeyError, TypeError, IndexError) as error:
        raise exception.TargetUnreachable(
            message=f"A worker's list cannot be read: {error!r}.", sent=True
        ) from error
