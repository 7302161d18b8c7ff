"""The list service: versioned endpoint records with watches and leases, its followers and its clients."""
