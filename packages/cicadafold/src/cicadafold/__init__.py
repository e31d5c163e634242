"""Cicadafold, a cluster scheduler for unlike work on one shared cell."""
