"""Stand-ins for the users' platform: store, workers and advice service."""
