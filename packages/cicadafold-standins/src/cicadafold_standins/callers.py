"""Callers that generate open-loop load and record every answer."""

import asyncio
import random
import time

import aiohttp
from cicadafold_schema import messages
import msgspec

__all__ = ["CallRecord", "Callers"]

RETRY_PAUSE_S = 0.1
MAX_RETRY_PAUSE_S = 2.0
MS_PER_S = 1000
STATUS_DONE = 200
STATUS_ACCEPTED = 202

ANSWER_DECODER = msgspec.json.Decoder(messages.Answer)
ERROR_DECODER = msgspec.json.Decoder(messages.ErrorReply)

FINAL = (
    messages.Outcome.done,
    messages.Outcome.failed,
    messages.Outcome.unknown,
    messages.Outcome.cancelled,
)


class CallRecord(msgspec.Struct, kw_only=True):
    """One request of a caller and the answer it received.

    Attributes:
        due_s: Monotonic time in seconds at which the request was due; the
            answer time counts from here.
        answered_s: Monotonic time in seconds at which the caller stopped
            submitting it.
        outcome: Final outcome, or None if the caller received none.
        waited_us: Waiting time in microseconds, as reported in the answer.
        decision_us: Time of the placement decision in microseconds, as
            reported in the answer.
        not_run_replies: Number of attempts that were answered "not run".
        broken: Number of attempts whose connection broke before an answer.
        last_error: Message of the last refusal or connection error.
    """

    request_id: str
    kind: str
    payload: str
    due_s: float
    answered_s: float = 0.0
    outcome: messages.Outcome | None = None
    result: str = ""
    worker: str = ""
    waited_us: int = 0
    decision_us: int = 0
    not_run_replies: int = 0
    broken: int = 0
    attempts: int = 0
    last_error: str = ""


class Callers:
    """Callers of one region, which submit requests to one address.

    Args:
        address: Address of a balancer or an entry host.
        region: Region of the callers.
        plan: Plan of the cell, with kinds, teams and loads.
        seed: Seed of the arrival times, run times and teams.
        retry_window_s: Time in seconds after a request is due during which
            the caller submits it again.
        label: Prefix of the request ids; it keeps the ids of two runs with
            the same seed apart.
    """

    def __init__(
        self, *, address, region, plan, seed, retry_window_s=40.0, label=""
    ):
        self.url = f"http://{address}/v1/requests"
        self.region = region
        self.plan = plan
        self.rng = random.Random(seed)
        self.retry_window_s = retry_window_s
        self.records = []
        self.tasks = set()
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=45),
        )
        self.serial = 0
        self.prefix = f"{label}{region}-{seed}"

    async def close(self):
        """Closes the HTTP session."""
        await self.session.close()

    async def generate_load(self, *, duration_s, scale=1.0):
        """Generates the plan's load, independently for each kind.

        Args:
            duration_s: Duration in seconds.
            scale: Factor applied to the plan's request rates.
        """
        await asyncio.gather(
            *(
                self.generate_kind(kind, load.rate_per_s * scale, duration_s)
                for kind, load in self.plan.loads.items()
            )
        )

    async def generate_kind(self, kind, rate_per_s, duration_s):
        """Starts requests of a kind as an open-loop Poisson process."""
        due_s = time.monotonic()
        end_s = due_s + duration_s
        while True:
            due_s += self.rng.expovariate(rate_per_s)
            if due_s >= end_s:
                return
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            self.start_request(kind, due_s)

    def start_request(self, kind, due_s):
        """Starts one request with a random run time."""
        self.serial += 1
        low, high = self.plan.loads[kind].run_ms
        run_ms = round(self.rng.uniform(low, high), 1)
        record = CallRecord(
            request_id=f"{self.prefix}-{self.serial}",
            kind=kind,
            payload=f'{{"run_ms":{run_ms}}}',
            due_s=due_s,
        )
        self.records.append(record)
        task = asyncio.create_task(self.submit_until_final(record))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def wait_for_answers(self):
        """Waits until every started request has ended."""
        while self.tasks:
            await asyncio.wait(set(self.tasks))

    async def submit_until_final(self, record):
        """Submits a request until it has a final outcome or time runs out.

        A request without a final outcome counts as not run if any attempt
        was answered so.
        """
        end_s = record.due_s + self.retry_window_s
        team = self.rng.choice(self.plan.teams).name
        while record.outcome is None and time.monotonic() < end_s:
            record.attempts += 1
            pause_s = await self.submit_once(record, team)
            if record.outcome is None:
                await asyncio.sleep(pause_s)
        record.answered_s = time.monotonic()
        if record.outcome is None and record.not_run_replies:
            record.outcome = messages.Outcome.not_run

    async def submit_once(self, record, team):
        """Submits a request once and returns the pause before the next try.

        The pause is in seconds.
        """
        request = messages.SubmitRequest(
            request_id=record.request_id,
            kind=record.kind,
            team=team,
            payload=record.payload,
            attempt=record.attempts,
            origin=self.region,
        )
        body = msgspec.json.encode(request)
        try:
            async with self.session.post(self.url, data=body) as reply:
                content = await reply.read()
                return self.record_reply(record, reply.status, content)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            record.broken += 1
            record.last_error = repr(error)
            return RETRY_PAUSE_S

    def record_reply(self, record, status, content):
        """Records a reply and returns the pause in seconds before a retry."""
        if status in (STATUS_DONE, STATUS_ACCEPTED):
            answer = ANSWER_DECODER.decode(content)
            if answer.outcome in FINAL:
                record.outcome = answer.outcome
                record.result = answer.result
                record.worker = answer.worker
                record.waited_us = answer.waited_us
                record.decision_us = answer.decision_us
            return RETRY_PAUSE_S
        error = ERROR_DECODER.decode(content)
        record.last_error = error.error.message
        if error.outcome in FINAL and self.is_final(record, error):
            record.outcome = error.outcome
        if error.outcome is messages.Outcome.not_run:
            record.not_run_replies += 1
        pause_ms = error.error.retry_after_ms or RETRY_PAUSE_S * MS_PER_S
        return min(MAX_RETRY_PAUSE_S, pause_ms / MS_PER_S)

    def is_final(self, record, error):
        """Whether the outcome of an error is final for the caller.

        An unknown outcome is not final for an idempotent kind: the caller
        submits the request again, because it may run twice.
        """
        if error.outcome is not messages.Outcome.unknown:
            return True
        repeatable = {k.name for k in self.plan.kinds if k.idempotent}
        return record.kind not in repeatable
