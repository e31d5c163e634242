"""Builds the HTTP application: routes, roles of tokens, error replies."""

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
    """Checks that the token of a call has the role that the call requires.

    Args:
        settings: Settings of the process, with the token of each role. A
            role without a token is open to every call.
    """

    def __init__(self, *, settings):
        self.tokens = {
            Role.CALLER: settings["security.caller_token"],
            Role.OPERATOR: settings["security.operator_token"],
            Role.PEER: settings["security.peer_token"],
        }

    def check(self, role, request):
        """Checks the token of a call.

        The token of operators is accepted for the calls of callers too.

        Args:
            role: Role that the call requires.
            request: HTTP request.

        Raises:
            Unauthorized: The call has no token.
            Forbidden: The token does not have the role.
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
    """Whether two tokens are equal, compared in constant time."""
    return hmac.compare_digest(given.encode(), token.encode())


def make_endpoint(node, authorizer, call):
    """Returns the handler that aiohttp runs for a registered call.

    Calls of callers and operators are counted in ``node.in_flight``, as a
    drain waits for them. A draining process closes the connection after its
    reply, so that later calls go to another entry host.

    Args:
        node: ``Node`` of this process.
        authorizer: Checks the token of the call.
        call: Registered call.
    """
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
            LOG.exception(
                "%s failed; answering with an internal error.", request.path
            )
            reply = error_response(internal_error(error))
        finally:
            node.in_flight -= is_counted
        if node.view.draining and not reply.prepared:
            reply.force_close()
        return reply

    return endpoint


def error_response(error):
    """Returns the HTTP response for an exception of this project."""
    headers = {}
    if error.retry_after_ms is not None:
        seconds = -(-int(error.retry_after_ms) // 1000)
        headers[RETRY_AFTER_HEADER] = str(seconds)
    return codec.json_response(
        error.reply(), status=error.status, headers=headers
    )


def internal_error(error):
    """Returns the ``Internal`` error for an unexpected exception."""
    return exception.Internal(
        message=f"Internal error of the entry host: {type(error).__name__}.",
        remedy="Query the status of the request, and report the log line.",
    )


async def answer_unknown_call(request):
    """Answers an unknown path or method with an ``ErrorReply``."""
    return error_response(
        exception.NotFound(
            message=f"There is no call {request.method} {request.path}.",
            remedy="Use a method and path of openapi.yaml.",
        )
    )


def make_app(node):
    """Returns the aiohttp application of an entry host.

    Args:
        node: ``Node`` of this process.
    """
    settings = node.settings
    app = web.Application(client_max_size=settings["limits.max_body_bytes"])
    authorizer = Authorizer(settings=settings)
    for call in registry.CALLS:
        app.router.add_route(
            call.method, call.path, make_endpoint(node, authorizer, call)
        )
    app.router.add_route("*", "/{path:.*}", answer_unknown_call)
    return app
