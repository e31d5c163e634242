"""Calls to an entry host from the command line."""

import asyncio
import enum
import os

import aiohttp
from cicadafold_schema import messages
import msgspec

__all__ = ["CallFailed", "ExitCode", "call_api", "exit_code_of"]

TIMEOUT_S = 60.0
FIRST_FAILURE_STATUS = 300
ADDRESS_VARIABLE = "CICADAFOLD_ADDRESS"
TOKEN_VARIABLE = "CICADAFOLD_TOKEN"
DEFAULT_ADDRESS = "http://127.0.0.1:9001"

ERROR_DECODER = msgspec.json.Decoder(messages.ErrorReply)


class ExitCode(enum.IntEnum):
    """Exit codes that a script can rely on."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    NOT_RUN = 3
    UNKNOWN = 4
    CONFLICT = 5
    UNREACHABLE = 6


EXIT_BY_OUTCOME = {
    messages.Outcome.not_run: ExitCode.NOT_RUN,
    messages.Outcome.unknown: ExitCode.UNKNOWN,
}

EXIT_BY_CODE = {
    messages.ErrorCode.revision_conflict: ExitCode.CONFLICT,
    messages.ErrorCode.request_conflict: ExitCode.CONFLICT,
    messages.ErrorCode.invalid: ExitCode.USAGE,
    messages.ErrorCode.malformed: ExitCode.USAGE,
}


class CallFailed(Exception):
    """A call that was answered with an error, or not at all.

    Attributes:
        reply: The error as the entry host gave it.
        exit_code: Exit code of the command.
    """

    def __init__(self, *, reply, exit_code):
        super().__init__(reply.error.message)
        self.reply = reply
        self.exit_code = exit_code


def exit_code_of(reply):
    """Returns the exit code of an error."""
    known = EXIT_BY_CODE.get(reply.error.code)
    return known or EXIT_BY_OUTCOME.get(reply.outcome, ExitCode.FAILED)


def call_api(
    method, path, message_type, *, address="", token="", message=None
):
    """Makes one call and returns the decoded reply.

    Args:
        method: HTTP method.
        path: Path of the call.
        kind: Type of the reply.
        address: Base address of an entry host or balancer; by default
            that of the environment.
        token: Token of the caller's role.
        message: Message to send, or None.

    Raises:
        CallFailed: The call was refused or not answered.
    """
    base = address or os.environ.get(ADDRESS_VARIABLE, DEFAULT_ADDRESS)
    token = token or os.environ.get(TOKEN_VARIABLE, "")
    body = asyncio.run(
        send_http_request(method, base.rstrip("/") + path, token, message)
    )
    return msgspec.json.decode(body, type=message_type)


async def send_http_request(method, url, token, message):
    """Exchanges one HTTP request and returns the body of the reply."""
    headers = {"Authorization": f"Bearer {token}"} if token else {}
    data = None if message is None else msgspec.json.encode(message)
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async with session.request(
                method, url, data=data, headers=headers
            ) as reply:
                body = await reply.read()
                if reply.status < FIRST_FAILURE_STATUS:
                    return body
                raise failure_from_reply(body)
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise failure_without_reply(url, error) from error


def failure_from_reply(body):
    """Builds the failure of a call that was refused."""
    try:
        reply = ERROR_DECODER.decode(body)
    except msgspec.DecodeError:
        reply = make_error_reply(
            "The answer is not one of an entry host.",
            "Check the address.",
        )
    return CallFailed(reply=reply, exit_code=exit_code_of(reply))


def failure_without_reply(url, error):
    """Builds the failure of a call without answer."""
    reply = make_error_reply(
        f"No answer from {url}: {type(error).__name__}.",
        f"Check --address or {ADDRESS_VARIABLE}, then ask for the status.",
    )
    return CallFailed(reply=reply, exit_code=ExitCode.UNREACHABLE)


def make_error_reply(message, remedy):
    """Builds an error that no entry host has sent."""
    return messages.ErrorReply(
        outcome=messages.Outcome.unknown,
        error=messages.Error(
            code=messages.ErrorCode.internal, message=message, remedy=remedy
        ),
    )
