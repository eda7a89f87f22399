"""Benchmark the policy against stand-ins: scenarios, load, counters and reports."""
