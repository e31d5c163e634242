"""Calls of the callers of jobs."""
