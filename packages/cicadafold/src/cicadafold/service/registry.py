"""Registry of the API calls, filled by the decorator ``call``."""

import enum

import msgspec

__all__ = ["CALLS", "Call", "Role", "call"]

CALLS = []


class Role(enum.Enum):
    """Role that a token must have for a call; ANYONE needs no token."""

    CALLER = "caller"
    OPERATOR = "operator"
    PEER = "peer"
    ANYONE = "anyone"


class Call(msgspec.Struct, kw_only=True):
    """A registered call.

    Attributes:
        method: HTTP method.
        path: Path in the syntax of aiohttp's router.
        role: Role that the call requires.
        handler: Coroutine function of the ``Node`` and the HTTP request.
    """

    method: str
    path: str
    role: Role
    handler: object


def call(method, path, role):
    """Returns a decorator that registers the handler of a call.

    The handler is a coroutine function of the ``Node`` and the HTTP request.

    Args:
        method: HTTP method.
        path: Path in the syntax of aiohttp's router.
        role: Role that the call requires.
    """

    def register(handler):
        CALLS.append(
            Call(method=method, path=path, role=role, handler=handler)
        )
        return handler

    return register
