"""Ids, outcomes, service documents and wire messages."""
