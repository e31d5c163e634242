"""The scheduler of one term: starts tasks on workers and follows them.

Placement of waiting tasks, worker leases, end reports and the recovery of
what earlier terms left running.
"""
