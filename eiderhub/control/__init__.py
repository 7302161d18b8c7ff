"""The control plane: configuration, endpoints, sessions, spending caps, and their distribution to nodes."""
