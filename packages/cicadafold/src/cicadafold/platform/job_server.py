"""HTTP server for the calls of callers about their jobs."""

import asyncio
import json
import math
import re

from aiohttp import web
import msgspec

from cicadafold import clock
from cicadafold import exception
from cicadafold.platform import http_faults
from cicadafold.platform import wire
from cicadafold.teams import access
from cicadafold.teams import refusals
from cicadafold.telemetry import logs

__all__ = ["SERVER_OPTIONS", "make_caller_app", "make_ready_app"]

TIMEOUT_HEADER = "Cicadafold-Timeout-Ms"
KEY_HEADER = "Cicadafold-Key"
DEFAULT_TIMEOUT_MS = 3000.0
# Part of the caller's timeout that is reserved for sending the answer.
ANSWER_MARGIN_S = 0.15
# Limit for queries of state, which callers repeat after a failure.
QUERY_TIMEOUT_S = 1.5
MS_PER_S = 1000.0
RETRY_AFTER_S = "1"
JOB_ID = re.compile(r"[0-9a-fA-F]{16}\Z")
MAX_BODY_BYTES = 4 << 20
# Longer header lines are refused with 400 before a handler sees them, as the
# HTTP library keeps up to 128 of them in memory. A key that is too long, but
# not longer than this, is answered like an unknown one.
MAX_HEADER_BYTES = 128 << 10
# Bodies are not decompressed: a small one could fill the memory.
SERVER_OPTIONS = {
    "max_field_size": MAX_HEADER_BYTES,
    "auto_decompress": False,
}
# Handling time after which the key of a query is checked again before the
# answer: the process may have been paused meanwhile.
RECHECK_AFTER_MS = 200.0

LOG = logs.get_logger("caller")


class JobRequestHandler:
    """Handles the HTTP requests of callers.

    Args:
        service: The ``JobService`` that executes the calls.
        configuration: The ``Holder`` of the newest configuration.
        closing: Function that returns whether connections are closed after
            the answer.
        metrics: Metrics that count the calls.
    """

    def __init__(self, *, service, configuration, closing, metrics):
        self.service = service
        self.configuration = configuration
        self.closing = closing
        self.metrics = metrics
        self.refusals = refusals.RefusalLog(metrics=metrics)

    async def handle(self, request):
        """Answers one HTTP request."""
        logged = False
        try:
            answer = await self.route(request)
        except access.REFUSALS as error:
            answer = error_response(error)
            self.refusals.record(error, request.headers.get(KEY_HEADER, ""))
            logged = True
        except exception.MemoryExhausted as error:
            answer = error_response(error)
            answer.force_close()
        except exception.CicadafoldError as error:
            answer = error_response(error)
        except ValueError as error:
            answer = web.json_response({"error": str(error)}, status=400)
        self.metrics.count(
            "calls", method=request.method, status=answer.status
        )
        if answer.status >= 400 and answer.status != 410 and not logged:
            LOG.info(
                "A job call was refused or failed; the caller was answered "
                "with status %s.",
                answer.status,
                fields={
                    "request_id": request.path.rpartition("/")[2],
                    "method": request.method,
                    "reason": answer.text or "",
                },
            )
        if self.closing():
            answer.force_close()
        return answer

    async def route(self, request):
        """Finds the queue and the handler of a request and calls the handler.

        Raises:
            CicadafoldError: The call was refused or failed.
            ValueError: The call is malformed.
        """
        if self.configuration.current is None:
            raise exception.Starting(
                message="No configuration is known yet.",
                remedy="Try again.",
                retry_after_ms=1000,
            )
        rule = self.configuration.routes.find_queue(
            request.headers.get("Host", ""), request.path
        )
        if rule is None:
            if self.configuration.may_be_outdated:
                raise outdated_error()
            return web.json_response({"error": "no such queue"}, status=404)
        team = self.authorize(request, rule)
        job = request.path[len(rule.prefix) :]
        if not job:
            if request.method != "GET":
                return web.json_response({"error": "no job"}, status=405)
            if self.configuration.outdated:
                raise outdated_error()
            return await self.query(request, rule, self.pending(request, rule))
        if JOB_ID.match(job) is None:
            raise ValueError("a job's ID has 16 hexadecimal digits")
        handler = {
            "POST": self.submit,
            "GET": self.state,
            "DELETE": self.cancel,
        }.get(request.method)
        if handler is None:
            return web.json_response({"error": "no such method"}, status=405)
        return await handler(request, rule, job, team)

    def authorize(self, request, rule):
        """Returns the ``TeamRule`` of a call now, None if it needs no key.

        Raises:
            Unauthorized: No team has the key of the call.
            Starting: The configuration is too old to tell.
        """
        return access.authorize(
            self.configuration.current,
            rule,
            request.headers.get(KEY_HEADER, ""),
            self.configuration.freshness,
        )

    async def query(self, request, rule, answering):
        """Returns the answer to a query, if its key is still accepted.

        A query has no effect, so it can be refused after it was executed.

        Args:
            request: HTTP request.
            rule: Rule of its queue.
            answering: Coroutine that makes the answer.

        Raises:
            Unauthorized: The key was withdrawn meanwhile.
            Starting: The configuration has become too old to tell.
        """
        started_ms = clock.boot_ms()
        answer = await answering
        if clock.boot_ms() - started_ms > RECHECK_AFTER_MS:
            self.authorize(request, rule)
        return answer

    def max_body_bytes(self):
        """Returns the largest size of a body that is received."""
        if self.configuration.current is None:
            return MAX_BODY_BYTES
        return self.configuration.current.max_body_bytes

    async def submit(self, request, rule, job, team):
        """Decodes and accepts a submitted job.

        The key is checked again once the body has arrived: only then has the
        call been received. Afterwards it is not, as an accepted job must be
        answered as such.
        """
        if self.configuration.outdated:
            raise outdated_error()
        deadline_s = request_deadline(request)
        limit = self.configuration.current.max_body_bytes
        if (request.content_length or 0) > limit:
            raise exception.TooLarge(
                message=f"The body is over {limit} bytes.",
                remedy="Send a smaller body.",
            )
        body = await request.read()
        if len(body) > limit:
            raise exception.TooLarge(
                message=f"The body is over {limit} bytes.",
                remedy="Send a smaller body.",
            )
        team = self.authorize(request, rule)
        try:
            spec = wire.parse_job(
                body,
                job=job,
                rule=rule,
                accepted_ms=int(clock.wall_ms()),
                team=team,
            )
        except msgspec.MsgspecError as error:
            raise ValueError(str(error)) from error
        await self.service.submit(spec, deadline_s=deadline_s)
        return web.json_response({})

    async def state(self, request, rule, job, team):
        """Answers with the state of a job, if its key is still accepted."""
        return await self.query(
            request, rule, self.find_state(request, job, team)
        )

    async def find_state(self, request, job, team):
        """Answers with the state of a job."""
        found = await self.service.state(
            job, team=team_name(team), deadline_s=query_deadline(request)
        )
        if found is None:
            return web.json_response({"error": "no such job"}, status=410)
        return web.json_response({"state": found.value})

    async def cancel(self, request, rule, job, team):
        """Cancels a job."""
        known = await self.service.cancel(
            job,
            team=team_name(team),
            check_team=self.configuration.current.teams is not None,
            deadline_s=request_deadline(request),
        )
        if known:
            return web.json_response({})
        return web.json_response({"error": "no such job"}, status=410)

    async def pending(self, request, rule):
        """Answers with the number of jobs in a queue that have not started."""
        count = await self.service.pending(
            rule.name, deadline_s=query_deadline(request)
        )
        return web.json_response({"pending": count})


