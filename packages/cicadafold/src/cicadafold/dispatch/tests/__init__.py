"""Tests of ``cicadafold.dispatch``."""
