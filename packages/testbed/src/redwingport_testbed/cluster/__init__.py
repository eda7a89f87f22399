"""Clusters of real entry processes among stand-ins, for tests that inject faults."""
