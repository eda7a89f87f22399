"""Persistent links between entry processes: framing, authentication and messages."""
