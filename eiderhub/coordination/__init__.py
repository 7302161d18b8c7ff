"""Coordination parts for others to embed: replication, sessions, versioned distribution, leadership.

Nothing in here knows of routes, endpoints or jobs.
"""
