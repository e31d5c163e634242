"""Tests of ``cicadafold.journal``."""
