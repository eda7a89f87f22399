"""Exit codes of the entry and dispatch processes."""

EXIT_SETTINGS = 6
