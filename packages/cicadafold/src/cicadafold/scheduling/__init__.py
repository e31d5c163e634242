"""Scheduling decisions without I/O.

Queue order, placement, reservations, duration estimates and worker speeds.
"""
