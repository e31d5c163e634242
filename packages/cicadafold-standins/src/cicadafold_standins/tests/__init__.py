"""Tests that run cells of real processes."""
