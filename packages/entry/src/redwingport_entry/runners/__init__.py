"""Runners: one job or one request from admission to its answer."""
