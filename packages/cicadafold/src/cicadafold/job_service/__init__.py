"""Job calls of the callers on one entry host, and the routes to queues."""
