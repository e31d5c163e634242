"""Adapters to the platform: its log, store, registry, workers and callers."""
