"""The process on an entry host."""
