"""The list service: records of endpoints, their versions, watches, leases, and its clients."""
