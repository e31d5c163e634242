"""Links between the processes of the cell."""
