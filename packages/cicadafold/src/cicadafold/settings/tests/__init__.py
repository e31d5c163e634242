"""Tests of ``cicadafold.settings``."""
