"""Which members live: gossip over the members that the log lists."""
