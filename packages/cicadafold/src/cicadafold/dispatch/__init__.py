"""Runs of tasks on workers: starts, leases, ends, recovery."""
