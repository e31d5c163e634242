"""Election of the process that is the scheduler of the cell."""
