"""The entry process: callers, operators and peers in front, backend servers behind."""
