"""Capacity model: resources that a fleet of a given size needs, computed from measured costs without I/O."""
