"""Runners that take a job or a request from admission to its answer."""
