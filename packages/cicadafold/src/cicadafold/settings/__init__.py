"""Settings of an entry host, checked whole before it starts."""
