"""Tests of ``cicadafold.peers``."""
