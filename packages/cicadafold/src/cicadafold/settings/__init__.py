"""Settings of an entry host, checked completely before it starts."""
