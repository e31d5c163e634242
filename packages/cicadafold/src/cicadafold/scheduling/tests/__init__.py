"""Tests of ``cicadafold.scheduling``."""
