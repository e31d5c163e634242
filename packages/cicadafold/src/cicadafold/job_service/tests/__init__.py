"""Tests of ``cicadafold.job_service``."""
