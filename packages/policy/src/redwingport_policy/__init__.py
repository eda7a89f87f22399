"""Decisions: routing, placement, limits, quotas and retries."""
