"""Who may give work to a rack, and how its owner does it."""
