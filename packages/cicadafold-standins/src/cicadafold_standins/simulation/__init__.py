"""Deterministic simulation of a whole cell in virtual time.

All processes of the cell run on one event loop, over a simulated network
with faults.
"""
