"""Batch jobs: acceptance, items, results and their positions, scheduling, quota."""
