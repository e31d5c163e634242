"""Jobs: their description, their state machine and what is recorded."""
