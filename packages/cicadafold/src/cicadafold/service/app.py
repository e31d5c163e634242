"""Builds the HTTP application: roles, typed errors, draining."""

import hmac

from aiohttp import web

from cicadafold import exception
from cicadafold.service import caller_calls
from cicadafold.service import codec
from cicadafold.service import operator_calls
from cicadafold.service import peer_calls
from cicadafold.service import registry
from cicadafold.telemetry import logs

__all__ = ["make_app"]

CALL_MODULES = (caller_calls, operator_calls, peer_calls)
RETRY_AFTER_HEADER = "Retry-After"
BEARER = "Bearer "

LOG = logs.get_logger("call")

Role = registry.Role


class Guard:
    """Checks the token of each call against the settings."""

    def __init__(self, *, settings):
        self.tokens = {
            Role.CALLER: settings["security.caller_token"],
            Role.OPERATOR: settings["security.operator_token"],
            Role.PEER: settings["security.peer_token"],
        }

    def check(self, role, request):
        """Refuses a call whose token does not have the role.

        Operators may make the calls of callers.

        Raises:
            Unauthorized: No token came with the call.
            Forbidden: The token is not one of the role.
        """
        wanted = self.tokens.get(role, "")
        if not wanted:
            return
        header = request.headers.get("Authorization", "")
        if not header.startswith(BEARER):
            raise exception.Unauthorized(
                message="The call has no token.",
                remedy="Send an Authorization header with a Bearer token.",
            )
        given = header[len(BEARER) :]
        accepted = [wanted]
        if role is Role.CALLER and self.tokens[Role.OPERATOR]:
            accepted.append(self.tokens[Role.OPERATOR])
        if not any(same(given, token) for token in accepted):
            raise exception.Forbidden(
                message=f"The token does not have the role {role.value}.",
                remedy="Use the token of that role from the settings.",
            )


def same(given, token):
    """Compares secrets in constant time."""
    return hmac.compare_digest(given.encode(), token.encode())


def make_endpoint(node, guard, found):
    """Returns the handler that aiohttp calls for a registered call."""
    counts = found.role in (Role.CALLER, Role.OPERATOR)

    async def endpoint(request):
        node.in_flight += counts
        try:
            guard.check(found.role, request)
            reply = await found.handler(node, request)
        except exception.CicadafoldError as error:
            reply = error_reply(error)
            if error.status in (401, 403):
                LOG.warning("%s was refused: %s", request.path, error.message)
        except (web.HTTPException, ConnectionError):
            raise
        except Exception as error:
            LOG.exception("%s failed.", request.path)
            reply = error_reply(internal(error))
        finally:
            node.in_flight -= counts
        if node.view.draining and not reply.prepared:
            reply.force_close()
        return reply

    return endpoint


def error_reply(error):
    """Returns an error as an HTTP reply."""
    headers = {}
    if error.retry_after_ms is not None:
        seconds = -(-int(error.retry_after_ms) // 1000)
        headers[RETRY_AFTER_HEADER] = str(seconds)
    return codec.json_response(
        error.reply(), status=error.status, headers=headers
    )


def internal(error):
    """Builds the error of a fault of this program."""
    return exception.Internal(
        message=f"The entry host failed: {type(error).__name__}.",
        remedy="Ask for the request's status, and report the log line.",
    )


async def answer_unknown_call(request):
    """Gives unknown paths and methods the schema's error."""
    return error_reply(
        exception.NotFound(
            message=f"There is no call {request.method} {request.path}.",
            remedy="Use a call of the schema file.",
        )
    )


def make_app(node):
    """Builds the application of an entry host."""
    settings = node.settings
    app = web.Application(client_max_size=settings["limits.max_body_bytes"])
    guard = Guard(settings=settings)
    for found in registry.CALLS:
        app.router.add_route(
            found.method, found.path, make_endpoint(node, guard, found)
        )
    app.router.add_route("*", "/{path:.*}", answer_unknown_call)
    return app
