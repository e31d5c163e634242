"""From the ends of tasks to the one answer of their request."""

import asyncio

from cicadafold import clock
from cicadafold.ownership import admission
from cicadafold.ownership import starting
from cicadafold.ownership import target_link
from cicadafold.ownership import task_names
from cicadafold.ownership import work as rack_work
from cicadafold.peerlink import frames
from cicadafold.platform import messages as platform
from cicadafold_schema import messages

__all__ = ["collect", "on_task_end"]

MAX_FAILURES = 3
MEAN_WEIGHT = 0.05
CONFIRM_RETRY_S = 0.3

Status = frames.ReplyStatus
State = rack_work.WorkState
Reason = rack_work.EndReason


def on_task_end(owner, task, end):
    """Collects the end of a task and concludes the request."""
    work = owner.works.get(task_names.request_of(task.task_id))
    if work is None or work.tasks.get(task.task_id) is not task:
        starting.pump(owner)
        return
    del work.tasks[task.task_id]
    work.ends[task.task_id] = (task, end)
    if work.kind.lane is messages.Lane.patient:
        owner.held_cores[work.team] -= task.size.cores
    learn(owner, task, end, work)
    if work.reply is None:
        collect(owner, work)
    starting.pump(owner)


def learn(owner, task, end, work):
    """Learns run times and which workers fail everything."""
    if end.reason is not Reason.REPORTED:
        return
    run_ms = clock.monotonic_ms() - task.sent_ms
    follow_mean(owner.mean_run_ms, work.kind.lane, run_ms)
    follow_mean(owner.kind_run_ms, work.kind.name, run_ms)
    failed = end.report.state is platform.TaskState.FAILED
    if failed:
        work.avoided.add(task.link.name)
    task.link.note_result(work.request_id, failed=failed)


def collect(owner, work):
    """Concludes once all tasks ended; stops a gang that broke."""
    broken = any(not is_done(end) for _, end in work.ends.values())
    if broken:
        for task in work.tasks.values():
            task.link.request_stop(task)
    if not work.tasks:
        conclude(owner, work)


def conclude(owner, work):
    """Answers for a request whose tasks have all ended."""
    ends = [end for _, end in work.ends.values()]
    if all(is_done(end) for end in ends):
        finish_done(owner, work)
    elif work.cancelled:
        work.finish(Status.CANCELLED, started=True)
        owner.expire_later(work)
    elif all(end.reason is Reason.NOT_STARTED for end in ends):
        put_back(owner, work)
    else:
        conclude_broken(owner, work, ends)


def finish_done(owner, work):
    """Answers with the results of all tasks."""
    ordered = sorted(
        work.ends.values(),
        key=lambda pair: task_names.index_of(pair[0].task_id),
    )
    work.finish(
        Status.DONE,
        started=True,
        result=",".join(end.report.result for _, end in ordered),
        worker=",".join(task.link.name for task, _ in ordered),
    )
    owner.expire_later(work)


def conclude_broken(owner, work, ends):
    """Repeats idempotent work; answers truthfully for the rest."""
    work.may_have_run = True
    failed = any(is_failed(end) for end in ends)
    work.failures += failed
    lapsed = any(end.reason is Reason.LAPSED for end in ends)
    if work.kind.idempotent and work.failures < MAX_FAILURES:
        if lapsed:
            work.state = State.HELD
            asyncio.create_task(repeat(owner, work))
        else:
            put_back(owner, work)
    elif failed:
        work.finish(Status.FAILED, started=True)
        owner.expire_later(work)
    elif may_still_tell(owner, work):
        work.state = State.HELD
    else:
        work.finish(Status.UNKNOWN, started=True)
        owner.expire_later(work)


async def repeat(owner, work):
    """Places work again once no other owner can be running it.

    A lease that has lapsed here may have been renewed by a newer
    owner that this process has not heard of. A read of the log that
    begins after the lapse and shows no newer claim rules that out.
    """
    while work.state is State.HELD and work.reply is None:
        if await owner.node.confirm_owner(owner):
            if work.state is State.HELD and work.reply is None:
                put_back(owner, work)
            return
        await asyncio.sleep(CONFIRM_RETRY_S)


def may_still_tell(owner, work):
    """Whether an unreachable worker may still report the result."""
    return any(
        end.reason is Reason.LAPSED
        and task.link is not None
        and task.link.state is target_link.LinkState.UNREACHABLE
        for task, end in work.ends.values()
    )


def put_back(owner, work):
    """Queues work again whose tasks are surely not running."""
    if owner.retired:
        work.finish(Status.MOVED, started=work.may_have_run)
        return
    owner.node.events.add(
        work.request_id, f"Not running on {owner.name}. Placed again."
    )
    admission.admit(owner, work, hops=1 if work.may_have_run else 0)


def follow_mean(means, key, value):
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
