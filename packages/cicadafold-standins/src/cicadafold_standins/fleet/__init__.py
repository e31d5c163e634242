"""Stand-ins that speak the users' platform: store, workers, advice."""
