"""Tests of ``cicadafold.cli``."""
