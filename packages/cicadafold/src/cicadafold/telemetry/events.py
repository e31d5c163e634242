"""Events of requests, which the call ``explain`` returns."""

import collections
import time

from cicadafold_schema import messages

__all__ = ["RequestEvents"]

MAX_REQUESTS = 5000
MAX_EVENTS_PER_REQUEST = 50
MS_PER_S = 1000


class RequestEvents:
    """Events of the latest requests that this process has handled.

    Args:
        member: Name of this process.

    Examples:
        >>> recorded = RequestEvents(member="entry-1")
        >>> recorded.add("r1", "Queued behind 3 urgent requests.")
        >>> [event.text for event in recorded.events("r1")]
        ['Queued behind 3 urgent requests.']
    """

    def __init__(self, *, member):
        self.member = member
        self.by_request = collections.OrderedDict()

    def add(self, request_id, text, *values):
        """Records an event.

        Beyond ``MAX_REQUESTS`` the oldest request is dropped; beyond
        ``MAX_EVENTS_PER_REQUEST`` further events of a request are ignored.

        Args:
            request_id: Identifier of the request.
            text: Sentence, with a ``%`` placeholder for each value.
            *values: Values that are formatted when the events are read.
        """
        events = self.by_request.get(request_id)
        if events is None:
            events = self.by_request[request_id] = []
            if len(self.by_request) > MAX_REQUESTS:
                self.by_request.popitem(last=False)
        if len(events) < MAX_EVENTS_PER_REQUEST:
            events.append((time.time(), text, values))

    def events(self, request_id):
        """Returns the events of a request as ``messages.Event`` objects."""
        return [
            messages.Event(
                at_ms=int(at * MS_PER_S),
                member=self.member,
                text=text % values if values else text,
            )
            for at, text, values in self.by_request.get(request_id, [])
        ]
