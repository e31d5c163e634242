"""Calls of callers, operators and peers over HTTP with JSON."""
