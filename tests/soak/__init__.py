"""A seeded soak of the tier's real programs on loopback: `python -m tests.soak --help`."""
