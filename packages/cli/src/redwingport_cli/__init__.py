"""Command line of redwingport for operators and users."""
