"""Sessions over TCP between the tier's processes, and the HTTP servers and clients of its control plane."""
