"""Registry of calls, filled by a decorator."""

import enum

import msgspec

__all__ = ["CALLS", "Call", "Role", "call"]

CALLS = []


class Role(enum.Enum):
    """Who may make a call."""

    CALLER = "caller"
    OPERATOR = "operator"
    PEER = "peer"
    ANYONE = "anyone"


class Call(msgspec.Struct, kw_only=True):
    """A registered call."""

    method: str
    path: str
    role: Role
    handler: object


def call(method, path, role):
    """Registers a handler that takes the node and the HTTP request.

    Args:
        method: HTTP method.
        path: Path in the syntax of aiohttp's router.
        role: Role that the call's token must have.
    """

    def register(handler):
        CALLS.append(
            Call(method=method, path=path, role=role, handler=handler)
        )
        return handler

    return register
