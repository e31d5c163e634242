"""Reads the newest record of each key of a partition, page by page."""

import asyncio

from cicadafold import exception
from cicadafold.platform import store_answers

__all__ = ["NewestReading"]

# The store may keep the history of a partition for some tens of seconds only.
FOLLOW_PERIOD_S = 5.0


def now_s():
    """Returns the time of the event loop in seconds."""
    return asyncio.get_running_loop().time()


class NewestReading:
    """The pages of a partition that have been read so far.

    A reading that failed goes on after the last page. Pages are not a
    snapshot: records that are appended meanwhile are read from the offset at
    which the partition ended before the first page. To follow them, they are
    read every few seconds: the store may have deleted them by the last page.

    Args:
        store: Client of the store.
        topic: Name of the topic.
        partition: Number of the partition.
        on_progress: Function called whenever a part of an answer has
            arrived, or None.
        follows: Whether to read the records that are appended meanwhile.

    Attributes:
        records: Records of the pages, and after them those that were
            appended meanwhile.
        appended: The latter, until the last page has been read.
        followed_s: Time at which they were read last.
        resume: Offset from which to read on, None before the first page.
        after: Key after which the next page starts.
    """

    def __init__(
        self, *, store, topic, partition, on_progress=None, follows=False
    ):
        self.store = store
        self.topic = topic
        self.partition = partition
        self.on_progress = on_progress
        self.follows = follows
        self.begin()

    def begin(self):
        """Begins with the first page."""
        self.records = []
        self.appended = []
        self.followed_s = now_s()
        self.resume = None
        self.after = ""

    async def run(self):
        """Reads the pages that are left.

        Returns:
            All records, and the offset from which to read on.

        Raises:
            LogUnavailable, LinkLost: The store did not serve a call.
        """
        while True:
            page = await self.store.newest_page(
                self.topic,
                self.partition,
                self.after,
                on_progress=self.on_progress,
            )
            if self.resume is None:
                self.resume = page.end
            self.records.extend(page.records)
            self.after = page.next_after
            if not self.after:
                return self.records + self.appended, self.resume
            if self.follows and now_s() - self.followed_s >= FOLLOW_PERIOD_S:
                await self.follow()

    async def follow(self):
        """Reads the records that were appended since the first page.

        Begins anew if the store has deleted some of them.
        """
        try:
            page = await self.store.read(
                self.topic,
                self.partition,
                self.resume,
                on_progress=self.on_progress,
            )
        except exception.LogTrimmed:
            self.begin()
            return
        for key, value in page.entries:
            self.appended.append(
                store_answers.NewestRecord(key, value, self.resume)
            )
            self.resume += 1
        self.followed_s = now_s()
