"""The sidecar process: runs one balancer on real sockets."""
