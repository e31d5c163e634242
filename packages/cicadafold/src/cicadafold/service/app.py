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


class Authorizer:
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
        if not any(tokens_equal(given, token) for token in accepted):
            raise exception.Forbidden(
                message=f"The token does not have the role {role.value}.",
                remedy="Use the token of that role from the settings.",
            )


def tokens_equal(given, token):
    """Compares secrets in constant time."""
    return hmac.compare_digest(given.encode(), token.encode())


def make_endpoint(node, authorizer, call):
    """Returns the handler that aiohttp calls for a registered call."""
    is_counted = call.role in (Role.CALLER, Role.OPERATOR)

    async def endpoint(request):
        node.in_flight += is_counted
        try:
            authorizer.check(call.role, request)
            reply = await call.handler(node, request)
        except exception.CicadafoldError as error:
            reply = error_response(error)
            if error.status in (401, 403):
                LOG.warning("%s was refused: %s", request.path, error.message)
        except (web.HTTPException, ConnectionError):
            raise
        except Exception as error:
            LOG.exception("%s failed.", request.path)
            reply = error_response(internal_error(error))
        finally:
            node.in_flight -= is_counted
        if node.view.draining and not reply.prepared:
            reply.force_close()
        return reply

    return endpoint


def error_response(error):
    """Returns an error as an HTTP reply."""
    headers = {}
    if error.retry_after_ms is not None:
        seconds = -(-int(error.retry_after_ms) // 1000)
        headers[RETRY_AFTER_HEADER] = str(seconds)
    return codec.json_response(
        error.reply(), status=error.status, headers=headers
    )


def internal_error(error):
    """Builds the error of a fault of this program."""
    return exception.Internal(
        message=f"The entry host failed: {type(error).__name__}.",
        remedy="Ask for the request's status, and report the log line.",
    )


async def answer_unknown_call(request):
    """Gives unknown paths and methods the schema's error."""
    return error_response(
        exception.NotFound(
            message=f"There is no call {request.method} {request.path}.",
            remedy="Use a call of the schema file.",
        )
    )


def make_app(node):
    """Builds the application of an entry host."""
    settings = node.settings
    app = web.Application(client_max_size=settings["limits.max_body_bytes"])
    authorizer = Authorizer(settings=settings)
    for call in registry.CALLS:
        app.router.add_route(
            call.method, call.path, make_endpoint(node, authorizer, call)
        )
    app.router.add_route("*", "/{path:.*}", answer_unknown_call)
    return app
