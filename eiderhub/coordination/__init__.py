"""Coordination components for other programs to embed: replication, versioned wire features and leadership.

They are independent of routes, endpoints and jobs.
"""
