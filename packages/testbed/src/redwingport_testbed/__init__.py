"""Stand-ins, demo, load tool and bench; not shipped."""
