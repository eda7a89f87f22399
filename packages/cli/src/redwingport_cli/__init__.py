"""Command line interface of redwingport for operators and users."""
