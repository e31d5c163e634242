"""Tests of ``cicadafold_schema``."""
