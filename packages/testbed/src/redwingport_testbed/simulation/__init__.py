"""Simulated clusters: real dispatch processes over a simulated network, servers and time."""
