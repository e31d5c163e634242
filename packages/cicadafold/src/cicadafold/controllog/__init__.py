"""The control log: its records, and the state that they are applied to."""
