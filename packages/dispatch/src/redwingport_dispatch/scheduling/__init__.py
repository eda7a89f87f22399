"""Scheduling decisions of the process that owns the backend servers; free of I/O."""
