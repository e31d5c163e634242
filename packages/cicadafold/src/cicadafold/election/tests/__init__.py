"""Tests of ``cicadafold.election``."""
