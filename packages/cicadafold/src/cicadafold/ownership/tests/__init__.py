"""Tests of ``cicadafold.ownership``."""
