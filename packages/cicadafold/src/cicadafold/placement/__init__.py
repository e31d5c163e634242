"""Choice of racks and workers for requests, and their order in the queue."""
