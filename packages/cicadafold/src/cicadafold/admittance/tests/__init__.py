"""Tests of ``cicadafold.admittance``."""
