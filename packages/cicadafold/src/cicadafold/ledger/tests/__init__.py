"""Tests of ``cicadafold.ledger``."""
