"""Tests of ``cicadafold.reports``."""
