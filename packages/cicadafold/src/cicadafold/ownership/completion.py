"""Completes requests: derives the one answer from the ends of all tasks."""

import asyncio

from cicadafold import clock
from cicadafold.ownership import admission
from cicadafold.ownership import rack_requests
from cicadafold.ownership import starting
from cicadafold.ownership import target_link
from cicadafold.ownership import task_ids
from cicadafold.peerlink import frames
from cicadafold.platform import messages as platform
from cicadafold_schema import messages

__all__ = ["complete_if_ended", "on_task_end"]

MAX_FAILURES = 3
MEAN_WEIGHT = 0.05
CONFIRM_RETRY_S = 0.3

Status = frames.ReplyStatus
State = rack_requests.RequestState
Reason = rack_requests.EndReason


def on_task_end(owner, task, end):
    """Records the end of a task and completes its request if it was the last.

    Args:
        owner: ``RackOwner`` of the rack.
        task: ``TargetTask`` that has ended.
        end: Its ``TaskEnd``.
    """
    request = owner.requests.get(task_ids.request_id_of(task.task_id))
    if request is None or request.tasks.get(task.task_id) is not task:
        starting.dispatch_queued(owner)
        return
    del request.tasks[task.task_id]
    request.ends[task.task_id] = (task, end)
    if request.kind.lane is messages.Lane.patient:
        owner.held_cores[request.team] -= task.resources.cores
    record_run(owner, task, end, request)
    if request.reply is None:
        complete_if_ended(owner, request)
    starting.dispatch_queued(owner)


def record_run(owner, task, end, request):
    """Updates the mean run times and the failure count of the worker.

    Only ends that the worker reported count.
    """
    if end.reason is not Reason.REPORTED:
        return
    run_ms = clock.monotonic_ms() - task.sent_ms
    update_mean(owner.mean_run_ms, request.kind.lane, run_ms)
    update_mean(owner.kind_run_ms, request.kind.name, run_ms)
    failed = end.report.state is platform.TaskState.FAILED
    if failed:
        request.failed_workers.add(task.link.name)
    task.link.record_result(request.request_id, failed=failed)


def complete_if_ended(owner, request):
    """Completes a request once all its tasks have ended.

    If a task of a gang ended without a result, the stop of the others is
    requested.
    """
    unsuccessful = any(not is_done(end) for _, end in request.ends.values())
    if unsuccessful:
        for task in request.tasks.values():
            task.link.request_stop(task)
    if not request.tasks:
        complete(owner, request)


def complete(owner, request):
    """Answers a request whose tasks have all ended, or queues it again.

    A request is queued again if none of its tasks was started.
    """
    ends = [end for _, end in request.ends.values()]
    if all(is_done(end) for end in ends):
        finish_with_results(owner, request)
    elif request.cancelled:
        request.finish(Status.CANCELLED, started=True)
        owner.schedule_expiry(request)
    elif all(end.reason is Reason.NOT_STARTED for end in ends):
        requeue(owner, request)
    else:
        complete_unsuccessful(owner, request, ends)


def finish_with_results(owner, request):
    """Answers a request with the results of its tasks, in order of index."""
    ordered = sorted(
        request.ends.values(),
        key=lambda pair: task_ids.index_of(pair[0].task_id),
    )
    request.finish(
        Status.DONE,
        started=True,
        result=",".join(end.report.result for _, end in ordered),
        worker=",".join(task.link.name for task, _ in ordered),
    )
    owner.schedule_expiry(request)


def complete_unsuccessful(owner, request, ends):
    """Handles a request of which at least one task ended without a result.

    An idempotent request is run again until it has failed, or was lost with
    its worker, ``MAX_FAILURES`` times. Any other one is answered as failed if
    a task has just failed. If its outcome is not known, it is held while an
    unreachable worker may still report it, and answered as unknown otherwise.
    """
    request.may_have_run = True
    failed = any(is_failed(end) for end in ends)
    lapsed = any(end.reason is Reason.LAPSED for end in ends)
    request.failures += failed or lapsed
    if request.kind.idempotent and request.failures < MAX_FAILURES:
        if lapsed:
            request.state = State.HELD
            asyncio.create_task(requeue_when_confirmed(owner, request))
        else:
            requeue(owner, request)
    elif failed or request.kind.idempotent:
        request.finish(Status.FAILED, started=True)
        owner.schedule_expiry(request)
    elif result_may_arrive(owner, request):
        request.state = State.HELD
    else:
        request.finish(Status.UNKNOWN, started=True)
        owner.schedule_expiry(request)


async def requeue_when_confirmed(owner, request):
    """Queues a held request again once no other owner can be running it.

    A lease that has lapsed by this owner's record may have been renewed by
    a newer owner that this process does not know yet. A read of the control
    log that starts after the lapse and shows no newer claim rules that out.
    """
    while request.state is State.HELD and request.reply is None:
        if await owner.node.confirm_owner(owner):
            if request.state is State.HELD and request.reply is None:
                requeue(owner, request)
            return
        await asyncio.sleep(CONFIRM_RETRY_S)


def result_may_arrive(owner, request):
    """Whether a worker that is unreachable now may still report a result.

    Only tasks whose leases have lapsed count.
    """
    return any(
        end.reason is Reason.LAPSED
        and task.link is not None
        and task.link.state is target_link.LinkState.UNREACHABLE
        for task, end in request.ends.values()
    )


def requeue(owner, request):
    """Admits a request again of which no task can be running.

    An owner that has retired answers ``MOVED`` instead.
    """
    if owner.retired:
        request.finish(Status.MOVED, started=request.may_have_run)
        return
    owner.node.events.add(
        request.request_id,
        f"No task is running in {owner.name}. Admitted again.",
    )
    admission.admit(owner, request, hops=1 if request.may_have_run else 0)


def update_mean(means, key, value):
    """Updates an exponential moving mean with a new value.

    Args:
        means: Map from key to mean; the first value of a key is its mean.
        key: Key of the mean.
        value: New value, with weight ``MEAN_WEIGHT``.
    """
    mean = means.get(key)
    if mean is None:
        means[key] = value
    else:
        means[key] = mean + MEAN_WEIGHT * (value - mean)


def is_done(end):
    """Whether a worker reported that a task ended with a result."""
    return (
        end.reason is Reason.REPORTED
        and end.report.state is platform.TaskState.DONE
    )


def is_failed(end):
    """Whether a worker reported that a task failed."""
    return (
        end.reason is Reason.REPORTED
        and end.report.state is platform.TaskState.FAILED
    )
