"""Dispatch of jobs to backend servers, each owned by one process at a time."""
