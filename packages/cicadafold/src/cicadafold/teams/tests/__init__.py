"""Tests of ``cicadafold.teams``."""
