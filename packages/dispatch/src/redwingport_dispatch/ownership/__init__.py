"""Ownership of backend servers: election, shards, terms and leases. Nothing here does I/O."""
