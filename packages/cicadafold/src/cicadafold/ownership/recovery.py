"""Tasks that an owner found on its workers, until they are asked for."""

from cicadafold_schema import messages

from cicadafold.ownership import concluding
from cicadafold.ownership import starting
from cicadafold.ownership import task_names
from cicadafold.ownership import work as rack_work
from cicadafold.platform import messages as platform

__all__ = ["FoundTasks"]


class FoundTasks:
    """Tasks by request, with what is known of their ends.

    A task that runs is held and its lease renewed, although the kind of
    its request is not known before its coordinator asks for it.
    """

    def __init__(self, *, rack):
        self.rack = rack
        self.running = {}
        self.ended = {}

    def add(self, link, report):
        """Takes a task from a worker's inventory."""
        request_id = task_names.request_of(report.task_id)
        work = self.rack.works.get(request_id)
        if report.state is platform.TaskState.RUNNING:
            self.add_running(link, report, work)
        else:
            self.add_ended(link, report, work)
        if work is not None and self.is_waiting(work):
            self.claim(work)

    def is_waiting(self, work):
        """Whether a request waits for what a worker knows."""
        return work.state is rack_work.WorkState.HELD

    def add_running(self, link, report, work):
        """Holds a running task; a stray one is stopped."""
        task = link.hold(
            report,
            lease_ms=self.rack.node.longest_lease_ms(),
            on_end=self.on_end,
        )
        if work is not None and not self.is_waiting(work):
            link.request_stop(task)
            return
        request_id = task_names.request_of(report.task_id)
        found = self.running.setdefault(request_id, {})
        found[task.task_id] = task
        self.ended.get(request_id, {}).pop(task.task_id, None)

    def add_ended(self, link, report, work):
        """Keeps the end of a task; a stray one is acknowledged."""
        if work is not None and not self.is_waiting(work):
            if work.reply is not None:
                link.acknowledged.append(report.task_id)
            return
        request_id = task_names.request_of(report.task_id)
        if report.task_id in self.running.get(request_id, {}):
            return
        found = self.ended.setdefault(request_id, {})
        known = found.get(report.task_id)
        if known is not None and known[1].report is not None:
            return
        task = rack_work.RackTask(
            task_id=report.task_id, link=link, size=None, on_end=self.on_end
        )
        task.ended = True
        found[task.task_id] = (task, end_of(report))

    def on_end(self, task, end):
        """Keeps the end of a found task, or passes it on."""
        request_id = task_names.request_of(task.task_id)
        found = self.running.get(request_id, {})
        if found.pop(task.task_id, None) is None:
            self.rack.on_task_end(task, end)
            return
        if not found:
            del self.running[request_id]
        ended = self.ended.setdefault(request_id, {})
        ended[task.task_id] = (task, end)
        starting.pump(self.rack)

    def forget_closed(self):
        """Forgets ended tasks that no open request will ask for."""
        closed = [
            request_id
            for request_id in self.ended
            if not self.rack.node.is_open(request_id)
        ]
        for request_id in closed:
            for task, _ in self.ended.pop(request_id).values():
                task.link.acknowledged.append(task.task_id)

    def knows(self, request_id):
        """Whether any task of a request was found."""
        return bool(self.running.get(request_id) or self.ended.get(request_id))

    def is_conclusive(self, request_id):
        """Whether workers that are not inventoried yet change nothing."""
        if self.running.get(request_id) or self.rack.is_sure():
            return True
        ended = self.ended.get(request_id, {})
        return all(end.report is not None for _, end in ended.values())

    def claim(self, work):
        """Gives the found tasks of a request to it.

        Returns:
            Whether any were found that settle the matter.
        """
        request_id = work.request_id
        if not self.knows(request_id) or not self.is_conclusive(request_id):
            return False
        running = self.running.pop(work.request_id, {})
        ended = self.ended.pop(work.request_id, {})
        if work.kind.lane is messages.Lane.patient:
            cores = sum(task.size.cores for task in running.values())
            self.rack.held_cores[work.team] += cores
        work.may_have_run = True
        work.state = rack_work.WorkState.RUNNING
        work.tasks.update(running)
        work.ends.update(ended)
        for task in running.values():
            task.on_end = self.rack.on_task_end
        self.complete(work)
        return True

    def complete(self, work):
        """Counts the tasks of a gang that were never found."""
        missing = work.kind.tasks - len(work.tasks) - len(work.ends)
        for index in range(work.kind.tasks if missing > 0 else 0):
            name = task_names.task_id(work.request_id, index, work.kind.tasks)
            if name not in work.tasks and name not in work.ends:
                task = rack_work.RackTask(
                    task_id=name, link=None, size=None, on_end=self.on_end
                )
                end = rack_work.TaskEnd(reason=rack_work.EndReason.NOT_STARTED)
                work.ends[name] = (task, end)
        concluding.collect(self.rack, work)


def end_of(report):
    """Returns the end that a report of an ended task stands for."""
    if report.state is platform.TaskState.LAPSED:
        return rack_work.TaskEnd(reason=rack_work.EndReason.LAPSED)
    return rack_work.TaskEnd(
        reason=rack_work.EndReason.REPORTED, report=report
    )
