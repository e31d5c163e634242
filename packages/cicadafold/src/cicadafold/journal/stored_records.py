"""Keeps track of which partitions hold records of a job."""

__all__ = ["StoredRecords"]


class StoredRecords:
    """Which keys of each job the partitions of a topic hold.

    A job that is submitted again has its record in several partitions, each
    of which has to be dropped there.

    Attributes:
        keys: Pairs of partition and key of the stored records of a job, in
            the order in which they were stored, by identifier of the job.
    """

    def __init__(self):
        self.keys = {}

    def add(self, job, partition, key, *, newest=True):
        """Notes that a partition holds a record of a key.

        Args:
            job: Identifier of the job.
            partition: Number of the partition.
            key: Key of the record.
            newest: Whether no other partition holds a newer one.
        """
        stored = self.keys.pop(job, {})
        stored.pop((partition, key), None)
        place = {(partition, key): None}
        self.keys[job] = stored | place if newest else place | stored

    def discard(self, job, partition, key):
        """Notes that a partition holds no record of a key."""
        stored = self.keys.get(job)
        if stored is None:
            return
        stored.pop((partition, key), None)
        if not stored:
            del self.keys[job]

    def discard_partition(self, partition):
        """Notes that a partition holds no records."""
        for job, stored in list(self.keys.items()):
            for place in [x for x in stored if x[0] == partition]:
                self.discard(job, *place)

    def places(self, job):
        """Returns the pairs of partition and key of the records of a job.

        They are in the order in which the records were stored.
        """
        return list(self.keys.get(job, ()))
