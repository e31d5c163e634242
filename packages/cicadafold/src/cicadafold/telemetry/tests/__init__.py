"""Tests of ``cicadafold.telemetry``."""
