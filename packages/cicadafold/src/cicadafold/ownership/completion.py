"""From the ends of tasks to the one answer of their request."""

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

__all__ = ["collect", "on_task_end"]

MAX_FAILURES = 3
MEAN_WEIGHT = 0.05
CONFIRM_RETRY_S = 0.3

Status = frames.ReplyStatus
State = rack_requests.RequestState
Reason = rack_requests.EndReason


def on_task_end(owner, task, end):
    """Collects the end of a task and concludes the request."""
    request = owner.requests.get(task_ids.request_id_of(task.task_id))
    if request is None or request.tasks.get(task.task_id) is not task:
        starting.dispatch_queued(owner)
        return
    del request.tasks[task.task_id]
    request.ends[task.task_id] = (task, end)
    if request.kind.lane is messages.Lane.patient:
        owner.held_cores[request.team] -= task.size.cores
    record_run(owner, task, end, request)
    if request.reply is None:
        collect(owner, request)
    starting.dispatch_queued(owner)


def record_run(owner, task, end, request):
    """Learns run times and which workers fail everything."""
    if end.reason is not Reason.REPORTED:
        return
    run_ms = clock.monotonic_ms() - task.sent_ms
    update_mean(owner.mean_run_ms, request.kind.lane, run_ms)
    update_mean(owner.kind_run_ms, request.kind.name, run_ms)
    failed = end.report.state is platform.TaskState.FAILED
    if failed:
        request.failed_workers.add(task.link.name)
    task.link.record_result(request.request_id, failed=failed)


def collect(owner, request):
    """Concludes once all tasks ended; stops a gang that broke."""
    broken = any(not is_done(end) for _, end in request.ends.values())
    if broken:
        for task in request.tasks.values():
            task.link.request_stop(task)
    if not request.tasks:
        complete(owner, request)


def complete(owner, request):
    """Answers for a request whose tasks have all ended."""
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
    """Answers with the results of all tasks."""
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
    """Repeats idempotent work; answers truthfully for the rest."""
    request.may_have_run = True
    failed = any(is_failed(end) for end in ends)
    request.failures += failed
    lapsed = any(end.reason is Reason.LAPSED for end in ends)
    if request.kind.idempotent and request.failures < MAX_FAILURES:
        if lapsed:
            request.state = State.HELD
            asyncio.create_task(requeue_when_confirmed(owner, request))
        else:
            requeue(owner, request)
    elif failed:
        request.finish(Status.FAILED, started=True)
        owner.schedule_expiry(request)
    elif result_may_arrive(owner, request):
        request.state = State.HELD
    else:
        request.finish(Status.UNKNOWN, started=True)
        owner.schedule_expiry(request)


async def requeue_when_confirmed(owner, request):
    """Places work again once no other owner can be running it.

    A lease that has lapsed here may have been renewed by a newer
    owner that this process has not heard of. A read of the log that
    begins after the lapse and shows no newer claim rules that out.
    """
    while request.state is State.HELD and request.reply is None:
        if await owner.node.confirm_owner(owner):
            if request.state is State.HELD and request.reply is None:
                requeue(owner, request)
            return
        await asyncio.sleep(CONFIRM_RETRY_S)


def result_may_arrive(owner, request):
    """Whether an unreachable worker may still report the result."""
    return any(
        end.reason is Reason.LAPSED
        and task.link is not None
        and task.link.state is target_link.LinkState.UNREACHABLE
        for task, end in request.ends.values()
    )


def requeue(owner, request):
    """Queues work again whose tasks are surely not running."""
    if owner.retired:
        request.finish(Status.MOVED, started=request.may_have_run)
        return
    owner.node.events.add(
        request.request_id, f"Not running on {owner.name}. Placed again."
    )
    admission.admit(owner, request, hops=1 if request.may_have_run else 0)


def update_mean(means, key, value):
    """Moves a running mean towards a new value."""
    known = means.get(key)
    if known is None:
        means[key] = value
    else:
        means[key] = known + MEAN_WEIGHT * (value - known)


def is_done(end):
    """Whether a task ended with a result."""
    return (
        end.reason is Reason.REPORTED
        and end.report.state is platform.TaskState.DONE
    )


def is_failed(end):
    """Whether a task's target reported a failure."""
    return (
        end.reason is Reason.REPORTED
        and end.report.state is platform.TaskState.FAILED
    )
