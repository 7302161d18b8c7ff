"""What the control plane replicates and distributes: configuration, endpoint list, sessions of nodes."""
