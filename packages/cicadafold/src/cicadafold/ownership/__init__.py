"""Ownership of racks, and how a rack's owner runs requests on workers."""
