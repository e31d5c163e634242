"""HTTP API of an entry host for callers, operators and peers."""
