"""Clusters of real entry processes and stand-in back ends, for fault-injection tests."""
