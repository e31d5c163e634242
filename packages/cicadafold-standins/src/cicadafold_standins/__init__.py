"""Stand-ins for the platform, with load, demonstration and fault tools."""
