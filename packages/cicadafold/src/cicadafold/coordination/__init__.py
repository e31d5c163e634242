"""Requests from their acceptance to their one final answer."""
