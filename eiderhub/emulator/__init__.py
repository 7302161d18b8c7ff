"""Emulator: endpoints, discovery and clients on loopback sockets around real sidecar processes."""
