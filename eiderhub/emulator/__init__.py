"""The world on real loopback sockets, around real sidecar processes."""
