"""Choice of the one scheduler of the cell."""
