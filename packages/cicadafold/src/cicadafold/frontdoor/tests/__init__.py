"""Tests of ``cicadafold.frontdoor``."""
