"""A whole cell in one process, in virtual time, with faults of its network."""
