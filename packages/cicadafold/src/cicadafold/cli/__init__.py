"""The command line ``cicadafold`` for operators and callers."""
