"""Simulated surroundings of sidecars: state machines that take the time as an argument and do no I/O."""
