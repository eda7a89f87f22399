"""Package of redwingport."""
