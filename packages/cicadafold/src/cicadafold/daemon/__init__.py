"""The processes on an entry host: their components, start and stop."""
