"""Durable state on disk: LMDB environments, their versions and their checks."""
