"""The exception hierarchy; every exception has a message and a remedy.

Each class sets the error code, the HTTP status and the outcome of the
request. The outcome ``not_run`` is used only if no target has started the
request and none ever will.
"""

from cicadafold_schema import messages

__all__ = [
    "AppendSlow",
    "ChangesDoNotFit",
    "CicadafoldError",
    "DeadlineExceeded",
    "Draining",
    "Forbidden",
    "Internal",
    "InvalidCall",
    "LinkLost",
    "LinkNotOpen",
    "LogFenced",
    "LogEndMoved",
    "LogOutOfSequence",
    "LogTrimmed",
    "LogUnavailable",
    "MalformedCall",
    "MemoryExhausted",
    "NeverFits",
    "NotFound",
    "OutcomeUnknown",
    "Overloaded",
    "RequestCancelled",
    "RequestConflict",
    "RevisionConflict",
    "SettingsError",
    "Starting",
    "TargetFailed",
    "TargetRefused",
    "TargetUnreachable",
    "TooLarge",
    "Unauthorized",
    "UnknownKind",
    "UnknownRequest",
    "UnknownTeam",
    "from_code",
]

Code = messages.ErrorCode
Outcome = messages.Outcome

CLASS_BY_CODE = {}


def register_by_code(cls):
    """Class decorator that registers an exception under its error code."""
    CLASS_BY_CODE[cls.code] = cls
    return cls


class CicadafoldError(Exception):
    """Base class of all exceptions of this project.

    Args:
        message: What failed, as one short sentence.
        remedy: How the reader can correct it, as one short sentence.
        retry_after_ms: Milliseconds after which to retry, or None.

    Attributes:
        code: Error code in the reply to a caller.
        status: HTTP status of the reply.
        outcome: Outcome of the request.
    """

    code = Code.internal
    status = 500
    outcome = Outcome.not_run

    def __init__(self, *, message, remedy, retry_after_ms=None):
        super().__init__(f"{message} {remedy}")
        self.message = message
        self.remedy = remedy
        self.retry_after_ms = retry_after_ms

    def reply(self):
        """Returns the reply to a caller, as a message of the schema."""
        error = messages.Error(
            code=self.code, message=self.message, remedy=self.remedy
        )
        if self.retry_after_ms is not None:
            error.retry_after_ms = max(0, int(self.retry_after_ms))
        return messages.ErrorReply(outcome=self.outcome, error=error)


@register_by_code
class Internal(CicadafoldError):
    """An internal error of this process; the request may have run."""

    outcome = Outcome.unknown


@register_by_code
class MalformedCall(CicadafoldError):
    """The body of the call does not conform to the schema."""

    code = Code.malformed
    status = 400


@register_by_code
class InvalidCall(CicadafoldError):
    """The call conforms to the schema, but its values are not valid."""

    code = Code.invalid
    status = 422


@register_by_code
class TooLarge(CicadafoldError):
    """The body of the call exceeds the size limit."""

    code = Code.too_large
    status = 413


@register_by_code
class Unauthorized(CicadafoldError):
    """The call has no token, or an unknown one."""

    code = Code.unauthorized
    status = 401


@register_by_code
class Forbidden(CicadafoldError):
    """The role of the token does not permit this call."""

    code = Code.forbidden
    status = 403


@register_by_code
class UnknownKind(CicadafoldError):
    """The kind of the request is not in the configuration."""

    code = Code.unknown_kind
    status = 404


@register_by_code
class UnknownTeam(CicadafoldError):
    """The team is not in the configuration."""

    code = Code.unknown_team
    status = 404


@register_by_code
class UnknownRequest(CicadafoldError):
    """There is no record of the request, or it has expired."""

    code = Code.unknown_request
    status = 404
    outcome = Outcome.unknown


@register_by_code
class NotFound(CicadafoldError):
    """No call is served at this path."""

    code = Code.not_found
    status = 404


@register_by_code
class RequestConflict(CicadafoldError):
    """The request identifier belongs to a different request."""

    code = Code.request_conflict
    status = 409


@register_by_code
class NeverFits(CicadafoldError):
    """No worker, or for a gang no rack, is large enough for the request."""

    code = Code.never_fits
    status = 422


@register_by_code
class Overloaded(CicadafoldError):
    """The request was rejected, as it would not be done by its deadline."""

    code = Code.overloaded
    status = 429


