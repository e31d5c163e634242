"""Tasks that workers report before an owner knows their requests."""

from cicadafold_schema import messages

from cicadafold.ownership import completion
from cicadafold.ownership import rack_requests
from cicadafold.ownership import starting
from cicadafold.ownership import task_ids
from cicadafold.platform import messages as platform

__all__ = ["RecoveredTasks"]


class RecoveredTasks:
    """Tasks from inventories, until their requests are dispatched here.

    The lease of a running task is renewed meanwhile, although the kind of
    its request is not known before the coordinator dispatches it.

    Args:
        owner: ``RackOwner`` of the rack.

    Attributes:
        running: Running tasks by identifier, for each request identifier.
        ended: Pairs of ended task and ``TaskEnd`` by task identifier, for
            each request identifier.
    """

    def __init__(self, *, owner):
        self.owner = owner
        self.running = {}
        self.ended = {}

    def add(self, link, report):
        """Records a task of a worker's inventory that the link did not track.

        Args:
            link: ``TargetLink`` of the worker.
            report: The worker's ``TaskReport``.
        """
        request_id = task_ids.request_id_of(report.task_id)
        request = self.owner.requests.get(request_id)
        if report.state is platform.TaskState.RUNNING:
            self.add_running(link, report, request)
        else:
            self.add_ended(link, report, request)
        if request is not None and self.is_waiting(request):
            self.assign_to(request)

    def is_waiting(self, request):
        """Whether a request is held until workers report its tasks."""
        return request.state is rack_requests.RequestState.HELD

    def add_running(self, link, report, request):
        """Records a running task and renews its lease from now on.

        If its request is known here and not held, the task is not needed and
        its stop is requested.
        """
        task = link.track_running(
            report,
            lease_ms=self.owner.node.longest_lease_ms(),
            on_end=self.on_end,
        )
        if request is not None and not self.is_waiting(request):
            link.request_stop(task)
            return
        request_id = task_ids.request_id_of(report.task_id)
        running = self.running.setdefault(request_id, {})
        running[task.task_id] = task
        self.ended.get(request_id, {}).pop(task.task_id, None)

    def add_ended(self, link, report, request):
        """Records the end of a task, unless its report is known already.

        If its request is known here and not held, the end is not recorded.
        Once that request was answered, the end is acknowledged so that the
        worker can discard it.
        """
        if request is not None and not self.is_waiting(request):
            if request.reply is not None:
                link.to_acknowledge.append(report.task_id)
            return
        request_id = task_ids.request_id_of(report.task_id)
        if report.task_id in self.running.get(request_id, {}):
            return
        ended = self.ended.setdefault(request_id, {})
        earlier = ended.get(report.task_id)
        if earlier is not None and earlier[1].report is not None:
            return
        task = rack_requests.TargetTask(
            task_id=report.task_id,
            link=link,
            resources=None,
            on_end=self.on_end,
        )
        task.ended = True
        ended[task.task_id] = (task, end_of(report))

    def on_end(self, task, end):
        """Records the end of a recovered task.

        The end of any other task is passed to the rack's owner.
        """
        request_id = task_ids.request_id_of(task.task_id)
        running = self.running.get(request_id, {})
        if running.pop(task.task_id, None) is None:
            self.owner.on_task_end(task, end)
            return
        if not running:
            del self.running[request_id]
        ended = self.ended.setdefault(request_id, {})
        ended[task.task_id] = (task, end)
        starting.dispatch_queued(self.owner)

    def discard_closed(self):
        """Discards ended tasks whose recorded requests are not open.

        Their ends are acknowledged so that the workers can discard them.
        """
        closed = [
            request_id
            for request_id in self.ended
            if not self.owner.node.is_open(request_id)
        ]
        for request_id in closed:
            for task, _ in self.ended.pop(request_id).values():
                task.link.to_acknowledge.append(task.task_id)

    def has_tasks(self, request_id):
        """Whether any task of a request was recovered."""
        return bool(self.running.get(request_id) or self.ended.get(request_id))

    def are_conclusive(self, request_id):
        """Whether the recovered tasks of a request show what became of it.

        That is so, even if inventories are missing, if one of the tasks runs
        or if all of them have ended with a report.
        """
        if self.running.get(request_id) or self.owner.all_inventoried():
            return True
        ended = self.ended.get(request_id, {})
        return all(end.report is not None for _, end in ended.values())

    def assign_to(self, request):
        """Moves the recovered tasks of a request to it.

        Args:
            request: A held ``RackRequest``.

        Returns:
            Whether there were any and they are conclusive. The request is
            running then, or completed if all its tasks have ended.
        """
        request_id = request.request_id
        if not self.has_tasks(request_id) or not self.are_conclusive(
            request_id
        ):
            return False
        running = self.running.pop(request.request_id, {})
        ended = self.ended.pop(request.request_id, {})
        if request.kind.lane is messages.Lane.patient:
            cores = sum(task.resources.cores for task in running.values())
            self.owner.held_cores[request.team] += cores
        request.may_have_run = True
        request.state = rack_requests.RequestState.RUNNING
        request.tasks.update(running)
        request.ends.update(ended)
        for task in running.values():
            task.on_end = self.owner.on_task_end
        self.add_missing_tasks(request)
        return True

    def add_missing_tasks(self, request):
        """Adds the tasks of a gang that no worker reported, as not started.

        Completes the request if none of its tasks runs.
        """
        missing = request.kind.tasks - len(request.tasks) - len(request.ends)
        for index in range(request.kind.tasks if missing > 0 else 0):
            task_id = task_ids.task_id(
                request.request_id, index, request.kind.tasks
            )
            if task_id not in request.tasks and task_id not in request.ends:
                task = rack_requests.TargetTask(
                    task_id=task_id,
                    link=None,
                    resources=None,
                    on_end=self.on_end,
                )
                end = rack_requests.TaskEnd(
                    reason=rack_requests.EndReason.NOT_STARTED
                )
                request.ends[task_id] = (task, end)
        completion.complete_if_ended(self.owner, request)


def end_of(report):
    """Returns the ``TaskEnd`` for the report of a task that has ended."""
    if report.state is platform.TaskState.LAPSED:
        return rack_requests.TaskEnd(reason=rack_requests.EndReason.LAPSED)
    return rack_requests.TaskEnd(
        reason=rack_requests.EndReason.REPORTED, report=report
    )