def team_name(team):
    """Returns the name of a team, empty for None."""
    return "" if team is None else team.name


def request_deadline(request):
    """Returns the loop time in seconds until which a call must be answered.

    It is the timeout that the caller sent, less ``ANSWER_MARGIN_S``.
    """
    text = request.headers.get(TIMEOUT_HEADER, "")
    try:
        timeout_ms = float(text) if text else DEFAULT_TIMEOUT_MS
    except ValueError:
        timeout_ms = DEFAULT_TIMEOUT_MS
    loop = asyncio.get_running_loop()
    return loop.time() + max(0.1, timeout_ms / MS_PER_S - ANSWER_MARGIN_S)


def query_deadline(request):
    """Returns the loop time in seconds at which a query times out."""
    loop = asyncio.get_running_loop()
    return min(request_deadline(request), loop.time() + QUERY_TIMEOUT_S)


def outdated_error():
    """Returns the error for a call that a newer configuration may change."""
    return exception.Starting(
        message="A newer configuration may be in force, which this host has "
        "not read yet.",
        remedy="Send the request again.",
        retry_after_ms=1000,
    )


def error_response(error):
    """Returns the HTTP response for a call that failed."""
    headers = {}
    if error.status in (429, 503):
        wait_ms = error.retry_after_ms or MS_PER_S
        # Rounded up: a caller that comes earlier would be refused again.
        headers["Retry-After"] = str(max(1, math.ceil(wait_ms / MS_PER_S)))
    return web.Response(
        status=error.status,
        text=json.dumps({"error": str(error)}),
        content_type="application/json",
        headers=headers,
    )


def make_caller_app(handler):
    """Returns the web application for callers.

    Args:
        handler: The ``JobRequestHandler``.
    """
    http_faults.hide_requests()
    app = web.Application(client_max_size=MAX_BODY_BYTES)
    app.router.add_route("*", "/{path:.*}", handler.handle)
    return app


def make_ready_app(ready):
    """Returns the web application for readiness checks.

    Args:
        ready: Function that returns whether the process accepts new
            connections.
    """

    async def handle(request):
        status = 200 if ready() else 503
        return web.json_response({"ready": status == 200}, status=status)

    app = web.Application()
    app.router.add_get("/api/readiness", handle)
    return app