class MemoryExhausted(Overloaded):
    """The process cannot hold the body of the call."""

    status = 503


@register_by_code
class DeadlineExceeded(CicadafoldError):
    """The deadline passed before the request was started."""

    code = Code.deadline_exceeded
    status = 503


@register_by_code
class LogUnavailable(CicadafoldError):
    """The log or the store of the platform did not serve the call."""

    code = Code.log_unavailable
    status = 503


@register_by_code
class Starting(CicadafoldError):
    """The entry host has not read the log to its end yet."""

    code = Code.starting
    status = 503


@register_by_code
class Draining(CicadafoldError):
    """The entry host is draining and accepts no new requests."""

    code = Code.draining
    status = 503


@register_by_code
class RevisionConflict(CicadafoldError):
    """The configuration has changed since the revision of the caller."""

    code = Code.revision_conflict
    status = 409


@register_by_code
class TargetFailed(CicadafoldError):
    """The target ran the request and reported a failure."""

    code = Code.target_failed
    status = 502
    outcome = Outcome.failed


@register_by_code
class OutcomeUnknown(CicadafoldError):
    """The request may have run."""

    code = Code.outcome_unknown
    status = 504
    outcome = Outcome.unknown


class AppendSlow(OutcomeUnknown):
    """An append has timed out, but the log serves this process."""


@register_by_code
class RequestCancelled(CicadafoldError):
    """The request was cancelled."""

    code = Code.cancelled
    status = 409
    outcome = Outcome.cancelled


class LogFenced(CicadafoldError):
    """A writer with a higher epoch has appended to the partition."""


class LogEndMoved(CicadafoldError):
    """The partition does not end at the offset that the append expected.

    Attributes:
        end: Offset at which the partition ends.
    """

    def __init__(self, *, end):
        super().__init__(
            message=f"The partition ends at offset {end}.",
            remedy="Read the new records and decide again.",
        )
        self.end = end


class LogOutOfSequence(CicadafoldError):
    """The sequence number of the append does not follow the writer's last.

    Attributes:
        expected: Sequence number that the partition expects.
    """

    def __init__(self, *, expected):
        super().__init__(
            message=f"The partition expects sequence {expected}.",
            remedy="Continue there; lower numbers have been appended.",
        )
        self.expected = expected


class ChangesDoNotFit(CicadafoldError):
    """Changes of the configuration do not fit the one that is held."""

    def __init__(self, *, base, revision):
        super().__init__(
            message=f"The changes from revision {base} do not fit the "
            f"configuration of revision {revision}.",
            remedy="Read the whole configuration.",
        )


class LogTrimmed(CicadafoldError):
    """The records to read have been deleted from the store."""

    def __init__(self):
        super().__init__(
            message="The store has deleted the records to read.",
            remedy="Read the newest record of each key instead.",
        )


class SettingsError(CicadafoldError):
    """The settings file cannot be read or has invalid settings."""


class LinkNotOpen(CicadafoldError):
    """A link could not be opened; the call was not sent."""


class LinkLost(CicadafoldError):
    """The link was lost after the call was sent; it may take effect."""


class TargetUnreachable(CicadafoldError):
    """A target or a service of the platform did not answer.

    Attributes:
        sent: Whether the call may have arrived, and so may take effect.
        closed: Whether the other end closed or refused the connection, as
            opposed to leaving the call unanswered.
    """

    def __init__(self, *, message, sent, closed=False):
        super().__init__(
            message=message, remedy="Check the worker and its network."
        )
        self.sent = sent
        self.closed = closed


class TargetRefused(CicadafoldError):
    """A target refused a call; a refused start never runs.

    Attributes:
        refusal: The ``Refusal`` that the target sent.
    """

    def __init__(self, *, refusal):
        super().__init__(
            message=f"The target refused: {refusal.code.value}.",
            remedy="The call is repeated on another worker.",
        )
        self.refusal = refusal


def from_code(code, *, message, remedy, retry_after_ms=None):
    """Returns the exception that belongs to an error code.

    Examples:
        >>> from_code(Code.draining, message="a", remedy="b").status
        503
    """
    cls = CLASS_BY_CODE[code]
    return cls(message=message, remedy=remedy, retry_after_ms=retry_after_ms)
