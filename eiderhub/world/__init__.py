"""What the sidecar serves, as state machines that are told the time: no sockets, no clock, no event loop."""
