"""Tests of ``cicadafold.membership``."""
