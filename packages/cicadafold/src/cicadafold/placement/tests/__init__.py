"""Tests of ``cicadafold.placement``."""
