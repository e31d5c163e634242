"""Reports for operators on service-level objectives."""
