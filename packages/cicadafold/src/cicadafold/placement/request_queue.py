"""Waiting work of one rack: an urgent lane and fair shares for the rest.

Urgent work is ordered by deadline. Patient work is ordered by weighted
fair queueing over teams: the team with the least virtual time is served,
and each start advances its time by the size over its weight. A team that
has been idle begins at the current virtual time, so that it neither saves
up nor loses its share.

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
    """Waiting work of one team, in order of arrival."""

    def __init__(self, *, virtual_time):
        self.virtual_time = virtual_time
        self.requests = collections.deque()


class RequestQueue:
    """Waiting work; removing a work is O(1), as it is only marked."""

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
        """Adds waiting work to its lane."""
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
        """Marks waiting work as gone."""
        request.queued = False
        if request.kind.lane is messages.Lane.urgent:
            self.urgent_count -= 1
        else:
            self.patient_count -= 1

    def peek_urgent(self):
        """Returns the urgent work with the nearest deadline, or None."""
        while self.urgent:
            request = self.urgent[0][2]
            if request.queued:
                return request
            heapq.heappop(self.urgent)
        return None

    def peek_patient(self, eligible):
        """Returns the next patient work by fair share, or None.

        Args:
            eligible: Function that tells whether a team may start work.
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
        """Forgets a team without work once its share is used."""
        if team.virtual_time <= self.virtual_time:
            del self.teams[name]

    def charge_team(self, request, *, cost, weight):
        """Advances the virtual time of a team whose work is started."""
        team = self.teams.get(request.team)
        if team is None:
            return
        self.virtual_time = max(self.virtual_time, team.virtual_time)
        team.virtual_time = self.virtual_time + cost / weight
