"""Jobs: specifications, job files and the runtime state of a term."""
