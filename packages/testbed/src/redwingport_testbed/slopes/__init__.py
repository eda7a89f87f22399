"""Measure how the cost of control traffic, starts and state grows with size."""
