"""Logs, metrics and the recorded events of requests."""
