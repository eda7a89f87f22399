"""Subcommands of the test bed, one module per command."""
