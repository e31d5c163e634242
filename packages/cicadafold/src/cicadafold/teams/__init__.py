"""Teams of callers: their keys, caps and what they use."""
