"""Tests of ``cicadafold.platform``."""
