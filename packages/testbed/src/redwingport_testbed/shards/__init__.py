"""Simulate the shards of a large deployment under load, in virtual time."""
