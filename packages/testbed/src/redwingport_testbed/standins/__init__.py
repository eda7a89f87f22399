"""Stand-ins for the outside systems: platform, workers and executors."""
