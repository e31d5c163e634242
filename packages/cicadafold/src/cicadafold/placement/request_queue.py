"""Queue of the requests that wait for capacity on one rack.

Urgent requests are ordered by deadline. Patient requests are ordered by
weighted fair queueing over teams: the team with the least virtual time is
served next, and each start advances the team's virtual time by the cost
of the request divided by the weight of the team. A team that has been
idle starts at the current virtual time of the queue, so that it neither
accumulates nor loses a share while idle.

References:
    J. C. R. Bennett, H. Zhang: Hierarchical packet fair queueing
    algorithms, SIGCOMM 1996 (virtual time).
"""

import collections
import heapq
import itertools

from cicadafold_schema import messages

__all__ = ["RequestQueue"]


class TeamQueue:
    """Patient requests of one team, in order of arrival."""

    def __init__(self, *, virtual_time):
        self.virtual_time = virtual_time
        self.requests = collections.deque()


class RequestQueue:
    """Urgent and patient requests that wait on one rack.

    Removal takes constant time: it only clears the request's ``queued``
    attribute. A later peek drops such a request once it is first in its queue.
    """

    def __init__(self):
        self.urgent = []
        self.teams = {}
        self.virtual_time = 0.0
        self.arrival_numbers = itertools.count()
        self.urgent_count = 0
        self.patient_count = 0

    def __len__(self):
        return self.urgent_count + self.patient_count

    def push(self, request):
        """Adds a request to the queue of its lane."""
        request.queued = True
        if request.kind.lane is messages.Lane.urgent:
            entry = (request.deadline_ms, next(self.arrival_numbers), request)
            heapq.heappush(self.urgent, entry)
            self.urgent_count += 1
            return
        team = self.teams.get(request.team)
        if team is None:
            team = TeamQueue(virtual_time=self.virtual_time)
            self.teams[request.team] = team
        team.requests.append(request)
        self.patient_count += 1

    def remove(self, request):
        """Removes a request that is queued."""
        request.queued = False
        if request.kind.lane is messages.Lane.urgent:
            self.urgent_count -= 1
        else:
            self.patient_count -= 1

    def peek_urgent(self):
        """Returns the urgent request with the earliest deadline, or None."""
        while self.urgent:
            request = self.urgent[0][2]
            if request.queued:
                return request
            heapq.heappop(self.urgent)
        return None

    def peek_patient(self, eligible):
        """Returns the next patient request by fair share, or None.

        Args:
            eligible: Function that takes the name of a team and returns
                whether the team may start another request.
        """
        best = None
        for name in list(self.teams):
            team = self.teams[name]
            while team.requests and not team.requests[0].queued:
                team.requests.popleft()
            if not team.requests:
                self.remove_idle_team(name, team)
            elif eligible(name) and (
                best is None or team.virtual_time < best.virtual_time
            ):
                best = team
        return best.requests[0] if best else None

    def remove_idle_team(self, name, team):
        """Removes a team without requests if its virtual time has passed.

        A team that is ahead of the queue's virtual time stays, so that it
        cannot avoid the cost of past starts by becoming idle.
        """
        if team.virtual_time <= self.virtual_time:
            del self.teams[name]

    def charge_team(self, request, *, cost, weight):
        """Advances the virtual time of the team whose request starts.

        Args:
            request: The request that starts.
            cost: Cost of the request: the cores of all its tasks, divided
                by the worth of its kind.
            weight: Weight of the team; a larger one gives a larger share.
        """
        team = self.teams.get(request.team)
        if team is None:
            return
        self.virtual_time = max(self.virtual_time, team.virtual_time)
        team.virtual_time = self.virtual_time + cost / weight
