"""Where and in which order work is placed on the workers of a rack."""
