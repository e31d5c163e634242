"""Failure detection by gossip among the members in the control log."""
