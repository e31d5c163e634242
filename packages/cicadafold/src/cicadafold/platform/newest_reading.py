"""Reads the newest record of each key of a partition, page by page."""

__all__ = ["NewestReading"]


class NewestReading:
    """The pages of a partition that have been read so far.

    A reading that failed goes on after the last page. Pages are not a
    snapshot: records that are appended meanwhile are read from the offset at
    which the partition ended before the first page.

    Args:
        store: Client of the store.
        topic: Name of the topic.
        partition: Number of the partition.
        on_progress: Function called whenever a part of an answer has
            arrived, or None.

    Attributes:
        records: Records of the pages.
        resume: Offset from which to read on, None before the first page.
        after: Key after which the next page starts.
    """

    def __init__(self, *, store, topic, partition, on_progress=None):
        self.store = store
        self.topic = topic
        self.partition = partition
        self.on_progress = on_progress
        self.records = []
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
                return self.records, self.resume
