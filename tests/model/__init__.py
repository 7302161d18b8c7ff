"""A deterministic simulation of a replicated group, its operators, readers and sidecars in virtual time."""
