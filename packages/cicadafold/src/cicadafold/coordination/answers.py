"""Converts replies of rack owners and request entries into answers."""

from cicadafold_schema import messages

from cicadafold import exception
from cicadafold.peerlink import frames

__all__ = ["answer_of_entry", "answer_of_reply", "done_fields"]

Status = frames.ReplyStatus
Outcome = messages.Outcome

OUTCOME_BY_STATUS = {
    Status.DONE: Outcome.done,
    Status.RUNNING: Outcome.running,
    Status.FAILED: Outcome.failed,
    Status.REFUSED: Outcome.not_run,
    Status.UNKNOWN: Outcome.unknown,
    Status.CANCELLED: Outcome.cancelled,
}

REMEDY_BY_CODE = {
    messages.ErrorCode.overloaded: "Submit again after retry_after_ms.",
    messages.ErrorCode.deadline_exceeded: "Submit again later.",
    messages.ErrorCode.unknown_kind: "Check the kind's name.",
}


def answer_of_reply(request_id, reply):
    """Returns the answer to the caller for a reply of a rack's owner.

    Args:
        request_id: Identifier of the request.
        reply: The reply, with a final status or ``RUNNING``.

    Raises:
        CicadafoldError: The request did not end as done.
    """
    outcome = OUTCOME_BY_STATUS[reply.status]
    if outcome in (Outcome.done, Outcome.running):
        return messages.Answer(
            request_id=request_id,
            outcome=outcome,
            result=reply.result,
            worker=reply.worker,
            waited_us=reply.waited_us,
            decision_us=reply.decision_us,
        )
    raise outcome_error(outcome, reply.code, reply.text, reply.retry_after_ms)


def answer_of_entry(entry):
    """Returns the answer to the caller for a recorded request.

    Args:
        entry: Entry of the request in the control state.

    Raises:
        CicadafoldError: The request ended, but not as done.
    """
    if entry.outcome in (None, Outcome.done):
        return messages.Answer(
            request_id=entry.request_id,
            outcome=entry.outcome or Outcome.accepted,
            result=entry.result,
            worker=entry.worker,
        )
    raise outcome_error(entry.outcome, entry.code, "", 0)


def outcome_error(outcome, code, text, retry_after_ms):
    """Returns the exception for an outcome other than done.

    Args:
        outcome: Outcome of the request.
        code: Error code of a request that was not run; empty stands for
            ``overloaded``.
        text: Message; if empty, a general one is used.
        retry_after_ms: Milliseconds after which to try again, or 0.
    """
    if outcome is Outcome.failed:
        return exception.TargetFailed(
            message="The target ran the request and failed.",
            remedy="Check the payload and the worker's own log.",
        )
    if outcome is Outcome.cancelled:
        return exception.RequestCancelled(
            message="The request was cancelled.",
            remedy="Submit it under a new request id.",
        )
    if outcome is Outcome.unknown:
        return exception.OutcomeUnknown(
            message=text or "The request may have run.",
            remedy="Ask for its status before you submit it again.",
            retry_after_ms=retry_after_ms or None,
        )
    error_code = messages.ErrorCode(code or "overloaded")
    return exception.from_code(
        error_code,
        message=text or "The request was not run.",
        remedy=REMEDY_BY_CODE.get(error_code, "Submit again later."),
        retry_after_ms=retry_after_ms or None,
    )


def done_fields(reply):
    """Returns the fields of the done record for a final reply."""
    return {
        "outcome": OUTCOME_BY_STATUS[reply.status],
        "result": reply.result,
        "worker": reply.worker,
        "code": reply.code,
    }
