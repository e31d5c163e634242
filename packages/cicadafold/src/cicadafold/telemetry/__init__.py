"""Logs, metrics and the events of requests."""
