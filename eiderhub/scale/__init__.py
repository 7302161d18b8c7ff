"""Scale and cost measurements: hollow sidecars (client code without the data path) and real processes."""
