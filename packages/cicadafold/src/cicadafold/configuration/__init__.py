"""Configuration of the cell: its history, and how hosts follow it."""
