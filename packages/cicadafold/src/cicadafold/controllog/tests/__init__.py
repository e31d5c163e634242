"""Tests of ``cicadafold.controllog``."""
