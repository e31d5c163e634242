"""Tests of the schema and its generated messages."""
