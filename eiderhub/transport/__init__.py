"""TCP connections and sessions between the tier's processes, and the HTTP servers of its control plane."""
