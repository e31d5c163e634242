"""The exception hierarchy; every message names its remedy.

Each class fixes the error code, the HTTP status and what became of the
request. ``NOT_RUN`` is used only where no target has started the request
and none ever will.
"""

from cicadafold_schema import messages

__all__ = [
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
    """Registers an exception class under its error code."""
    CLASS_BY_CODE[cls.code] = cls
    return cls


class CicadafoldError(Exception):
    """Base of all errors of this project.

    Args:
        message: What went wrong, as one short sentence.
        remedy: What the reader can do about it.
        retry_after_ms: Milliseconds after which a retry makes sense.
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
        """Returns the error as the schema's message."""
        error = messages.Error(
            code=self.code, message=self.message, remedy=self.remedy
        )
        if self.retry_after_ms is not None:
            error.retry_after_ms = max(0, int(self.retry_after_ms))
        return messages.ErrorReply(outcome=self.outcome, error=error)


@register_by_code
class Internal(CicadafoldError):
    """A fault of this program; the request may have run."""

    outcome = Outcome.unknown


@register_by_code
class MalformedCall(CicadafoldError):
    """The body is not what the schema describes."""

    code = Code.malformed
    status = 400


@register_by_code
class InvalidCall(CicadafoldError):
    """The call is well formed and makes no sense."""

    code = Code.invalid
    status = 422


@register_by_code
class TooLarge(CicadafoldError):
    """The body is over the limit."""

    code = Code.too_large
    status = 413


@register_by_code
class Unauthorized(CicadafoldError):
    """No known token came with the call."""

    code = Code.unauthorized
    status = 401


@register_by_code
class Forbidden(CicadafoldError):
    """The token's role may not make this call."""

    code = Code.forbidden
    status = 403


@register_by_code
class UnknownKind(CicadafoldError):
    """The kind is not in the configuration."""

    code = Code.unknown_kind
    status = 404


@register_by_code
class UnknownTeam(CicadafoldError):
    """The team is not in the configuration."""

    code = Code.unknown_team
    status = 404


@register_by_code
class UnknownRequest(CicadafoldError):
    """No record of the request is left."""

    code = Code.unknown_request
    status = 404
    outcome = Outcome.unknown


@register_by_code
class NotFound(CicadafoldError):
    """No call has this path."""

    code = Code.not_found
    status = 404


@register_by_code
class RequestConflict(CicadafoldError):
    """The request id is in use for another request."""

    code = Code.request_conflict
    status = 409


@register_by_code
class NeverFits(CicadafoldError):
    """No worker, or no rack for a gang, can ever hold the request."""

    code = Code.never_fits
    status = 422


@register_by_code
class Overloaded(CicadafoldError):
    """The request would not be done by its deadline."""

    code = Code.overloaded
    status = 429


@register_by_code
class DeadlineExceeded(CicadafoldError):
    """The deadline passed before the request was started."""

    code = Code.deadline_exceeded
    status = 503


@register_by_code
class LogUnavailable(CicadafoldError):
    """The log service is needed and does not answer."""

    code = Code.log_unavailable
    status = 503


@register_by_code
class Starting(CicadafoldError):
    """The entry host has not read the log to its end yet."""

    code = Code.starting
    status = 503


@register_by_code
class Draining(CicadafoldError):
    """The entry host takes no new requests."""

    code = Code.draining
    status = 503


@register_by_code
class RevisionConflict(CicadafoldError):
    """The configuration has changed since the base revision."""

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


@register_by_code
class RequestCancelled(CicadafoldError):
    """The request was cancelled."""

    code = Code.cancelled
    status = 409
    outcome = Outcome.cancelled


class LogFenced(CicadafoldError):
    """A newer writer has taken the partition over."""


class LogEndMoved(CicadafoldError):
    """The partition does not end where the append expected it.

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
    """The append does not follow the writer's last one.

    Attributes:
        expected: Sequence number that the partition expects.
    """

    def __init__(self, *, expected):
        super().__init__(
            message=f"The partition expects sequence {expected}.",
            remedy="Go on from there; lower numbers are recorded.",
        )
        self.expected = expected


class LogTrimmed(CicadafoldError):
    """The records asked for have been deleted."""

    def __init__(self):
        super().__init__(
            message="The records asked for have been deleted.",
            remedy="Read the newest record of each key instead.",
        )


class SettingsError(CicadafoldError):
    """The settings file has faults."""


class LinkNotOpen(CicadafoldError):
    """The peer could not be reached; nothing was sent."""


class LinkLost(CicadafoldError):
    """The link broke after the call was sent."""


class TargetUnreachable(CicadafoldError):
    """A target did not answer.

    Attributes:
        sent: Whether the call may have reached the target.
    """

    def __init__(self, *, message, sent):
        super().__init__(
            message=message, remedy="Check the worker and its network."
        )
        self.sent = sent


class TargetRefused(CicadafoldError):
    """A target refused a call; a refused start never ran.

    Attributes:
        refusal: The target's message.
    """

    def __init__(self, *, refusal):
        super().__init__(
            message=f"The target refused: {refusal.code.value}.",
            remedy="The call is repeated elsewhere.",
        )
        self.refusal = refusal


def from_code(code, *, message, remedy, retry_after_ms=None):
    """Builds the exception that belongs to an error code.

    Examples:
        >>> from_code(Code.draining, message="a", remedy="b").status
        503
    """
    cls = CLASS_BY_CODE[code]
    return cls(message=message, remedy=remedy, retry_after_ms=retry_after_ms)
