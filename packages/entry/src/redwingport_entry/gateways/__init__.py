"""Gateways to backend servers: connections, workers and executors."""
