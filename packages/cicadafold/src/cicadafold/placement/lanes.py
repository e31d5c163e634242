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

__all__ = ["Lanes"]


class TeamQueue:
    """Waiting work of one team, in order of arrival."""

    def __init__(self, *, virtual_time):
        self.virtual_time = virtual_time
        self.works = collections.deque()


class Lanes:
    """Waiting work; removing a work is O(1), as it is only marked."""

    def __init__(self):
        self.urgent = []
        self.teams = {}
        self.virtual_time = 0.0
        self.order = itertools.count()
        self.urgent_count = 0
        self.patient_count = 0

    def __len__(self):
        return self.urgent_count + self.patient_count

    def push(self, work):
        """Adds waiting work to its lane."""
        work.queued = True
        if work.kind.lane is messages.Lane.urgent:
            entry = (work.deadline_ms, next(self.order), work)
            heapq.heappush(self.urgent, entry)
            self.urgent_count += 1
            return
        team = self.teams.get(work.team)
        if team is None:
            team = TeamQueue(virtual_time=self.virtual_time)
            self.teams[work.team] = team
        team.works.append(work)
        self.patient_count += 1

    def remove(self, work):
        """Marks waiting work as gone."""
        work.queued = False
        if work.kind.lane is messages.Lane.urgent:
            self.urgent_count -= 1
        else:
            self.patient_count -= 1

    def first_urgent(self):
        """Returns the urgent work with the nearest deadline, or None."""
        while self.urgent:
            work = self.urgent[0][2]
            if work.queued:
                return work
            heapq.heappop(self.urgent)
        return None

    def first_patient(self, eligible):
        """Returns the next patient work by fair share, or None.

        Args:
            eligible: Function that tells whether a team may start work.
        """
        best = None
        for name in list(self.teams):
            team = self.teams[name]
            while team.works and not team.works[0].queued:
                team.works.popleft()
            if not team.works:
                self.forget_idle(name, team)
            elif eligible(name) and (
                best is None or team.virtual_time < best.virtual_time
            ):
                best = team
        return best.works[0] if best else None

    def forget_idle(self, name, team):
        """Forgets a team without work once its share is used."""
        if team.virtual_time <= self.virtual_time:
            del self.teams[name]

    def charge(self, work, *, cost, weight):
        """Advances the virtual time of a team whose work is started."""
        team = self.teams.get(work.team)
        if team is None:
            return
        self.virtual_time = max(self.virtual_time, team.virtual_time)
        team.virtual_time = self.virtual_time + cost / weight
