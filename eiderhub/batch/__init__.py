"""Batch jobs: submission, items, results, scheduling and token quotas."""
