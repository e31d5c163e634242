"""Tests of ``cicadafold.jobs``."""
