"""Bounds on what clients can make a process hold."""
