"""Tests of ``cicadafold.coordination``."""
