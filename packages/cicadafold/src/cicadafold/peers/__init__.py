"""Links and messages between the processes of the cell."""
