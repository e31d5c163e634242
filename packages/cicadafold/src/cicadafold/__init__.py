"""Cicadafold, a cluster scheduler for mixed workloads in one shared cell."""
